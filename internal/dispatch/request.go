package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// Request is a client's request, which the client's handler shares with the loop. The handler sets the exported fields
// before it submits the request; after that only the loop may change them.
type Request struct {
	ID        string // as assigned by the client
	ClassName string
	Settings  *settings.Settings  // by which it was parsed
	Class     int                 // index into the settings' classes
	Tenant    int                 // index into the settings' tenants
	Retry     bool                // the client marked it as a retry
	Deadline  time.Duration       // on the loop's clock
	Upstream  *upstream.Request   // what is sent to a server
	Memory    *stream.Reservation // of the body; released when the request and its attempts have ended
	Received  time.Time           // when its last byte was read, or the first bytes of an upload
	// Account is charged for the request's work; nil if the processor is not shared.
	Account *fairshare.Account
	// ClientClosed reports whether the client has closed its connection. Any goroutine may call it.
	ClientClosed func() bool

	response   chan Response // capacity 1, so that the loop never waits for a handler
	slot       *slots        // set by Loop.Admit
	holders    atomic.Int32  // of the slot: the request and the goroutines of its attempts
	balancerID balancer.RequestID
	idHash     uint64
	ended      atomic.Bool // answered or abandoned; set by the loop only
}

// NewRequest returns a request that is parsed by the given settings.
func NewRequest(s *settings.Settings) *Request {
	return &Request{Settings: s, response: make(chan Response, 1)}
}

// end releases what the request holds, once it and its attempts have ended.
func (r *Request) end() {
	r.Memory.Release()
	r.release()
}

// hold keeps the request's slot until release is called as often.
func (r *Request) hold() { r.holders.Add(1) }

// release gives the request's slot back, if it has one, when nobody holds it any more.
func (r *Request) release() {
	if r.holders.Add(-1) == 0 && r.slot != nil {
		r.slot.release()
	}
}

// Response returns the channel on which the loop sends the request's only response. A handler that does not wait for
// the response has to abandon the request.
func (r *Request) Response() <-chan Response { return r.response }

// hasEnded reports whether the request has ended or its client has closed the connection. In either case no attempt may
// be sent.
func (r *Request) hasEnded() bool { return r.ended.Load() || r.ClientClosed() }

// Response is the response to a client's request.
type Response struct {
	Status      int           // 0: no response, because the client has closed its connection
	RetryAfter  time.Duration // 0: no Retry-After header
	Arrived     time.Time     // when the server's response had been read; the zero time if there is none
	ContentType string
	Body        []byte
	Memory      *stream.Reservation // of Body; released by the handler, or by Drop
	Download    *stream.Download    // replaces Body if the body is too long to be buffered; nil otherwise
}

// Drop ends a response that no client receives.
func (r *Response) Drop() {
	r.Memory.Release()
	if r.Download != nil {
		go r.Download.Finish(stream.ErrNotRead) // its attempt then reports to the loop, which may be the caller
	}
}

// openRequest is the loop's state of a request until the request has ended and all its attempts have ended.
type openRequest struct {
	*Request
	cancelAttempt    []context.CancelFunc // by attempt number
	inFlight         int                  // number of attempts in flight
	streamingAttempt int                  // the attempt whose download the client receives, or noAttempt
}

const noAttempt = -1

func newOpenRequest(r *Request) *openRequest {
	return &openRequest{Request: r, streamingAttempt: noAttempt}
}

// respond sends the response to the handler. It returns false if the request was already answered or abandoned.
func (r *openRequest) respond(response Response) bool {
	if r.ended.Swap(true) {
		return false
	}
	r.response <- response
	return true
}

// newBalancerID returns an id that no open request has.
func (l *Loop) newBalancerID() balancer.RequestID {
	for {
		l.lastID++
		if l.requests[l.lastID] == nil {
			return l.lastID
		}
	}
}

// removeIfDone removes a request that has ended and has no attempts in flight.
func (l *Loop) removeIfDone(r *openRequest) {
	if r.ended.Load() && r.inFlight == 0 {
		delete(l.requests, r.balancerID)
		l.ids.close(r.idHash)
		r.end()
	}
}
