package dispatch

import (
	"context"
	"net/http"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// actOnRequest carries out one action that concerns an open request.
func (l *Loop) actOnRequest(ctx context.Context, r *openRequest, a *balancer.Action) {
	switch a.Kind {
	case balancer.ActionSend:
		l.startAttempt(ctx, r, a)
	case balancer.ActionReject:
		r.answer(Answer{Status: protocol.StatusRejected, RetryAfter: a.RetryAfter})
		l.forget(r)
	case balancer.ActionFail:
		r.answer(Answer{Status: protocol.StatusFailed})
		l.forget(r)
	case balancer.ActionCancel:
		// The end of another attempt must not cut off the answer that the client is getting.
		if a.Attempt < len(r.cancelAttempt) && r.streamingAttempt != a.Attempt {
			r.cancelAttempt[a.Attempt]()
		}
	}
}

// startAttempt sends a request to a server. What cannot be sent any more has expired.
func (l *Loop) startAttempt(ctx context.Context, r *openRequest, a *balancer.Action) {
	attempt := len(r.cancelAttempt)
	left := r.Deadline - l.clock.Now()
	if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	endpoint := l.endpoints[a.Server]
	if r.ended.Load() || left <= 0 || endpoint == nil {
		r.cancelAttempt = append(r.cancelAttempt, func() {})
		l.events = append(l.events, balancer.Event{
			Kind: balancer.EventOutcome, Request: r.number, Attempt: attempt, Server: a.Server,
			Outcome: balancer.OutcomeExpired, Answered: r.ended.Load(), Load: settings.UnknownLoad(),
		})
		return
	}
	options := &upstream.Attempt{
		Deadline: time.Now().Add(left), LoadFields: l.settings.Load().ReportFields, Abandoned: r.over,
	}
	if a.DispatchWithin > 0 {
		options.SendBefore = time.Now().Add(a.DispatchWithin)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	options.Timer = time.AfterFunc(left, func() { cancel(context.DeadlineExceeded) })
	l.reportStreaming(options, streaming{request: r.number, attempt: attempt, server: a.Server})
	r.cancelAttempt = append(r.cancelAttempt, func() { cancel(context.Canceled) })
	r.inFlight++
	ended := attemptEnded{request: r.number, attempt: attempt, server: a.Server}
	request := r.Upstream
	go func() { // ends with its context, at the latest with the loop's
		result := l.pool.Exchange(ctx, endpoint, request, options)
		options.Timer.Stop()
		ended.outcome = result.Outcome
		ended.load = result.Load
		ended.answer = clientAnswer(result.Response)
		ended.abandoned = result.Abandoned
		l.send(ended)
	}()
}

// reportStreaming notifies the loop when an attempt uses an upload, and when its answer is a download. The attempt then
// waits until the client's handler has finished the download.
func (l *Loop) reportStreaming(options *upstream.Attempt, begun streaming) {
	options.OnStreaming = func() { l.send(begun) }
	options.Forward = func(a upstream.Response) error {
		in := begun
		in.answer = clientAnswer(a)
		l.send(in)
		select {
		case err := <-a.Download.Done():
			return err
		case <-l.done:
			return stream.ErrNotRead
		}
	}
}

// clientAnswer is a server's answer as the client gets it.
func clientAnswer(a upstream.Response) Answer {
	return Answer{Status: http.StatusOK, ContentType: a.ContentType, Body: a.Body, Download: a.Download}
}

// startHealthCheck checks a server. One that has no endpoint is not checked: the check has expired.
func (l *Loop) startHealthCheck(ctx context.Context, server balancer.ServerID) {
	endpoint := l.endpoints[server]
	if endpoint == nil {
		l.events = append(l.events, balancer.Event{
			Kind: balancer.EventHealthCheck, Server: server, Outcome: balancer.OutcomeExpired, Load: settings.UnknownLoad(),
		})
		return
	}
	set := l.settings.Load()
	go func() { // ends with its own timeout
		result := l.pool.HealthCheck(ctx, endpoint, set)
		l.send(healthCheckEnded{server: server, outcome: result.Outcome, load: result.Load})
	}()
}
