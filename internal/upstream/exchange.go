package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
)

var (
	// errRepeatTooLate says that the servers no longer remember a request that was to be repeated.
	errRepeatTooLate = errors.New("too late to repeat the request")
	errAbandoned     = errors.New("request abandoned")
)

// Response is a server's answer with status 200.
type Response struct {
	ContentType string
	Body        []byte
	Download    *stream.Download // in place of a body that is held; nil otherwise
}

// Result is how an attempt or a health check ended.
type Result struct {
	Outcome   balancer.Outcome
	Load      balancer.LoadReport
	Response  Response // a complete one, if the outcome is OK
	Abandoned bool     // nothing was sent, because nobody waits for the answer
}

// Attempt holds the terms of one exchange.
type Attempt struct {
	// Deadline is when the answer's first bytes have to be there; for a request with an upload it counts from its last byte.
	Deadline time.Time
	// Timer ends the exchange's context at the deadline. It may be nil if neither request nor answer can be a stream.
	Timer *time.Timer
	// SendBefore is when it is too late to send; the zero time stands for never.
	SendBefore time.Time
	// Abandoned says whether nobody waits for the answer any more; nil stands for never.
	Abandoned func() bool
	// LoadFields are the names that a load report may have.
	LoadFields []string
	// OnStreaming is called before the first of an upload is used.
	OnStreaming func()
	// Forward passes on an answer that is too long to be held, and returns when that has ended. If it is nil such an answer
	// counts as broken.
	Forward func(Response) error
}

// written is how much of a request was written: on its last byte it depends whether the request can have run.
type written int

const (
	writtenNothing written = iota
	writtenPart
	writtenAll
)

// Exchange sends a request once and waits for its answer until the context ends, whose cause is context.Canceled or
// context.DeadlineExceeded.
func (p *Pool) Exchange(ctx context.Context, e *Endpoint, r *Request, a *Attempt) Result {
	answer, sent, err := p.roundTrip(ctx, e, r, a)
	if err != nil {
		return Result{
			Outcome:   outcomeOfError(err, context.Cause(ctx), sent),
			Load:      settings.UnknownLoad(),
			Abandoned: errors.Is(err, errAbandoned),
		}
	}
	result := Result{
		Outcome: outcomeOfAnswer(answer.head),
		Load:    parseLoadReport(answer.head.Header.Get(protocol.HeaderLoadReport), a.LoadFields),
	}
	if result.Outcome == balancer.OutcomeOK {
		result.Response = Response{ContentType: answer.head.Header.Get("Content-Type"), Body: answer.body}
	}
	return result
}

// outcomeOfError returns the outcome of an exchange that failed. What was not written completely cannot have run.
func outcomeOfError(err, cause error, sent written) balancer.Outcome {
	switch {
	case errors.Is(err, errAbandoned):
		return balancer.OutcomeExpired
	case errors.Is(cause, context.Canceled) && sent == writtenNothing:
		return balancer.OutcomeExpired
	case errors.Is(cause, context.Canceled), errors.Is(err, stream.ErrNotRead):
		return balancer.OutcomeCancelled
	case errors.Is(err, errServerDraining):
		return balancer.OutcomeServerDraining
	case errors.Is(err, errRepeatTooLate), errors.Is(err, stream.ErrBodyIncomplete), isLocalShortage(err):
		return balancer.OutcomeExpired
	case sent != writtenAll:
		return balancer.OutcomeConnectFailed
	case cause != nil, errors.Is(err, context.DeadlineExceeded):
		return balancer.OutcomeTimeout
	}
	return balancer.OutcomeReset
}

// outcomeOfAnswer returns what a complete answer means. A request with a status that the protocol does not name may have
// run.
func outcomeOfAnswer(head *http.Response) balancer.Outcome {
	switch head.StatusCode {
	case http.StatusOK:
		return balancer.OutcomeOK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if head.Header.Get(protocol.HeaderRejected) == "1" {
			return balancer.OutcomeRejected
		}
	}
	return balancer.OutcomeError
}

// roundTrip returns a complete answer, or one whose body has been passed on, or an error and how much was written before it.
func (p *Pool) roundTrip(ctx context.Context, e *Endpoint, r *Request, a *Attempt) (*serverAnswer, written, error) {
	c, err := p.get(ctx, e)
	if err != nil {
		return nil, writtenNothing, err
	}
	reusable := false
	stop := context.AfterFunc(ctx, func() { c.Close() }) // which ends a read or write that waits
	defer func() {
		if stop() && reusable {
			p.put(c)
		} else {
			p.discard(c)
		}
	}()
	if err := checkSendable(e, r, a); err != nil {
		reusable = true
		return nil, writtenNothing, err
	}
	if err := c.writeRequest(r, a); err != nil {
		return nil, writtenPart, err
	}
	if !r.healthCheck {
		p.metrics.AttemptSent()
	}
	answer, err := c.receive(a)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, stream.ErrNotRead) {
			p.metrics.AnswerBroken(c.used, err)
			p.recordLoss(c, c.nothingRead())
		}
		return nil, writtenAll, err
	}
	p.recordLoss(c, false)
	// Bytes that follow an answer would be read as the next request's answer.
	reusable = !answer.head.Close && c.buffered.Buffered() == 0
	return answer, writtenAll, nil
}

// checkSendable is the last look before a request's first byte, because its connection may have been slow to come up.
func checkSendable(e *Endpoint, r *Request, a *Attempt) error {
	switch {
	case e.Draining():
		return errServerDraining
	case !a.SendBefore.IsZero() && !time.Now().Before(a.SendBefore):
		return errRepeatTooLate
	case a.Abandoned != nil && a.Abandoned():
		return errAbandoned
	case r.upload != nil && !r.upload.Claim():
		return stream.ErrBodyIncomplete
	}
	return nil
}

// writeRequest writes a request to its last byte. The attempt's time begins with the last byte of an upload.
func (c *conn) writeRequest(r *Request, a *Attempt) error {
	if r.upload == nil {
		_, err := c.Write(r.encode(time.Until(a.Deadline)))
		return err
	}
	defer r.upload.Release()
	a.OnStreaming()
	a.Timer.Stop()
	if _, err := c.Write(r.encode(r.upload.Budget)); err != nil {
		return err
	}
	if err := r.upload.SendTo(c); err != nil {
		return err
	}
	a.Timer.Reset(r.upload.Budget)
	return nil
}

// receive reads an answer, and passes it on if it is too long to be held.
func (c *conn) receive(a *Attempt) (*serverAnswer, error) {
	answer, err := c.readAnswer()
	if err != nil || answer.rest == nil {
		return answer, err
	}
	if err := c.passOn(answer, a); err != nil {
		return nil, err
	}
	return &serverAnswer{head: answer.head}, nil
}

// passOn passes on an answer that is too long to be held. Its first bytes were in time, and no deadline holds from here on.
func (c *conn) passOn(answer *serverAnswer, a *Attempt) error {
	if outcomeOfAnswer(answer.head) != balancer.OutcomeOK {
		answer.head.Close = true // nobody reads the rest
		return nil
	}
	if a.Forward == nil {
		return errAnswerTooLong
	}
	if !a.Timer.Stop() {
		return context.DeadlineExceeded // the context may not have ended yet
	}
	return a.Forward(Response{
		ContentType: answer.head.Header.Get("Content-Type"),
		Download:    stream.NewDownload(answer.head.ContentLength, answer.body, answer.rest, c, func() { c.Close() }),
	})
}
