// Package discovery follows the list of backends: its calls, their bounds, and the parsing of what comes. Whoever uses it
// is told each change and decides what it means.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/clock"
	"example.org/ryeloft/internal/settings"
)

const (
	listPath    = "/discovery/hosts"
	maxList     = 4 << 20 // bytes of a list
	maxServerID = 256     // bytes
	maxHeader   = 32 << 10

	// pushWatch is how long a watch waits where calls cost nothing. Where all agents share one service their watches end once
	// in askTurn, each in its agent's own turn, or one turn later if that were within leastWait. Silence shows only then,
	// and NotifyBoundAfterFailure counts from the watch's begin: what is left of it is for the calls that make up for the watch.
	pushWatch = 2 * time.Second
	askTurn   = balancer.NotifyBoundAfterFailure / 2
	leastWait = askTurn / 6
	// watchGrace is how long an answer may come after a watch's wait.
	watchGrace = balancer.NotifyBoundAfterFailure / 15
	// pushTimeout and askTimeout are how long a call may take that does not wait; asked, calls are worked through in turn.
	// Both are up in time for another call before what a hanging one misses counts as told.
	pushTimeout  = balancer.NotifyBoundAfterFailure / 6
	askTimeout   = balancer.NotifyBoundAfterFailure / 2
	leastTimeout = 300 * time.Millisecond // of a call that has to make up for others
	// jamShows is for how long calls have to fail in a row, all after a wait for the service, to say that it cannot answer
	// all agents within the bound. Danger: a service that is down may refuse late as well. What is left of the bound makes
	// calls follow each other fast at its end, so their number says little; over two bounds an outage that agents are to
	// make up for has ended.
	jamShows = 2 * balancer.NotifyBoundAfterFailure
	// crowdedCalls of them are enough where the answers that there were say that the service cannot answer each agent once
	// within the bound.
	crowdedCalls = 4
	dialTimeout  = time.Second
	firstRetry   = 50 * time.Millisecond // where calls cost nothing
)

var (
	// ErrMalformedList is an answer of discovery that cannot be used, after which only the whole list will do.
	ErrMalformedList = errors.New("bad list")
	// ErrTruncatedList is an answer that broke off, or may have been on its way when its watch was given up.
	ErrTruncatedList = errors.New("the list does not come whole")
)

// Member is one backend as discovery tells it.
type Member struct {
	ID              string
	Address         string `json:"host_port"`
	Zone            string `json:"locality"`
	Kind            string `json:"flavor"`
	Cell            int
	State           string  `json:"phase"`
	Weight          float64 `json:"size"`
	StartedAtMillis float64 `json:"up_since_ms"` // Unix time, milliseconds
}

// EndpointList is an answer of discovery: the whole list, or what has changed since a revision. A parsed one has a revision.
type EndpointList struct {
	Revision *uint64
	Complete bool
	Members  []Member
}

