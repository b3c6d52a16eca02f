// Package discovery follows the endpoint list of the discovery service, directly or through relays: it polls and
// watches, sets a timeout for each call, parses the responses and notifies its owner of each change. It neither stores
// the list nor interprets changes; in poll mode the owner also decides when to poll.
//
// A Client's state belongs to the goroutine of Client.Run and to the one that Run starts for each target. Run waits for
// the latter to end before it accesses that state, so no mutex guards it. Client.Poll may be called from any goroutine.
package discovery

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/fairshare"
	"example.org/ryeloft/internal/settings"
)

// Dial opens connections.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options configure a client. The optional fields come last.
type Options struct {
	Addr     string // IP address and port
	Settings func() *settings.Settings
	Notify   func(WatchEvent) // called in order, one at a time; no call is made until it returns
	OnPoll   func(PollResult) // called for each poll or watch, before Notify is called with its result
	Log      *slog.Logger

	Name       string                                 // of the agent; it determines the order of the relays
	Relays     []string                               // IP addresses and ports; empty: discovery is called directly
	WatchWait  time.Duration                          // how long a watch waits in push mode; 0: defaultWatchWait
	OnResponse func(began time.Time, revision uint64) // called after a successful call, once Notify has returned
	Dial       Dial                                   // nil: a net.Dialer with dialTimeout
	Scheduler  *fairshare.Scheduler                   // shares the processor between the connections; nil if none waits for it
}

// Target is the address of the discovery service and of the relays, if any, through which to reach it.
type Target struct {
	Addr   string
	Relays []string
}

func (t Target) equal(other Target) bool {
	return t.Addr == other.Addr && slices.Equal(t.Relays, other.Relays)
}

// Client follows the endpoint list and notifies its owner of each change. Its settings select one of two modes. In push
// mode it always watches, and retries on its own. In poll mode, for agents that share one service, it makes calls only
// after Poll and watches until a call fails; then the owner decides when to poll again.
type Client struct {
	settings      func() *settings.Settings
	notify        func(WatchEvent)
	onPoll        func(PollResult)
	onResponse    func(time.Time, uint64)
	log           *slog.Logger
	name          string
	pushWatchWait time.Duration
	httpClient    http.Client
	pollRequested chan struct{} // holds one request
	startedAt     time.Time
	firstRound    chan struct{} // closed when firstRoundEnded is set

	target   Target
	route    *route
	revision *uint64 // to request changes since; nil to request the full list

	lastCall            callRecord
	rejectedImmediately bool // the last failed call was a poll that failed immediately, without costing the service work
	failures            int  // consecutive rounds in which every address that was to be tried failed
	overload            overload
	rejections          rejectionState
	latency             latencyEstimate
	deadline            notifyDeadline
	firstRoundEnded     bool
}

// New returns a client. It makes no calls before Run.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	target := Target{Addr: o.Addr, Relays: o.Relays}
	return &Client{
		settings:      o.Settings,
		notify:        o.Notify,
		onPoll:        o.OnPoll,
		onResponse:    o.OnResponse,
		log:           o.Log,
		name:          o.Name,
		pushWatchWait: cmp.Or(o.WatchWait, defaultWatchWait),
		httpClient:    newHTTPClient(withAccount(o.Dial, o.Scheduler)),
		pollRequested: make(chan struct{}, 1),
		startedAt:     time.Now(),
		firstRound:    make(chan struct{}),
		target:        target,
		route:         newRoute(o.Name, target),
		latency:       newLatencyEstimate(),
	}
}

// StartFrom makes the client request changes since a list that the agent stored before it started. It must be called
// before Run. If agents that start together all polled the full list, they could keep discovery permanently busy with
// polls that have already timed out. A list that is incomplete or empty is ignored.
func (c *Client) StartFrom(known EndpointList) {
	if known.Complete && len(known.Members) > 0 {
		c.revision = known.Revision
	}
}

// FirstRound returns a channel that is closed once the owner has been notified of a response, or once every address
// that was to be tried has failed. Until then the list that the agent started from may lack changes that count as
// notified even though discovery is reachable.
func (c *Client) FirstRound() <-chan struct{} { return c.firstRound }

// endFirstRound closes the channel of FirstRound when the first round of calls ends.
func (c *Client) endFirstRound() {
	if !c.firstRoundEnded {
		c.firstRoundEnded = true
		close(c.firstRound)
	}
}

// Run follows the list until the context ends and switches to the target of each migration. It returns after the last
// call of Notify, OnPoll and OnResponse has returned, so none of these may wait for Run.
func (c *Client) Run(ctx context.Context, migrations <-chan Target) {
	for {
		targetCtx, cancelTarget := context.WithCancel(ctx)
		done := make(chan struct{})
		pollMode := c.pollMode()
		go func() {
			c.followList(ctx, targetCtx)
			close(done)
		}()
		target, ok := c.awaitMigration(ctx, migrations, pollMode)
		cancelTarget()
		<-done
		if !ok {
			return
		}
		c.migrate(target)
	}
}

// awaitMigration returns the target of the next reload that requires a restart of the calls: a different target, or the
// same one if the mode has changed. It returns false if the context ends first. Every reload names the target again; if
// each counted as a migration, all agents would poll the full list at every reload.
func (c *Client) awaitMigration(ctx context.Context, migrations <-chan Target, pollMode bool) (target Target, ok bool) {
	for {
		select {
		case target = <-migrations:
			if !target.equal(c.target) || c.pollMode() != pollMode {
				return target, true
			}
		case <-ctx.Done():
			return Target{}, false
		}
	}
}

