package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
)

const (
	maxHeader    = 32 << 10
	probeTimeout = 300 * time.Millisecond
	// headTime is how long a head of an answer may take from its first byte to its last, and answerPause how long a
	// server may pause within a short one.
	headTime    = time.Second
	answerPause = time.Second
	// CompleteWait is how long the beginning of an answer that is long, or does not state its length, is held back: it may
	// be short after all, or break off.
	CompleteWait = 50 * time.Millisecond
)

var (
	// errTooLate says that the backends no longer remember a request that was to be repeated.
	errTooLate = errors.New("too late to repeat the request")
	// errOver says that nobody waits for a request any more.
	errOver = errors.New("the request is over")
)

// message is a client's request as it goes on to a backend, unchanged but for its budget.
type message struct {
	head  []byte // the request line and the headers but for the budget
	body  []byte
	long  *stream.Upload // in place of a body that is held
	probe bool           // the agent's own, no attempt
}

func newMessage(method, uri, host string, header http.Header, body []byte, long *stream.Upload) message {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, uri, host)
	switch {
	case long != nil && long.Length() < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case long != nil:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", long.Length())
	case len(body) > 0 || method == http.MethodPost:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	header.WriteSubset(&head, map[string]bool{protocol.HeaderBudget: true}) // to a buffer, which takes all
	return message{head: head.Bytes(), body: body, long: long}
}

// encode writes the message with the time that is left for it.
func (m *message) encode(left time.Duration) []byte {
	text := make([]byte, 0, len(m.head)+len(protocol.HeaderBudget)+32+len(m.body))
	text = append(text, m.head...)
	text = fmt.Appendf(text, "%s: %s\r\n\r\n", protocol.HeaderBudget, protocol.FormatBudget(left))
	return append(text, m.body...)
}

// result is how an attempt or a probe ended.
type result struct {
	outcome balancer.Outcome
	load    balancer.LoadReport
	answer  answer // a whole one, if the outcome is OK
	gone    bool   // nobody waits for it
}

// terms are what holds for one exchange beside its message.
type terms struct {
	deadline time.Time          // for the answer's first bytes; of a long body's request, from its last byte
	timer    *time.Timer        // ends the context then
	sendBy   time.Time          // if it is set and has passed when a connection is up, nothing is sent
	over     func() bool        // nil, or says then that nothing is to be sent
	fields   []string           // of a load report
	begun    func()             // told before the first of a long body is used
	pass     func(answer) error // passes a long answer on; nil: it counts as broken
}

// exchange sends a message once and waits for its answer until the context ends, of which the cause tells why.
func (p *pool) exchange(ctx context.Context, t *target, m *message, on *terms) result {
	r := result{load: settings.UnknownLoad()}
	resp, body, sent, err := p.roundTrip(ctx, t, m, on)
	switch cause := context.Cause(ctx); {
	case err == nil:
		r.load = parseLoad(resp.Header.Get(protocol.HeaderLoadReport), on.fields)
		r.outcome = outcomeOf(resp)
		if r.outcome == balancer.OutcomeOK {
			r.answer = answer{status: http.StatusOK, contentType: resp.Header.Get("Content-Type"), body: body}
		}
	case errors.Is(err, errOver):
		r.outcome, r.gone = balancer.OutcomeExpired, true
	case errors.Is(cause, context.Canceled) && sent == nothing:
		r.outcome = balancer.OutcomeExpired
	case errors.Is(cause, context.Canceled), errors.Is(err, stream.ErrNotRead):
		r.outcome = balancer.OutcomeCancelled
	case errors.Is(err, errLeft):
		r.outcome = balancer.OutcomeServerDraining
	case errors.Is(err, errTooLate), errors.Is(err, stream.ErrBodyIncomplete), ownShortage(err):
		r.outcome = balancer.OutcomeExpired // it never ran, and the backend is not to blame
	case sent != all: // it cannot have run
		r.outcome = balancer.OutcomeConnectFailed
	case cause != nil, errors.Is(err, context.DeadlineExceeded):
		r.outcome = balancer.OutcomeTimeout
	default:
		r.outcome = balancer.OutcomeReset
	}
	return r
}

// outcomeOf reads a whole answer's meaning. What the protocol does not name may have run.
func outcomeOf(resp *http.Response) balancer.Outcome {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OutcomeOK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(protocol.HeaderRejected) == "1" {
			return balancer.OutcomeRejected
		}
	}
	return balancer.OutcomeError
}

// extent is how much of a request has been written: whether it can have run hangs on its last byte.
type extent int

const (
	nothing extent = iota
	part
	all
)

// roundTrip returns a whole answer, or one whose body has been passed on, or an error and how much was sent before it.
func (p *pool) roundTrip(ctx context.Context, t *target, m *message, on *terms) (resp *http.Response, body []byte, sent extent, err error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, nil, nothing, err
	}
	reusable := false
	stop := context.AfterFunc(ctx, func() { c.Close() }) // which also gives the attempt up
	defer func() {
		if stop() && reusable {
			p.put(c)
		} else {
			p.discard(c)
		}
	}()
	if err := mayBegin(t, m, on); err != nil {
		reusable = true
		return nil, nil, nothing, err
	}
	if err := p.write(c, m, on); err != nil {
		return nil, nil, part, err
	}
	if !m.probe {
		p.metrics.AttemptSent()
	}
	resp, body, rest, err := c.read()
	if err == nil && rest != nil {
		err = p.stream(c, resp, body, rest, on)
		body = nil
	}
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, stream.ErrNotRead) {
			p.metrics.AnswerBroken(c.used, err)
			p.lost(c, c.limit.N == maxHeader)
		}
		return nil, nil, all, err
	}
	p.lost(c, false)
	// Danger: what stands behind an answer, a copy of it or noise, would be taken for the next one's.
	reusable = !resp.Close && c.br.Buffered() == 0
	return resp, body, all, nil
}

