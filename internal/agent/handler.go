package agent

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/admin"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

const (
	maxAnswerMargin     = 25 * time.Millisecond
	answerMarginShare   = 10              // of a budget that is its margin at most
	answerWriteTimeout  = 5 * time.Second // for a client to take its answer
	maxRequestIDBytes   = 256             // bytes
	overLimitRetryAfter = time.Second     // when to come back to an agent that holds all the requests it can
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length"}

var ErrNotReady = errors.New("not up yet: no list of backends, or no listener")

// Dispatcher answers requests; a Loop is one.
type Dispatcher interface {
	Settings() *settings.Settings
	Now() time.Duration
	Ready() bool
	Submit(*dispatch.Request)
	Abandon(*dispatch.Request)
}

// clientHandler is the client's side: it turns requests into calls for the loop, and its answers into responses.
type clientHandler struct {
	dispatcher  Dispatcher
	metrics     *metrics.Metrics
	listener    *Listener
	buffers     *stream.Buffers // of streams
	maxRequests int64           // requests held at once

	drain *drainer      // while clients are sent away, connections are closed after their answers
	hurry chan struct{} // closed when what is open is to be answered as failed: the process is about to be killed

	openRequests atomic.Int64 // requests
	ready        atomic.Bool  // for clients
}

// badRequest is what a client did wrong, and the status that tells it so.
type badRequest struct {
	status int
	what   string
}

func (e *badRequest) Error() string { return e.what }

func (e *badRequest) answer() dispatch.Answer {
	return dispatch.Answer{Status: e.status, ContentType: "text/plain", Body: []byte(e.what + "\n")}
}

func bad(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func (s *clientHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Danger: a body that nobody reads is read by net/http behind the answer, and would be waited for without an end.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(stream.BodyGrace))
	if err := checkFraming(r); err != nil {
		s.answerBadRequest(w, err)
		return
	}
	if r.URL.Path == protocol.PathReady {
		if err := s.checkReady(); err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
		return
	}
	c, err := s.readRequest(w, r)
	var b *badRequest
	switch {
	case errors.As(err, &b):
		s.answerBadRequest(w, b)
		return
	case err != nil, !s.listener.takeRequest(connOf(r)): // the connection is gone
		panic(http.ErrAbortHandler)
	}
	if u := c.Upstream.Upload(); u != nil {
		u.OnComplete = func() {
			s.metrics.RequestOpened()
			s.listener.uploadComplete(connOf(r))
		}
		defer s.closeUpload(w, u)
		if !u.Reserve(s.buffers) {
			s.metrics.RequestOverLimit()
			s.finishRequest(w, r, c, dispatch.Answer{Status: protocol.StatusRejected, RetryAfter: s.fullAdvice()})
			return
		}
	} else {
		s.metrics.RequestOpened()
		defer s.metrics.RequestClosed()
	}
	defer s.openRequests.Add(-1)
	if s.openRequests.Add(1) > s.maxRequests {
		s.metrics.RequestOverLimit()
		s.finishRequest(w, r, c, dispatch.Answer{Status: protocol.StatusRejected, RetryAfter: s.fullAdvice()})
		return
	}
	s.dispatcher.Submit(c)
	var late <-chan time.Time
	if left, bounded := s.drain.requestLimit(); bounded {
		late = time.After(left)
	}
	select {
	case a := <-c.Answered():
		switch {
		case a.Status == 0:
			panic(http.ErrAbortHandler)
		case a.Download == nil:
			s.finishRequest(w, r, c, a)
		case late != nil || c.Upstream.Upload() != nil && s.drain.limitsRequests(): // nobody knows how long it would flow, and it cannot be taken back
			a.Download.Finish(stream.ErrNotRead)
			s.finishRequest(w, r, c, dispatch.Answer{Status: protocol.StatusFailed})
		default:
			s.streamAnswer(w, r, c, a)
		}
	case <-late:
		s.failRequest(w, r, c)
	case <-s.hurry:
		s.failRequest(w, r, c)
	case <-r.Context().Done():
		s.dispatcher.Abandon(c)
		// Danger: a handler that returns without a word answers 200, and a client that has closed only its own
		// side would take that for what a backend made.
		panic(http.ErrAbortHandler)
	}
}

// closeUpload ends all use of a long body, whose request has ended.
func (s *clientHandler) closeUpload(w http.ResponseWriter, u *stream.Upload) {
	u.Close(http.NewResponseController(w))
	if u.Complete() {
		s.metrics.RequestClosed()
	}
}

// failRequest answers a request as failed whose answer can be waited for no longer.
func (s *clientHandler) failRequest(w http.ResponseWriter, r *http.Request, c *dispatch.Request) {
	s.dispatcher.Abandon(c)
	s.finishRequest(w, r, c, dispatch.Answer{Status: protocol.StatusFailed})
}

// checkReady says why clients cannot be served, if they can not.
func (s *clientHandler) checkReady() error {
	if err := s.drain.reason(); err != nil {
		return err
	}
	if !s.ready.Load() || !s.dispatcher.Ready() {
		return ErrNotReady
	}
	return nil
}

// answerBadRequest answers what was never taken.
func (s *clientHandler) answerBadRequest(w http.ResponseWriter, why *badRequest) {
	s.metrics.BadRequest(why.what)
	s.writeAnswer(w, why.answer())
}

// calls are what the operators may ask on the console.
func (s *clientHandler) calls() map[string]admin.Command {
	return map[string]admin.Command{
		"check":     func(io.Writer) error { return s.checkReady() },
		"drain-on":  func(io.Writer) error { s.drain.start(); return nil },
		"drain-off": func(io.Writer) error { return s.drain.stop() },
		"vars": func(w io.Writer) error {
			if err := s.metrics.WriteText(w); err != nil {
				return err
			}
			_, err := fmt.Fprintln(w, "eof")
			return err
		},
	}
}

// finishRequest gives a request that was taken its answer and counts it.
func (s *clientHandler) finishRequest(w http.ResponseWriter, r *http.Request, c *dispatch.Request, a dispatch.Answer) {
	s.metrics.RequestAnswered(c.ClassName, metrics.ResultOf(a.Status))
	s.finishBody(w, c)
	s.writeAnswer(w, a)
	if u := c.Upstream.Upload(); u != nil && !u.Complete() && http.NewResponseController(w).Flush() == nil {
		s.listener.requestAnswered(connOf(r))
		u.Discard()
	}
}

// finishBody notes, before its answer, that a long body has not come to its end: the rest is in the way of a next request.
func (s *clientHandler) finishBody(w http.ResponseWriter, c *dispatch.Request) {
	if u := c.Upstream.Upload(); u != nil && !u.Complete() {
		w.Header().Set("Connection", "close")
	}
}

// streamAnswer gives a request that was taken an answer that flows, and counts it by how it ends.
func (s *clientHandler) streamAnswer(w http.ResponseWriter, r *http.Request, c *dispatch.Request, a dispatch.Answer) {
	s.finishBody(w, c)
	s.writeHead(w, a, a.Download.Length())
	err := a.Download.CopyTo(r.Context(), w, s.buffers)
	if err == nil {
		s.metrics.RequestAnswered(c.ClassName, metrics.ResultOK)
		return
	}
	s.metrics.RequestAnswered(c.ClassName, metrics.ResultErrors)
	s.metrics.AnswerBroken(false, err)
	// The client has to see that this was not all, also where only the close would end the answer.
	connOf(r).reset()
	panic(http.ErrAbortHandler)
}

// overLimitRetryAfter is when to come back to an agent that holds all it can, as far as the settings allow such advice.
func (s *clientHandler) fullAdvice() time.Duration {
	set := &s.dispatcher.Settings().Balancer
	if !set.AdviseRetryAfter {
		return 0
	}
	return min(overLimitRetryAfter, cmp.Or(set.MaxRetryAfter, overLimitRetryAfter))
}

// writeAnswer writes an answer. Whether the connection is to close is asked only now: a request that was taken before
// the agent was told to stop must not leave a connection on which the next one crosses the close.
func (s *clientHandler) writeAnswer(w http.ResponseWriter, a dispatch.Answer) {
	// Danger: a client that reads nothing would hold its answer for good. Where there is no deadline to set the
	// connection is gone, and writing tells.
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	s.writeHead(w, a, int64(len(a.Body)))
	w.Write(a.Body) // a client that does not take it is gone
}

// writeHead writes the head of an answer with a body of so many bytes, or of as many as will come if that is below 0.
func (s *clientHandler) writeHead(w http.ResponseWriter, a dispatch.Answer, length int64) {
	h := w.Header()
	// What else a client sends that has sent nonsense is not to be trusted either.
	if s.drain.reason() != nil || a.Status/100 == 4 {
		h.Set("Connection", "close")
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = nil // or net/http guesses one
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.Status)
}

// checkFraming checks how a request's body is said to end, before any of it is read.
func checkFraming(r *http.Request) *badRequest {
	head, chunked := &connOf(r).head, len(r.TransferEncoding) > 0
	switch {
	case head.transferEncoding && (head.contentLength || !chunked), chunked && !head.ended:
		// Danger: net/http drops the length that stands beside chunks, and the chunks of a request that cannot have them,
		// and one of both hides a request in the body from whoever goes by the other.
		return &badRequest{http.StatusBadRequest, "Transfer-Encoding and Content-Length do not go together"}
	case r.ContentLength > stream.MaxBytes:
		return &badRequest{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of over %d bytes", stream.MaxBytes)}
	}
	return nil
}

// onceHeaders say what a request is; two of one would leave open which counts.
var onceHeaders = []string{protocol.HeaderRequestID, protocol.HeaderClass, protocol.HeaderTenant, protocol.HeaderBudget, protocol.HeaderRetry, protocol.HeaderIdempotencyKey}

// readRequest checks a request's head, and then reads it to its last byte, from which its budget counts.
func (s *clientHandler) readRequest(w http.ResponseWriter, r *http.Request) (*dispatch.Request, error) {
	set := s.dispatcher.Settings()
	// What concerns this connection only goes before anything is checked: it may name what is needed.
	for _, name := range r.Header["Connection"] {
		for field := range strings.SplitSeq(name, ",") {
			r.Header.Del(textproto.TrimString(field))
		}
	}
	for _, name := range hopHeaders {
		r.Header.Del(name)
	}
	for _, name := range onceHeaders {
		if len(r.Header[name]) > 1 {
			return nil, bad("%s stands there twice", name)
		}
	}
	c := dispatch.NewRequest(set)
	c.Class = slices.Index(set.ClassNames, r.Header.Get(protocol.HeaderClass))
	c.Retry = r.Header.Get(protocol.HeaderRetry) == "1"
	c.ClientClosed = connOf(r).closedByClient
	if c.Class < 0 {
		return nil, bad("%s is unknown", protocol.HeaderClass)
	}
	c.ClassName = set.ClassNames[c.Class]
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != set.ClassNames[c.Class] ||
		!strings.HasPrefix(r.RequestURI, "/") {
		return nil, bad("the path does not begin with the class")
	}
	if err := checkEffect(set.Balancer.Classes[c.Class].Idempotency, r); err != nil {
		return nil, err
	}
	if len(set.TenantNames) > 0 {
		if c.Tenant = slices.Index(set.TenantNames, r.Header.Get(protocol.HeaderTenant)); c.Tenant < 0 {
			return nil, bad("%s is unknown", protocol.HeaderTenant)
		}
	}
	budget, err := protocol.ParseBudget(r.Header.Get(protocol.HeaderBudget))
	if err != nil {
		return nil, bad("%s is no time", protocol.HeaderBudget)
	}
	if c.ID = r.Header.Get(protocol.HeaderRequestID); c.ID == "" || len(c.ID) > maxRequestIDBytes {
		return nil, bad("%s is missing or too long", protocol.HeaderRequestID)
	}
	body, long, err := readBody(r, http.NewResponseController(w))
	if err != nil {
		return nil, &badRequest{http.StatusRequestTimeout, fmt.Sprintf("the body does not come: %v", err)}
	}
	budget -= answerMargin(budget)
	c.Deadline = s.dispatcher.Now() + budget
	if long != nil {
		long.Budget = budget
	} else if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		// From here on the connection is watched for a client that goes, for as long as the answer takes.
		return nil, err
	}
	c.Upstream = upstream.NewRequest(r.Method, r.RequestURI, r.Host, r.Header, body, long)
	return c, nil
}

// readBody returns a body that can be held whole, or else what it can be read from.
func readBody(r *http.Request, rc *http.ResponseController) (body []byte, long *stream.Upload, err error) {
	from := stream.NewPacedReader(r.Body, rc, clock.Instant(connOf(r).begun.Load()).Time())
	if r.ContentLength > stream.MaxHeldBytes {
		return nil, stream.NewUpload(r.ContentLength, nil, from), nil
	}
	if r.ContentLength >= 0 {
		body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(from, body)
		return body, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(from, stream.MaxHeldBytes+1))
	if len(body) > stream.MaxHeldBytes {
		return nil, stream.NewUpload(r.ContentLength, body, from), err
	}
	return body, nil, err
}

// checkEffect checks that a request is sent as its class's effect asks. Danger: a keyed request without its
// key would be repeated as if backends could tell.
func checkEffect(effect balancer.Idempotency, r *http.Request) error {
	method, keyed := http.MethodPost, effect == balancer.IdempotentWithKey
	if effect == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return &badRequest{http.StatusMethodNotAllowed, "the class wants " + method}
	}
	if keyed && r.Header.Get(protocol.HeaderIdempotencyKey) == "" {
		return bad("the class wants %s", protocol.HeaderIdempotencyKey)
	}
	return nil
}

// answerMargin is how long before a client gives up it is owed its answer at the latest: an answer that is only made
// then, when an attempt's time is up, reaches nobody, and on a busy core it counts as lost.
func answerMargin(budget time.Duration) time.Duration {
	return min(maxAnswerMargin, budget/answerMarginShare)
}
