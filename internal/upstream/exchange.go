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
	// errSendTooLate is returned for an attempt after Attempt.SendBefore: the servers may have forgotten the request's
	// earlier attempts and would not deduplicate it.
	errSendTooLate = errors.New("too late to send another attempt")
	errAbandoned   = errors.New("request abandoned")
)

// Response is a server's response with status 200.
type Response struct {
	ContentType string
	Body        []byte
	Memory      *stream.Reservation // of Body; whoever drops the body releases it
	Download    *stream.Download    // replaces Body if the body is too large to buffer; nil otherwise
}

// Result describes how an attempt or a health check ended.
type Result struct {
	Outcome   balancer.Outcome
	Load      balancer.LoadReport
	Response  Response // complete if the outcome is OK; otherwise zero
	Abandoned bool     // nothing was sent, because nobody waits for the response
}

// Attempt holds the deadlines and callbacks of one exchange.
type Attempt struct {
	// Deadline is when the first bytes of the response must have arrived. Once the body of an upload is being sent,
	// Upload.Deadline replaces it.
	Deadline time.Time
	// Timer ends the exchange's context at the deadline. It may be nil if neither request nor response can be a stream.
	Timer *time.Timer
	// SendBefore is when it is too late to send the request; the zero time means never.
	SendBefore time.Time
	// PauseUntil is until when a response that is being buffered may pause, if that is later than maxResponsePause allows.
	// It is for requests that cannot be sent again.
	PauseUntil time.Time
	// Abandoned reports whether nobody waits for the response any more; nil means never.
	Abandoned func() bool
	// OnWritten is called when the request has been written or nothing more of it will be; nil for none.
	OnWritten func()
	// LoadFields are the field names that a load report may contain.
	LoadFields []string
	// OnStreaming is called before any of an upload is sent.
	OnStreaming func()
	// Forward takes a response that is too large to buffer. If it is nil, a response of over maxHealthCheckBytes counts as
	// broken.
	Forward func(Response)
	// OnForwardEnd is called with the result when the download of a forwarded response has ended.
	OnForwardEnd func(*Result)
}

// writeProgress is how much of a request was written. A request cannot have run before its last byte was written.
type writeProgress int

const (
	writtenNothing writeProgress = iota
	writtenPart
	writtenAll
)

// exchange is an attempt that has a connection.
type exchange struct {
	ctx     context.Context
	pool    *Pool
	conn    *conn
	attempt *Attempt
	unwatch func() bool // see context.AfterFunc; until then the connection closes at the end of the context
}

// Exchange sends a request once and waits for its response until the context ends. The cause of the context must be
// context.Canceled or context.DeadlineExceeded. A response that is too large to buffer is passed to Attempt.Forward, and
// the exchange ends later; the result is then nil.
//
// A request waits here for its response, so results are passed by reference: with copies of them in each frame the stack
// would not fit into 4 KiB.
func (p *Pool) Exchange(ctx context.Context, e *Endpoint, r *Request, a *Attempt) *Result {
	x, failed := p.send(ctx, e, r, a)
	if a.OnWritten != nil {
		a.OnWritten()
	}
	if failed != nil {
		return failed
	}
	if !r.healthCheck {
		p.metrics.AttemptSent()
	}
	return x.receive()
}

// send writes a request to a server. If that fails, it returns the result.
func (p *Pool) send(ctx context.Context, e *Endpoint, r *Request, a *Attempt) (x *exchange, failed *Result) {
	if a.Abandoned != nil && a.Abandoned() {
		return nil, resultOfError(ctx, errAbandoned, writtenNothing)
	}
	c, err := p.get(ctx, e)
	if err != nil {
		return nil, resultOfError(ctx, err, writtenNothing)
	}
	x = &exchange{
		ctx: ctx, pool: p, conn: c, attempt: a,
		unwatch: context.AfterFunc(ctx, func() { c.Close() }), // unblocks a pending read or write
	}
	if err := checkSendable(e, r, a); err != nil {
		x.release(true)
		return nil, resultOfError(ctx, err, writtenNothing)
	}
	if err := c.writeRequest(r, a); err != nil {
		x.release(false)
		return nil, resultOfError(ctx, err, writtenPart)
	}
	return x, nil
}

// resultOfError returns the result of an exchange that failed.
func resultOfError(ctx context.Context, err error, sent writeProgress) *Result {
	return &Result{
		Outcome:   outcomeForError(err, context.Cause(ctx), sent),
		Load:      settings.UnknownLoad(),
		Abandoned: errors.Is(err, errAbandoned),
	}
}

// release returns the connection to the pool, or closes it unless it may be reused.
func (x *exchange) release(reusable bool) {
	x.conn.account.Pause()
	if x.unwatch() && reusable {
		x.pool.put(x.conn)
	} else {
		x.pool.discard(x.conn)
	}
}

