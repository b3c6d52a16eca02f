package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// Request is a client's request, which the client's handler shares with the loop. The handler fills in the exported fields
// before it submits the request, and leaves them to the loop from then on.
type Request struct {
	ID        string // the client's
	ClassName string
	Settings  *settings.Settings // by which it was read
	Class     int                // position in the settings
	Tenant    int                // likewise
	Retry     bool               // the client repeats it
	Deadline  time.Duration      // in the loop's time
	Upstream  *upstream.Request  // what is sent to a server
	// ClientClosed says whether the client has closed its connection. Any goroutine may call it.
	ClientClosed func() bool

	response   chan Response // holds one, so that the loop never waits for a handler
	balancerID balancer.RequestID
	idHash     uint64
	ended      atomic.Bool // answered or abandoned; only the loop sets it
}

// NewRequest returns a request that was read by these settings.
func NewRequest(s *settings.Settings) *Request {
	return &Request{Settings: s, response: make(chan Response, 1)}
}

// Response gives the request's only answer. A handler that does not wait for it has to abandon the request.
func (r *Request) Response() <-chan Response { return r.response }

// hasEnded says that nothing may be begun for the request any more.
func (r *Request) hasEnded() bool { return r.ended.Load() || r.ClientClosed() }

// Response is what a client gets.
type Response struct {
	Status      int           // 0: no answer, because the client has closed its connection
	RetryAfter  time.Duration // 0: no advice
	ContentType string
	Body        []byte
	Download    *stream.Download // in place of a body that is held; nil otherwise
}

// openRequest is what the loop knows of a request until that is answered and its attempts have ended.
type openRequest struct {
	*Request
	cancelAttempt    []context.CancelFunc // by the number of the attempt
	inFlight         int                  // attempts
	streamingAttempt int                  // whose answer is passed on to the client; noAttempt for none
}

const noAttempt = -1

func newOpenRequest(r *Request) *openRequest {
	return &openRequest{Request: r, streamingAttempt: noAttempt}
}

// respond hands the handler its respond. It is false if the request was answered or abandoned before.
func (r *openRequest) respond(a Response) bool {
	if r.ended.Swap(true) {
		return false
	}
	r.response <- a
	return true
}

// newBalancerID returns a number that no open request has.
func (l *Loop) newBalancerID() balancer.RequestID {
	for {
		l.lastID++
		if l.requests[l.lastID] == nil {
			return l.lastID
		}
	}
}

// removeIfDone drops a request of which nothing more is to be heard.
func (l *Loop) removeIfDone(r *openRequest) {
	if r.ended.Load() && r.inFlight == 0 {
		delete(l.requests, r.balancerID)
		l.ids.close(r.idHash)
	}
}