// EndpointStates are the names that discovery has for the states of a backend.
var EndpointStates = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// Parse takes a list whole or not at all: half of one would take backends for gone that are not. Its errors are ErrMalformedList
// and name the member and the field.
func Parse(text []byte) (EndpointList, error) {
	var l EndpointList
	if err := json.Unmarshal(text, &l); err != nil {
		return EndpointList{}, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	if l.Revision == nil {
		return EndpointList{}, fmt.Errorf("%w: no revision", ErrMalformedList)
	}
	seen := make(map[string]bool, len(l.Members))
	for i, m := range l.Members {
		state, known := EndpointStates[m.State]
		switch {
		case m.ID == "" || len(m.ID) > maxServerID || seen[m.ID]:
			return EndpointList{}, fmt.Errorf("%w: members[%d].id %.40q", ErrMalformedList, i, m.ID)
		case !known:
			return EndpointList{}, fmt.Errorf("%w: members[%d].phase %.40q", ErrMalformedList, i, m.State)
		case !(m.StartedAtMillis >= 0 && m.StartedAtMillis < 9e12): // what a time.Duration can hold
			return EndpointList{}, fmt.Errorf("%w: members[%d].up_since_ms %v", ErrMalformedList, i, m.StartedAtMillis)
		}
		if _, err := netip.ParseAddrPort(m.Address); err != nil && state != balancer.Removed {
			return EndpointList{}, fmt.Errorf("%w: members[%d].host_port: %w", ErrMalformedList, i, err)
		}
		seen[m.ID] = true
	}
	return l, nil
}

// WatchEvent is what the owner of a client is told: a list or changes of it, or that a call failed and how long there is to make
// up for it.
type WatchEvent struct {
	Update         balancer.DiscoveryUpdate
	Members        []Member
	Remaining      time.Duration // of PollFailed: until what it missed counts as told; 0 if that is not known
	RejectedAtOnce bool          // of PollFailed: the service refused the call at once, without work
	PollLatency    time.Duration // of PollFailed: that the service takes for a call; 0 if that is not known
	Revision       uint64        // of the list, or up to which the changes go; 0 for PollFailed
}

// Event is the news in the terms of the module, with the members as the owner has numbered them.
func (n WatchEvent) Event(servers []balancer.Endpoint) balancer.Event {
	ev := balancer.Event{Kind: balancer.EventDiscovery, Update: n.Update, Remaining: n.Remaining, PollLatency: n.PollLatency, Endpoints: servers}
	if n.RejectedAtOnce {
		ev.Outcome = balancer.OutcomeRejected
	}
	return ev
}

// PollResult is one call of discovery, as it is counted.
type PollResult struct {
	Wait     time.Duration // that it was to wait
	Duration time.Duration // all in all
	Err      error         // why it brought no list that can be read
}

// Dial opens connections.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Options are what a client is made of. What may be left out comes last.
type Options struct {
	Addr     string // IP address and port
	Settings func() *settings.Settings
	Notify   func(WatchEvent) // in order, one at a time; no call is made until it returns
	OnPoll   func(PollResult) // each call, before what comes of it is told
	Log      *slog.Logger

	Name      string                                 // of the agent, by which it takes its turn at relays
	Relays    []string                               // IP addresses and ports; empty: discovery itself is asked
	WatchWait time.Duration                          // how long a watch waits where lists are pushed; 0: pushWatch
	OnAnswer  func(began time.Time, revision uint64) // a call was answered, and what it brought has been told
	Dial      Dial                                   // nil: a net.Dialer that waits for a second
}

// Client follows the list of backends and hands each change to its owner.
type Client struct {
	place  Target
	set    func() *settings.Settings
	follow chan struct{} // the module asks; holds one
	tell   func(WatchEvent)
	count  func(PollResult)
	client http.Client
	log    *slog.Logger

	name     string
	pushed   time.Duration
	answered func(time.Time, uint64)
	route    *route

	started  time.Time
	asking   time.Time     // when the last call began
	ended    time.Time     // when it ended
	waited   time.Duration // from the end of the call before it to its begin
	failures int           // calls in a row
	crowded  time.Time     // when the first of the calls in a row began that failed after a wait for the service; zero: none did
	vain     int           // how many these calls are
	rests    int           // times in a row that the bound was given up for that

	answer        time.Duration // that the service takes for a call
	assumed       bool          // it has not answered one yet
	inVain        time.Duration // the round by calls in a row that were out for long and brought nothing; 0: none was
	refusedAtOnce bool          // the last call
	notifiedAt    time.Time     // when what was missed counts as notified; zero if nothing was
	notifiedBy    time.Time     // when whatever came since the list was last followed counts as notified at the latest; zero likewise
	revision      *uint64       // of the list held; nil when the whole list is wanted
}

// StartFrom makes the list that the agent held before its start the one that changes follow; it is called before Run. Danger: discovery works
// through calls in turn and drops those that waited too long, only after its work on them; agents that start together
// and all ask for the whole list keep it busy for good with calls that nobody waits for any more.
func (d *Client) StartFrom(known EndpointList) {
	if known.Complete && len(known.Members) > 0 {
		d.revision = known.Revision
	}
}

// New makes a client, which calls nobody before Run.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	place := Target{Addr: o.Addr, Relays: o.Relays}
	return &Client{
		place: place, route: newRoute(o.Name, place), name: o.Name, pushed: cmp.Or(o.WatchWait, pushWatch), answered: o.OnAnswer,
		set: o.Settings, follow: make(chan struct{}, 1), tell: o.Notify, count: o.OnPoll, log: o.Log,
		answer: assumedAnswer, assumed: true,
		started: time.Now(),
		client: http.Client{
			Transport: &http.Transport{
				// Danger: a dial outlives the call that wanted it, and keeps one of the connections until it ends.
				DialContext:     dialsInTime(o.Dial),
				MaxConnsPerHost: callsBeside, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
			},
			// Discovery is at the address that the platform gives and nowhere else.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run follows the list until the context ends, from each move on at the place that it brings.
func (d *Client) Run(ctx context.Context, moves <-chan Target) {
	for {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		asked := d.ask()
		go func() {
			d.followList(ctx, here)
			close(left)
		}()
		place, ok := d.moved(ctx, moves, asked)
		leave()
		if !ok {
			return
		}
		<-left
		d.failures = 0
		if place.Addr == d.place.Addr {
			d.missed(time.Now().Add(balancer.NotifyBoundAfterFailure)) // until then the watch would have told
		} else {
			// The new service counts revisions of its own, so its whole list comes first.
			d.revision = nil
			d.missedMove(time.Now())
			d.assumeAnswer()
		}
		if !place.same(d.place) {
			d.place, d.route = place, newRoute(d.name, place)
			d.client.CloseIdleConnections()
		}
		if d.ask() {
			d.askAgain(balancer.DiscoveryMigrated, d.left())
		}
	}
}

// moved waits for the next reload that the calls are to begin anew for: with another place, or with settings by which
// they are made otherwise, asked for or not. It is false if the context ends first. Danger: each configuration that is
// reloaded names the place again. Were that a move, all agents would ask for the whole list at each of them.
func (d *Client) moved(ctx context.Context, moves <-chan Target, asked bool) (place Target, ok bool) {
	for {
		select {
		case place = <-moves:
			if !place.same(d.place) || d.ask() != asked {
				return place, true
			}
		case <-ctx.Done():
			return Target{}, false
		}
	}
}

// ask says whether the list comes only when the module asks, which then hears of failures. Settings may change it.
func (d *Client) ask() bool { return d.set().Balancer.PollEndpoints }

// followList follows the list at one place until its context ends, which is done before that of the client where discovery
// moves: then an inquiry goes on, while the old place still answers.
func (d *Client) followList(life, ctx context.Context) {
	for {
		if d.ask() {
			select {
			case <-d.follow:
			case <-ctx.Done():
				return
			}
		}
		d.route.begin(time.Now())
		err := d.watch(life, ctx)
		for ctx.Err() == nil && d.goOn(ctx, err) {
			err = d.watch(life, ctx)
		}
		if ctx.Err() != nil {
			return
		}
		left := d.left()
		d.failures++
		d.logFailure(err, left)
		if d.failures == 1 && !d.route.relayed() && (errors.Is(err, ErrMalformedList) || errors.Is(err, ErrTruncatedList)) {
			left = 1 // what discovery has written counts as told, be it of use or not
		}
		if d.ask() {
			// Danger: agents that all insist on the bound then keep the service busy with calls that nobody waits for any
			// more, and none hears. Relays are no such service: while it is left alone they are asked as ever. An agent that
			// was cut off from all of them cannot tell that from a jam, and has to find those that are back within the bound.
			// Without relays calls are paced by what the service can answer, and a rest would outlast an outage's end.
			if d.route.hasRelays() && d.jammed() {
				d.rests = min(d.rests+1, 4)
				d.route.rest(time.Now().Add(balancer.NotifyBoundAfterFailure << d.rests))
			}
			d.askAgain(balancer.PollFailed, left)
			continue
		}
		// Agents that lost discovery together must not come back together. Danger: where lists are pushed, what discovery
		// has at its return counts as told at once, so the longest wait is within the time to stop sending.
		wait := min(firstRetry<<min(d.failures-1, 10), max(firstRetry, d.set().DrainGrace/2))
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
			return
		}
	}
}

// loggedFailures is how many calls that fail in a row are each logged; of further ones each that doubles their number is. Where
// lists are pushed calls cost nothing and follow each other closely, so it is so from the first one on.
const loggedFailures = 8

// logFailure logs the call that has just failed, with how long there is to make up for it.
func (d *Client) logFailure(err error, left time.Duration) {
	doubles := d.failures&(d.failures-1) == 0
	if !doubles && (d.failures > loggedFailures || !d.ask()) {
		return
	}
	d.log.Warn("discovery failed", "from", d.route.addr(), "failures", d.failures, "error", err, "waited", d.waited,
		"watched", d.ended.Sub(d.asking), "left", left)
}

// jammed says that calls fail because the service cannot answer all agents within the bound.
func (d *Client) jammed() bool {
	tooSlow := !d.assumed && d.answer*time.Duration(d.set().Balancer.Agents) >= balancer.NotifyBoundAfterFailure
	return tooSlow && d.vain >= crowdedCalls || !d.crowded.IsZero() && time.Since(d.crowded) >= jamShows
}

// askAgain has the module decide when to ask again, by how long there is.
func (d *Client) askAgain(mode balancer.DiscoveryUpdate, left time.Duration) {
	select { // what was asked before is part of the failure
	case <-d.follow:
	default:
	}
	if left == 0 && !d.notifiedAt.IsZero() && !d.route.relayed() {
		left = 1 // it counts already
	}
	answer := d.round() / time.Duration(d.set().Balancer.Agents)
	if d.route.relayed() {
		answer = 0 // a relay's
	}
	d.tell(WatchEvent{Update: mode, Remaining: left, PollLatency: answer, RejectedAtOnce: d.refusedAtOnce})
}

// missed notes when what a failed call missed counts as notified. Of several failures in a row the first counts, also when its
// time is over: what it missed is still not here. At relays, which would be asked in a row without end, a new bound begins.
func (d *Client) missed(notifiedAt time.Time) {
	if d.notifiedAt.IsZero() || d.route.relayed() && d.left() == 0 {
		d.notifiedAt, d.notifiedBy = notifiedAt, notifiedAt
	}
}

// missedMove notes that discovery moves. What it has by now counts as notified after NotifyBoundAfterMigration, and what has come since the list was
// last followed within NotifyBoundAfterFailure: in a series of moves the first bounds all.
func (d *Client) missedMove(now time.Time) {
	if d.notifiedBy.IsZero() {
		d.notifiedBy = now.Add(balancer.NotifyBoundAfterFailure)
	}
	d.notifiedAt = now.Add(balancer.NotifyBoundAfterMigration)
	if d.notifiedBy.Before(d.notifiedAt) {
		d.notifiedAt = d.notifiedBy
	}
}

// left is how long there is until what was missed counts as notified, 0 if nothing was or that time is over.
func (d *Client) left() time.Duration { return max(0, time.Until(d.notifiedAt)) }

// wait is how long a watch is to wait. Danger: a change ends the watches of all agents together; were the next ones
// equally long, all would fall due, or be missed, together. Each ends in its agent's turn instead.
func (d *Client) wait() time.Duration {
	switch {
	case d.route.relayed():
		return relayWatch
	case !d.ask():
		return d.pushed
	}
	set := &d.set().Balancer
	own := time.Duration((float64(set.Rank) + 0.5) / float64(set.Agents) * float64(askTurn))
	wait := (own - clock.Phase(askTurn) + askTurn) % askTurn
	if wait < leastWait {
		wait += askTurn
	}
	return wait
}

// watch gets the list and then its changes, each call right after the last, until one fails. The first call does not
// wait: whether it is answered is to show at once.
func (d *Client) watch(life, ctx context.Context) error {
	heard := false
	for wait := time.Duration(0); ; wait = d.wait() {
		began := time.Now()
		d.asking = began
		if !d.ended.IsZero() {
			d.waited = began.Sub(d.ended)
		}
		l, err := d.next(life, ctx, wait)
		d.ended = time.Now()
		d.count(PollResult{Wait: wait, Duration: time.Since(began), Err: err})
		if err == nil && wait > 0 {
			err = ctx.Err() // what crossed a move comes again, whole
		}
		if err == nil && !l.Complete && (d.revision == nil || *l.Revision < *d.revision) {
			err = fmt.Errorf("%w: changes up to %d do not follow the list held", ErrMalformedList, *l.Revision)
		}
		if err != nil {
			d.failed(began, wait, err)
			return err
		}
		if !heard { // until then the agent went by an older list
			d.log.Info("list", "from", d.route.addr(), "revision", *l.Revision, "complete", l.Complete, "members", len(l.Members),
				"took", time.Since(began), "since_start", time.Since(d.started))
		}
		switch {
		case l.Complete:
			d.tell(WatchEvent{Update: balancer.EndpointsReplaced, Members: l.Members, Revision: *l.Revision})
		case len(l.Members) > 0 || !heard: // which tells the module that calls are answered again
			d.tell(WatchEvent{Update: balancer.EndpointsChanged, Members: l.Members, Revision: *l.Revision})
		}
		heard, d.revision, d.failures, d.notifiedAt, d.notifiedBy = true, l.Revision, 0, time.Time{}, time.Time{}
		d.crowded, d.vain, d.rests = time.Time{}, 0, 0
		d.inVain = 0
		if wait == 0 && !d.route.relayed() {
			d.learnAnswer(time.Since(began))
		}
		if d.answered != nil {
			d.answered(began, *l.Revision)
		}
		if ctx.Err() != nil { // the list is to be had elsewhere
			return ctx.Err()
		}
		if d.route.heard(time.Now()) {
			return errHome
		}
	}
}

// failed notes what a call that began then and was to wait so long has missed.
func (d *Client) failed(began time.Time, wait time.Duration, err error) {
	if errors.Is(err, ErrMalformedList) {
		d.revision = nil
	}
	relayed := d.route.relayed()
	d.refusedAtOnce = wait == 0 && time.Since(began) < min(leastTimeout, d.answer)
	switch {
	case relayed: // it says nothing of the service itself
	case wait == 0 && time.Since(began) >= leastTimeout:
		d.learnVain(time.Since(began))
		if d.vain++; d.crowded.IsZero() {
			d.crowded = began
		}
	default:
		d.crowded, d.vain, d.rests = time.Time{}, 0, 0
	}
	if wait > 0 && !errors.Is(err, ErrTruncatedList) {
		began = time.Now() // until then the watch would have told
	}
	if relayed {
		began = began.Add(-RelayMaxStaleness) // what the relay itself has missed
	}
	d.missed(began.Add(balancer.NotifyBoundAfterFailure))
}

// call is one call of discovery as it is to be made.
type call struct {
	url     string
	wait    time.Duration // for news
	limit   time.Duration // after which it is given up
	relayed bool          // a relay is asked
}

// call is what is to be asked at the present address: the whole list if no revision is held, else what has changed.
func (d *Client) call(wait time.Duration) call {
	url := "http://" + d.route.addr() + listPath
	if d.revision != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", url, *d.revision, wait.Milliseconds())
	}
	return call{url, wait, d.timeout(wait), d.route.relayed()}
}

// next has the list from the present address, or what has changed; with a wait it is a watch.
func (d *Client) next(life, ctx context.Context, wait time.Duration) (EndpointList, error) {
	if wait == 0 {
		return d.inquire(life, ctx)
	}
	return d.get(ctx, d.call(wait))
}

// get makes one call.
func (d *Client) get(ctx context.Context, c call) (EndpointList, error) {
	if c.relayed {
		ctx = context.WithValue(ctx, relayedKey{}, true)
	}
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return EndpointList{}, err
	}
	resp, err := d.client.Do(req)
	switch {
	case err != nil && c.wait > 0 && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return EndpointList{}, fmt.Errorf("%w: %w", ErrTruncatedList, err)
	case err != nil:
		return EndpointList{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	switch {
	case err != nil:
		return EndpointList{}, fmt.Errorf("%w: %w", ErrTruncatedList, err)
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // as for a revision that it does not know
		return EndpointList{}, fmt.Errorf("%w: status %s", ErrMalformedList, resp.Status)
	case resp.StatusCode != http.StatusOK:
		return EndpointList{}, refusal(resp)
	case len(text) > maxList:
		return EndpointList{}, fmt.Errorf("%w: over %d bytes", ErrMalformedList, maxList)
	}
	return Parse(text)
}

// timeout is how long a call may take.
func (d *Client) timeout(wait time.Duration) time.Duration {
	switch {
	case wait > 0:
		return wait + watchGrace
	case !d.route.relayed() && !d.ask():
		return min(pushTimeout<<min(d.vain, 2), askTimeout) // a slow service is not asked for ever in vain
	case !d.route.relayed():
		return askTimeout
	case d.revision == nil:
		return RelayFullListTimeout // a shorter one would lose its turn there
	}
	if left := d.left(); left > 0 { // so that there may be one more
		return max(leastTimeout, min(RelayTimeout, left/2))
	}
	return RelayTimeout
}

// Poll starts a watch if none runs, where the list comes only when the module asks. It never waits.
func (d *Client) Poll() {
	select {
	case d.follow <- struct{}{}:
	default:
	}
}