// receive reads the response. It ends the exchange unless it forwards the response.
func (x *exchange) receive() *Result {
	limit := int64(stream.MaxBufferedBytes)
	if x.attempt.Forward == nil { // the response cannot be streamed
		limit = maxHealthCheckBytes
	}
	response, err := x.conn.readResponse(limit, x.attempt.PauseUntil)
	if err != nil {
		return x.fail(err)
	}
	result := &Result{
		Outcome: outcomeForResponse(response.head),
		Load:    parseLoadReport(response.head.Header.Get(protocol.HeaderLoadReport), x.attempt.LoadFields),
	}
	switch {
	case result.Outcome != balancer.OutcomeOK:
		response.memory.Release()
		closes := response.head.Close || response.rest != nil // nobody reads the rest
		return x.finish(result, closes)
	case response.rest != nil:
		return x.forward(response, result)
	}
	result.Response = Response{ContentType: response.head.Header.Get("Content-Type"), Body: response.body, Memory: response.memory}
	return x.finish(result, response.head.Close)
}

// finish ends the exchange after a complete response, and returns the result. The connection is reused unless it closes.
func (x *exchange) finish(result *Result, closes bool) *Result {
	x.pool.recordLoss(x.conn, false)
	x.release(!closes && x.conn.endResponse())
	return result
}

// fail ends the exchange after an error in the response, and returns the result.
func (x *exchange) fail(err error) *Result {
	if x.ctx.Err() == nil && !errors.Is(err, stream.ErrNotRead) {
		x.pool.metrics.ResponseBroken(x.conn.used, err)
		x.pool.recordLoss(x.conn, x.conn.head.nothingRead())
	}
	x.release(false)
	return resultOfError(x.ctx, err, writtenAll)
}

// forward passes on a response that is too large to buffer. Its first bytes arrived before the deadline, which no longer
// applies. result is that of the exchange if the download succeeds.
func (x *exchange) forward(response *serverResponse, result *Result) *Result {
	var err error
	switch {
	case x.attempt.Forward == nil:
		err = errResponseTooLarge
	case !x.attempt.Timer.Stop():
		err = context.DeadlineExceeded // the context may not have ended yet
	}
	if err != nil {
		response.memory.Release()
		return x.fail(err)
	}
	closes := response.head.Close
	download := stream.NewDownload(response.head.ContentLength, response.body, response.memory, response.rest, x.conn,
		func() { x.conn.Close() })
	x.conn.account.Pause()
	download.ChargeReads(x.conn.account)
	download.OnEnd(func(err error) {
		if err != nil {
			result = x.fail(err)
		} else {
			result = x.finish(result, closes)
		}
		x.attempt.OnForwardEnd(result)
	})
	x.attempt.Forward(Response{ContentType: response.head.Header.Get("Content-Type"), Download: download})
	return nil
}

// outcomeForError returns the outcome of an exchange that failed. A request that was not written completely cannot have
// run.
func outcomeForError(err, cause error, sent writeProgress) balancer.Outcome {
	switch {
	case errors.Is(err, errAbandoned):
		return balancer.OutcomeExpired
	case errors.Is(cause, context.Canceled) && sent == writtenNothing:
		return balancer.OutcomeExpired
	case errors.Is(cause, context.Canceled), errors.Is(err, stream.ErrNotRead):
		return balancer.OutcomeCancelled
	case errors.Is(err, errServerDraining):
		return balancer.OutcomeServerDraining
	case errors.Is(err, errSendTooLate), errors.Is(err, stream.ErrBodyIncomplete), isSocketShortage(err):
		return balancer.OutcomeExpired
	case sent != writtenAll:
		return balancer.OutcomeConnectFailed
	case cause != nil, errors.Is(err, context.DeadlineExceeded):
		return balancer.OutcomeTimeout
	}
	return balancer.OutcomeReset
}

// outcomeForResponse returns the outcome for a complete response. A request may have run if its response has a status
// that the protocol does not name.
func outcomeForResponse(head *http.Response) balancer.Outcome {
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

// checkSendable returns an error if a request must no longer be sent. It runs right before the first byte is written,
// because connecting may have taken long.
func checkSendable(e *Endpoint, r *Request, a *Attempt) error {
	switch {
	case e.Draining():
		return errServerDraining
	case !a.SendBefore.IsZero() && !time.Now().Before(a.SendBefore):
		return errSendTooLate
	case a.Abandoned != nil && a.Abandoned():
		return errAbandoned
	case r.upload != nil && !r.upload.Claim():
		return stream.ErrBodyIncomplete
	}
	return nil
}

// writeRequest writes a request up to its last byte.
func (c *conn) writeRequest(r *Request, a *Attempt) error {
	if r.upload == nil {
		return r.writeTo(c, time.Until(a.Deadline))
	}
	return c.writeUpload(r, a)
}

// writeUpload writes a request whose body is an upload. The upload's deadline, which moves as long as the client is
// sending, replaces that of the attempt: it bounds the writes, and after the last byte the attempt's timer.
func (c *conn) writeUpload(r *Request, a *Attempt) error {
	defer r.upload.Release()
	c.limitSendBuffer()
	a.OnStreaming()
	a.Timer.Stop()
	if err := c.SetWriteDeadline(r.upload.Deadline()); err != nil {
		return err
	}
	if err := r.writeTo(c, time.Until(r.upload.Deadline())); err != nil {
		return err
	}
	if err := r.upload.SendTo(c); err != nil {
		return err
	}
	a.Timer.Reset(time.Until(r.upload.Deadline()))
	// This fails only on a closed connection. The request may have run by now, so the read that fails next decides the
	// outcome.
	_ = c.SetWriteDeadline(time.Time{})
	return nil
}
