// Package discovery follows the endpoint list of the discovery service, directly or through relays: it polls and watches, bounds each
// call, parses the answers and notifies its owner of each change. It keeps no list and does not decide what a change means;
// where the list is polled it does not decide when either.
//
// A Client's state belongs to the goroutine of Client.Run and to the one that it starts for each target. Run waits for the latter
// before it touches that state, so no mutex guards it. Client.Poll may be called by any goroutine.
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
	"example.org/ryeloft/internal/settings"
)

// Dial opens connections.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are what a client is made of. What may be left out comes last.
type Options struct {
	Addr     string // IP address and port
	Settings func() *settings.Settings
	Notify   func(WatchEvent) // in order, one at a time; no call is made until it returns
	OnPoll   func(PollResult) // each call, before its result is notified
	Log      *slog.Logger

	Name      string                                 // of the agent, which ranks the relays for it
	Relays    []string                               // IP addresses and ports; empty: discovery itself is called
	WatchWait time.Duration                          // how long a watch waits where lists are pushed; 0: defaultWatchWait
	OnAnswer  func(began time.Time, revision uint64) // a call was answered, and its result has been notified
	Dial      Dial                                   // nil: a net.Dialer with dialTimeout
}

// Target is where the list is to be had: from discovery's address, through relays if there are any.
type Target struct {
	Addr   string
	Relays []string
}

func (t Target) equal(other Target) bool {
	return t.Addr == other.Addr && slices.Equal(t.Relays, other.Relays)
}

// Client follows the endpoint list and notifies its owner of each change. Its settings choose one of two modes. In push mode it
// watches all the time and retries by itself. In poll mode, which is for agents that share one service, it calls only after Poll,
// watches for as long as calls are answered, and has its owner decide when to poll again.
type Client struct {
	settings      func() *settings.Settings
	notify        func(WatchEvent)
	onPoll        func(PollResult)
	onAnswer      func(time.Time, uint64)
	log           *slog.Logger
	name          string
	pushWatchWait time.Duration
	httpClient    http.Client
	pollRequested chan struct{} // holds one request
	startedAt     time.Time
	firstRound    chan struct{} // closed at the end of the first round

	target   Target
	route    *route
	revision *uint64 // of the list that changes follow; nil when the full list is wanted

	lastCall            callRecord
	rejectedImmediately bool // the last call that failed was, without work for it
	failures            int  // in a row, each of them of all addresses that were to be tried
	overload            overload
	rejections          rejectionState
	latency             latencyEstimate
	deadline            notifyDeadline
	firstRoundEnded     bool
}

// New makes a client, which calls nobody before Run.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	target := Target{Addr: o.Addr, Relays: o.Relays}
	return &Client{
		settings:      o.Settings,
		notify:        o.Notify,
		onPoll:        o.OnPoll,
		onAnswer:      o.OnAnswer,
		log:           o.Log,
		name:          o.Name,
		pushWatchWait: cmp.Or(o.WatchWait, defaultWatchWait),
		httpClient:    newHTTPClient(o.Dial),
		pollRequested: make(chan struct{}, 1),
		startedAt:     time.Now(),
		firstRound:    make(chan struct{}),
		target:        target,
		route:         newRoute(o.Name, target),
		latency:       newLatencyEstimate(),
	}
}

// StartFrom makes a list that the agent held before its start the one that changes follow; it is called before Run. Agents that
// start together and all poll the full list could keep discovery busy for good with polls that have timed out meanwhile.
func (c *Client) StartFrom(known EndpointList) {
	if known.Complete && len(known.Members) > 0 {
		c.revision = known.Revision
	}
}

// FirstRound returns a channel that is closed once an answer has been notified, or all addresses that were to be tried have failed
// once. Until then the list that the agent started from may be older than the changes that count as notified, though discovery
// can be reached.
func (c *Client) FirstRound() <-chan struct{} { return c.firstRound }

// endFirstRound notes that a round of calls has ended.
func (c *Client) endFirstRound() {
	if !c.firstRoundEnded {
		c.firstRoundEnded = true
		close(c.firstRound)
	}
}