// mayBegin is the last look before a request's first byte: what lost its reason while a connection came up is not sent.
func mayBegin(t *target, m *message, on *terms) error {
	switch {
	// Danger: the choice may be old by now, after a connection that was slow to come up.
	case t.left.Err() != nil:
		return errLeft
	// Danger: backends drop a keyed repeat only for a while, and a connection that was slow to come up may outlast
	// it. What is not sent has not run.
	case !on.sendBy.IsZero() && !time.Now().Before(on.sendBy):
		return errTooLate
	case on.over != nil && on.over():
		return errOver
	case m.long != nil && !m.long.Claim():
		return stream.ErrBodyIncomplete
	}
	return nil
}

// write writes a request to its last byte.
func (p *pool) write(c *conn, m *message, on *terms) error {
	if m.long == nil {
		_, err := c.Write(m.encode(time.Until(on.deadline)))
		return err
	}
	defer m.long.Release()
	on.begun()
	on.timer.Stop() // until the client has sent all of it
	if _, err := c.Write(m.encode(m.long.Budget)); err != nil {
		return err
	}
	if err := m.long.SendTo(c); err != nil {
		return err
	}
	on.timer.Reset(m.long.Budget)
	return nil
}

// stream passes on an answer that is too long to be held; its first bytes were in time, and no deadline holds from here.
func (p *pool) stream(c *conn, resp *http.Response, first []byte, rest io.Reader, on *terms) error {
	if outcomeOf(resp) != balancer.OutcomeOK {
		resp.Close = true // nobody wants the rest
		return nil
	}
	if on.pass == nil {
		return errors.New("an answer that is too long")
	}
	if !on.timer.Stop() {
		return context.DeadlineExceeded // its time was up in this moment; the context may not know yet
	}
	return on.pass(answer{
		status: http.StatusOK, contentType: resp.Header.Get("Content-Type"),
		rest: stream.NewDownload(resp.ContentLength, first, rest, c, func() { c.Close() }),
	})
}

// read reads one answer to its end or, if it is too long to be held or slow to tell its end, its beginning, and returns
// what the rest can be read from.
func (c *conn) read() (resp *http.Response, body []byte, rest io.Reader, err error) {
	c.limit.N = maxHeader
	for {
		if _, err := c.br.Peek(1); err != nil {
			return nil, nil, nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(headTime)); err != nil {
			return nil, nil, nil, err
		}
		if resp, err = http.ReadResponse(c.br, nil); err != nil {
			return nil, nil, nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, nil, errors.New("an answer in another protocol")
		}
		if resp.StatusCode/100 != 1 { // else the answer is still to come
			break
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, nil, nil, err
		}
	}
	if resp.ContentLength > stream.MaxBytes { // which no server gives
		return nil, nil, nil, fmt.Errorf("an answer of %d bytes", resp.ContentLength)
	}
	c.limit.N = math.MaxInt64
	body, ended, err := c.readBody(resp)
	if err != nil || ended {
		return resp, body, nil, err
	}
	return resp, body, resp.Body, nil
}

// readBody reads a body to its end if it is short, and else its beginning: as much as can be held, or has come within
// CompleteWait. Danger: an answer that says that it is longer than it is ends on no connection that stays open; and of one
// that breaks off, what has been passed on cannot be taken back.
func (c *conn) readBody(resp *http.Response) (body []byte, ended bool, err error) {
	short := resp.ContentLength >= 0 && resp.ContentLength <= stream.MaxHeldBytes
	if short {
		body = make([]byte, 0, resp.ContentLength+1)
	}
	for begun := time.Now(); ; {
		if !short && !c.comes(begun.Add(CompleteWait)) {
			return body, false, nil
		}
		if err := c.SetReadDeadline(time.Now().Add(answerPause)); err != nil {
			return nil, false, err
		}
		if len(body) == cap(body) {
			body = slices.Grow(body, 4<<10)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, c.SetReadDeadline(time.Time{})
		case err != nil:
			return nil, false, err
		case !short && len(body) > stream.MaxHeldBytes:
			return body, false, nil
		}
	}
}

// comes says whether more of an answer comes until then. It leaves the body's reader alone, which a deadline would end.
func (c *conn) comes(until time.Time) bool {
	if c.SetReadDeadline(until) != nil {
		return true // and reading tells why
	}
	_, err := c.br.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// probe asks a backend how it does: for its load where probes bring reports, else whether it is alive.
func (p *pool) probe(ctx context.Context, t *target, s *settings.Settings) result {
	path, reports := protocol.PathLive, s.Balancer.Reports != balancer.ReportsOff
	if reports {
		path = protocol.PathLoad
	}
	m := newMessage(http.MethodGet, path, t.addr, nil, nil, nil)
	m.probe = true
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	r := p.exchange(ctx, t, &m, &terms{deadline: deadline, fields: s.ReportFields})
	if r.outcome == balancer.OutcomeOK && reports {
		r.load = parseLoad(string(r.answer.body), s.ReportFields)
	}
	return r
}

// parseLoad reads a report such as inflight=7,queue=2. Names that the settings do not list, and what is no
// number, are left out: a bad report is an absent one.
func parseLoad(text string, fields []string) balancer.LoadReport {
	load := settings.UnknownLoad()
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		name = strings.TrimSpace(name)
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && slices.Contains(fields, name) {
			settings.SetLoadField(&load, name, v)
		}
	}
	return load
}
