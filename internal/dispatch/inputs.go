package dispatch

import (
	"context"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
)

// input is an occurrence that the loop reacts to. The loop's goroutine calls handle.
type input interface {
	handle(ctx context.Context, l *Loop)
}

type (
	// endpointsNotified is a watch event of discovery.
	endpointsNotified struct{ discovery.WatchEvent }
	// submitted is a request that has been read from a client, completely or up to its upload.
	submitted struct{ request *Request }
	// abandoned is a request whose response is no longer awaited.
	abandoned struct{ request *Request }
	// streaming reports that an attempt uses an upload, or that its response is a download.
	streaming struct {
		request  balancer.RequestID
		attempt  int
		server   balancer.ServerID
		response Response // its Download is nil if the attempt uses an upload
	}
	// attemptEnded is the outcome of an attempt.
	attemptEnded struct {
		request   balancer.RequestID
		attempt   int
		server    balancer.ServerID
		outcome   balancer.Outcome
		load      balancer.LoadReport
		response  Response // if the outcome is OK
		abandoned bool     // not sent, because the response is no longer awaited
	}
	// healthCheckEnded is the outcome of a health check.
	healthCheckEnded struct {
		server  balancer.ServerID
		outcome balancer.Outcome
		load    balancer.LoadReport
	}
	// settingsReloaded requests that settings be put in force.
	settingsReloaded struct {
		next   *settings.Settings
		result chan<- error // capacity 1
	}
)

func (in endpointsNotified) handle(ctx context.Context, l *Loop) {
	members := l.members.Admit(in.Update, in.Members)
	if left := len(in.Members) - len(members); left > 0 {
		l.log.Error("endpoint list too long", "left_out", left, "max", discovery.MaxMembers)
	}
	endpoints := l.updateEndpoints(members)
	l.handle(ctx, in.Event(endpoints))
	if in.Update.KeepsEndpoints() {
		return
	}
	l.removeEndpoints(in.Update, endpoints)
	if len(l.endpoints) > 0 {
		l.hasEndpoints.Store(true)
	}
	if l.hasEndpoints.Load() && in.Update != balancer.EndpointsCached {
		l.hasSynced.Store(true)
	}
}

func (in submitted) handle(ctx context.Context, l *Loop) {
	r := in.request
	defer r.Account.Timer()()
	l.metrics.RequestDispatched()
	l.metrics.HopTook(metrics.HopQueued, time.Since(r.Received))
	if !r.translate(l.settings.Load()) {
		l.ids.close(r.idHash)
		r.end()
		r.response <- Response{Status: protocol.StatusRejected}
		return
	}
	r.balancerID = l.newBalancerID()
	l.requests[r.balancerID] = newOpenRequest(r)
	l.handle(ctx, balancer.Event{
		Kind: balancer.EventRequest, Request: r.balancerID, Class: r.Class, Tenant: r.Tenant, Retry: r.Retry,
		Remaining: r.Deadline - l.clock.Now(),
	})
}

func (in abandoned) handle(ctx context.Context, l *Loop) {
	r := l.requests[in.request.balancerID]
	if r != nil && !r.ended.Load() {
		l.abandon(ctx, r)
		return
	}
	// The request has already ended, and its handler no longer receives the response, if there is one.
	select {
	case response := <-in.request.response:
		response.Drop()
	default:
	}
}

func (in streaming) handle(ctx context.Context, l *Loop) {
	r := l.requests[in.request]
	if in.response.Download != nil {
		if !r.respond(in.response) { // the request was answered or abandoned before
			in.response.Drop()
			return
		}
		r.streamingAttempt = in.attempt
	}
	l.handle(ctx, balancer.Event{Kind: balancer.EventStreaming, Request: in.request, Attempt: in.attempt, Server: in.server})
}

func (in attemptEnded) handle(ctx context.Context, l *Loop) {
	l.metrics.AttemptEnded(in.outcome, in.load)
	r := l.requests[in.request]
	defer r.Account.Timer()()
	r.cancelAttempt[in.attempt]()
	r.inFlight--
	if in.abandoned && !r.ended.Load() {
		l.abandon(ctx, r)
	}
	if in.outcome == balancer.OutcomeOK && !r.respond(in.response) {
		in.response.Drop()
	}
	l.handle(ctx, balancer.Event{
		Kind: balancer.EventOutcome, Request: in.request, Attempt: in.attempt, Server: in.server,
		Outcome: in.outcome, Load: in.load, Answered: r.ended.Load(),
	})
	l.removeIfDone(r)
}

func (in healthCheckEnded) handle(ctx context.Context, l *Loop) {
	l.metrics.HealthCheckEnded(in.outcome, in.load)
	l.handle(ctx, balancer.Event{Kind: balancer.EventHealthCheck, Server: in.server, Outcome: in.outcome, Load: in.load})
}

func (in settingsReloaded) handle(ctx context.Context, l *Loop) {
	in.result <- l.adopt(ctx, in.next)
}

// abandon ends a request whose client has closed its connection, and releases its handler if that is still waiting.
func (l *Loop) abandon(ctx context.Context, r *openRequest) {
	r.respond(Response{})
	l.metrics.ClientClosed()
	l.handle(ctx, balancer.Event{Kind: balancer.EventClientClosed, Request: r.balancerID})
	l.removeIfDone(r)
}