// Run follows the list until the context ends, from each migration on at its target. It returns once the last call of
// Notify, OnPoll and OnAnswer has returned, so that none of these may wait for Run.
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

// awaitMigration returns the target of the next reload after which the calls have to begin anew: another target, or the same one
// where the mode has changed. It returns false if the context ends first. Each reload names the target again; were all of them
// migrations, all agents would poll the full list at each of them.
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

// migrate makes a target the one to call, and in poll mode has the owner decide when.
func (c *Client) migrate(target Target) {
	c.failures = 0
	now := time.Now()
	if target.Addr == c.target.Addr {
		c.recordMissed(now.Add(balancer.NotifyBoundAfterFailure)) // until now the watch would have brought it
	} else {
		c.revision = nil // the new service counts revisions of its own
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

// Poll starts a poll if none runs, in poll mode. It never waits.
func (c *Client) Poll() {
	select {
	case c.pollRequested <- struct{}{}:
	default:
	}
}

// pollMode says whether the list comes only when the owner polls, which is then notified of failures. A reload may change it.
func (c *Client) pollMode() bool { return c.settings().Balancer.PollEndpoints }

func (c *Client) agents() int { return c.settings().Balancer.Agents }

// followList follows the list at one target until targetCtx ends, which is before the client's own context where discovery
// migrates: then a poll that is out goes on while the old target still answers.
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

// handleFailure deals with the failure of all addresses that were to be tried: in push mode it backs off, in poll mode it has the
// owner decide when to poll again. It returns false if the context ends first.
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
		remaining = alreadyNotified // what discovery has written counts as notified, be it of use or not
	}
	// Agents that all insist on the bound would keep an overloaded service busy with polls that have timed out meanwhile. Only
	// where there are relays is it left alone: these are polled as ever, which lets an agent that was cut off from all of them, and
	// cannot tell that from overload, sync within the bound. Without relays the pause would outlast an outage.
	if c.route.hasRelays() && c.overload.detected(&c.latency, c.agents()) {
		c.route.avoidDiscovery(time.Now().Add(c.overload.nextPause()))
	}
	c.notifyFailure(balancer.PollFailed, remaining)
	return true
}

// logFailure logs that all addresses have just failed, and how long there is to make up for it.
func (c *Client) logFailure(err error, remaining time.Duration) {
	if !shouldLogFailure(c.failures, c.pollMode()) {
		return
	}
	c.log.Warn("discovery poll failed", "from", c.route.addr(), "failures", c.failures, "error", err,
		"since_previous", c.lastCall.sincePrevious, "duration", c.lastCall.duration(), "hedged", c.lastCall.hedged, "remaining", remaining)
}

// alreadyNotified is a remaining time that is over; 0 would say that it is not known.
const alreadyNotified = time.Duration(1)

// notifyFailure has the owner decide when to poll again, by how long there is.
func (c *Client) notifyFailure(update balancer.DiscoveryUpdate, remaining time.Duration) {
	select { // a poll that was requested before is part of the failure
	case <-c.pollRequested:
	default:
	}
	event := WatchEvent{Update: update, Remaining: remaining, RejectedImmediately: c.rejectedImmediately}
	if !c.route.atRelay() {
		if remaining == 0 && c.deadline.pending() {
			event.Remaining = alreadyNotified
		}
		event.PollLatency = c.latency.fleetPollTime(c.agents()) / time.Duration(c.agents())
		if update == balancer.PollFailed && !c.overload.possible(&c.latency, c.agents()) {
			event.PollElapsed = c.lastCall.duration()
		}
	}
	c.notify(event)
}

// recordMissed notes that an update was missed that counts as notified at a time. At relays, which are called one after the other
// without end, a new bound begins when the last one is over.
func (c *Client) recordMissed(at time.Time) {
	if c.route.atRelay() && c.deadline.remaining() == 0 {
		c.deadline.restart(at)
		return
	}
	c.deadline.recordMissed(at)
}
