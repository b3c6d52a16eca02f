package dispatch

import (
	"context"
	"net/http"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/upstream"
)

// actOnRequest executes one action on an open request.
func (l *Loop) actOnRequest(ctx context.Context, r *openRequest, a *balancer.Action) {
	switch a.Kind {
	case balancer.ActionSend:
		l.startAttempt(ctx, r, a)
	case balancer.ActionReject:
		r.respond(Response{Status: protocol.StatusRejected, RetryAfter: a.RetryAfter})
		l.removeIfDone(r)
	case balancer.ActionFail:
		r.respond(Response{Status: protocol.StatusFailed})
		l.removeIfDone(r)
	case balancer.ActionCancel:
		// The end of another attempt must not interrupt the download that the client is receiving.
		if a.Attempt < len(r.cancelAttempt) && r.streamingAttempt != a.Attempt {
			r.cancelAttempt[a.Attempt]()
		}
	}
}

// startAttempt sends a request to a server. The attempt expires without being sent if the request has ended, no time
// remains, the server has no endpoint, or it is a second attempt and there are too many.
func (l *Loop) startAttempt(ctx context.Context, r *openRequest, a *balancer.Action) {
	attempt := len(r.cancelAttempt)
	remaining := r.Deadline - l.clock.Now()
	if a.Timeout != 0 {
		remaining = min(remaining, a.Timeout)
	}
	endpoint := l.endpoints[a.Server]
	if r.ended.Load() || remaining <= 0 || endpoint == nil || l.hasNoRoomForSecond(r) {
		r.cancelAttempt = append(r.cancelAttempt, func() {})
		l.events = append(l.events, balancer.Event{
			Kind: balancer.EventOutcome, Request: r.balancerID, Attempt: attempt, Server: a.Server,
			Outcome: balancer.OutcomeExpired, Answered: r.ended.Load(), Load: settings.UnknownLoad(),
		})
		return
	}
	options := &upstream.Attempt{
		OnWritten: l.timeSending(r),
		Deadline:  time.Now().Add(remaining), LoadFields: l.settings.Load().ReportFields, Abandoned: r.hasEnded,
	}
	if class := &r.Settings.Balancer.Classes[r.Class]; class.Idempotency == balancer.NonIdempotent {
		options.PauseUntil = time.Now().Add(class.LatencyObjective)
	}
	if a.DispatchWithin > 0 {
		options.SendBefore = time.Now().Add(a.DispatchWithin)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	options.Timer = time.AfterFunc(remaining, func() { cancel(context.DeadlineExceeded) })
	started := streaming{request: r.balancerID, attempt: attempt, server: a.Server}
	l.reportStreaming(options, started)
	r.cancelAttempt = append(r.cancelAttempt, func() { cancel(context.Canceled) })
	r.inFlight++
	request := r.Upstream
	l.attempts.Add(1)
	r.hold()    // on a busy core the goroutine ends long after the attempt
	go func() { // ends with its context, at the latest with the loop's context
		defer r.release()
		defer l.attempts.Add(-1)
		result := l.pool.Exchange(ctx, endpoint, request, options)
		options.Timer.Stop()
		if result != nil {
			options.OnForwardEnd(result)
		}
	}()
}

// timeSending returns a function that charges the request and records how long it took until that was called.
func (l *Loop) timeSending(r *openRequest) func() {
	began := time.Now()
	charge := r.Account.Timer()
	return func() {
		charge()
		l.metrics.HopTook(metrics.HopSent, time.Since(began))
	}
}

// hasNoRoomForSecond reports whether an attempt would be a second one beside another of its request, beyond the limit. The
// others of a request that was admitted are within the limit, even if that has been lowered since.
func (l *Loop) hasNoRoomForSecond(r *openRequest) bool {
	return r.inFlight > 0 && l.attempts.Load() >= l.attemptLimit.Load()
}

// reportStreaming has an attempt notify the loop when it uses an upload, and when its response is a download and ends.
func (l *Loop) reportStreaming(options *upstream.Attempt, started streaming) {
	options.OnStreaming = func() { l.send(started) }
	options.Forward = func(response upstream.Response) {
		in := started
		in.response = clientResponse(response)
		l.send(in)
	}
	options.OnForwardEnd = func(result *upstream.Result) { l.endAttempt(started, result) }
}

// endAttempt reports the result of an attempt to the loop.
func (l *Loop) endAttempt(started streaming, result *upstream.Result) {
	l.send(attemptEnded{
		request: started.request, attempt: started.attempt, server: started.server,
		outcome: result.Outcome, load: result.Load, response: clientResponse(result.Response), abandoned: result.Abandoned,
	})
}

// clientResponse returns a server's response as it is passed on to the client.
func clientResponse(response upstream.Response) Response {
	return Response{Status: http.StatusOK, Arrived: time.Now(), ContentType: response.ContentType, Body: response.Body, Memory: response.Memory, Download: response.Download}
}

// startHealthCheck starts a health check of a server. If the server has no endpoint, the check expires without being
// sent.
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