// migrate switches to a target. In poll mode the owner decides when to poll there.
func (c *Client) migrate(target Target) {
	c.failures = 0
	now := time.Now()
	if target.Addr == c.target.Addr {
		c.recordMissed(now.Add(balancer.NotifyBoundAfterFailure)) // the watch has delivered everything until now
	} else {
		c.revision = nil // revisions of the new service are unrelated
		c.deadline.recordMigration(now)
		c.latency.recordMigration()
	}
	if !target.equal(c.target) {
		c.target = target
		c.route = newRoute(c.name, target)
		c.httpClient.CloseIdleConnections()
	}
	if c.pollMode() {
		c.notifyFailure(balancer.DiscoveryMigrated, c.deadline.remaining())
	}
}

// Poll requests a poll in poll mode. It never blocks; requests that were made before the poll begins are merged.
func (c *Client) Poll() {
	select {
	case c.pollRequested <- struct{}{}:
	default:
	}
}

// pollMode reports whether the list is requested only after a call of Poll, and the owner is notified of failures. A
// reload may change it.
func (c *Client) pollMode() bool { return c.settings().Balancer.PollEndpoints }

func (c *Client) agents() int { return c.settings().Balancer.Agents }

// followList follows the list at one target until targetCtx ends. On a migration targetCtx ends before ctx, the
// client's own context; a poll in flight may then continue for oldTargetGrace.
func (c *Client) followList(ctx, targetCtx context.Context) {
	for {
		if c.pollMode() {
			select {
			case <-c.pollRequested:
			case <-targetCtx.Done():
				return
			}
		}
		c.route.startRound(time.Now())
		err := c.watch(ctx, targetCtx)
		for targetCtx.Err() == nil && c.failOver(targetCtx, err) {
			err = c.watch(ctx, targetCtx)
		}
		if targetCtx.Err() != nil {
			return
		}
		if !c.handleFailure(targetCtx, err) {
			return
		}
	}
}

// handleFailure is called when every address that was to be tried has failed. In push mode it backs off; in poll mode
// it notifies the owner, which decides when to poll again. It returns false if the context ends first.
func (c *Client) handleFailure(ctx context.Context, err error) bool {
	remaining := c.deadline.remaining()
	c.failures++
	c.logFailure(err, remaining)
	c.endFirstRound()
	if !c.pollMode() {
		return sleep(ctx, pushBackoff(c.failures, c.settings().DrainGrace))
	}
	unusable := errors.Is(err, ErrMalformedList) || errors.Is(err, ErrTruncatedList)
	if unusable && c.failures == 1 && !c.route.atRelay() {
		remaining = alreadyNotified // what discovery has written counts as notified even if it is unusable
	}
	// If all agents kept to the bound, they would keep an overloaded service busy with polls that have already timed
	// out. The pause requires relays: they are still polled, so an agent that was cut off from all addresses, which it
	// cannot tell from overload, syncs within the bound. Without relays the pause would outlast an outage.
	if c.route.hasRelays() && c.overload.detected(&c.latency, c.agents()) {
		c.route.avoidDiscovery(time.Now().Add(c.overload.nextPause()))
	}
	c.notifyFailure(balancer.PollFailed, remaining)
	return true
}

// logFailure logs that all addresses have failed, and the remaining time until what was missed counts as notified.
func (c *Client) logFailure(err error, remaining time.Duration) {
	if !shouldLogFailure(c.failures, c.pollMode()) {
		return
	}
	c.log.Warn("discovery poll failed", "from", c.route.addr(), "failures", c.failures, "error", err,
		"since_previous", c.lastCall.sincePrevious, "duration", c.lastCall.duration(), "hedged", c.lastCall.hedged, "remaining", remaining)
}

// alreadyNotified is the remaining time once the deadline has passed; 0 would mean that it is unknown.
const alreadyNotified = time.Duration(1)

// notifyFailure notifies the owner of a failure and of the remaining time, so that it decides when to poll again.
func (c *Client) notifyFailure(update balancer.DiscoveryUpdate, remaining time.Duration) {
	select { // drop a poll that was requested before the failure
	case <-c.pollRequested:
	default:
	}
	event := WatchEvent{Update: update, Remaining: remaining, RejectedImmediately: c.rejectedImmediately}
	if !c.route.atRelay() {
		if remaining == 0 && c.deadline.pending() {
			event.Remaining = alreadyNotified
		}
		event.PollLatency = c.latency.fleetPollTime(c.agents()) / time.Duration(c.agents())
		if update == balancer.PollFailed {
			event.PollElapsed = max(0, c.lastCall.duration()-c.overload.pollReserve(&c.latency, c.agents()))
		}
	}
	c.notify(event)
}

// recordMissed records that an update may have been missed that counts as notified at the given time. Relays are called
// one after the other without a pause, so a new deadline is set there once the last one has passed.
func (c *Client) recordMissed(at time.Time) {
	if c.route.atRelay() && c.deadline.remaining() == 0 {
		c.deadline.restart(at)
		return
	}
	c.deadline.recordMissed(at)
}
