package agent

import (
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

	"example.org/grebefork"
	"example.org/grebefork/internal/settings"
)

const (
	listPath    = "/discovery/hosts"
	maxList     = 4 << 20 // bytes of a list
	maxServerID = 256     // bytes

	// pushWatch and askWatch are how long a watch waits. Silence shows only when a watch is overdue: where calls cost
	// nothing it is short; where all agents share one service it ends once in askWatch, in the agent's own turn.
	pushWatch = 2 * time.Second
	askWatch  = 10 * time.Second
	leastWait = askWatch / 5 // of a watch that begins out of turn
	// watchGrace is how long an answer may come after a watch's wait. What is left of grebefork.ToldWait then is for the
	// calls that make up for the watch.
	watchGrace = 3 * grebefork.ToldWait / 10
	// pushTimeout and askTimeout are how long a call may take that does not wait; asked, calls are worked through in turn.
	// Both are up in time for another call before what a hanging one misses counts as told.
	pushTimeout  = grebefork.ToldSilent / 6
	askTimeout   = grebefork.ToldSilent / 2
	leastTimeout = 300 * time.Millisecond // of a call that has to make up for others
	dialTimeout  = time.Second
	firstRetry   = 50 * time.Millisecond // where calls cost nothing
)

// errBadList is an answer of discovery that cannot be used, after which only the whole list will do.
var errBadList = errors.New("bad list")

// member is one backend as discovery tells it.
type member struct {
	ID       string
	HostPort string `json:"host_port"`
	Locality string
	Flavor   string
	Cell     int
	Phase    string
	Size     float64
	UpSince  float64 `json:"up_since_ms"` // Unix time, milliseconds
}

// memberList is an answer of discovery.
type memberList struct {
	Revision *uint64
	Complete bool
	Members  []member
}

var phases = map[string]grebefork.ServerState{
	"Ready": grebefork.Ready, "Terminating": grebefork.Draining, "Gone": grebefork.Gone,
}

// parseList takes a list whole or not at all: half of one would take backends for gone that are not.
func parseList(text []byte) (memberList, error) {
	var l memberList
	if err := json.Unmarshal(text, &l); err != nil {
		return memberList{}, fmt.Errorf("%w: %w", errBadList, err)
	}
	if l.Revision == nil {
		return memberList{}, fmt.Errorf("%w: no revision", errBadList)
	}
	seen := make(map[string]bool, len(l.Members))
	for i, m := range l.Members {
		state, known := phases[m.Phase]
		switch {
		case m.ID == "" || len(m.ID) > maxServerID || seen[m.ID]:
			return memberList{}, fmt.Errorf("%w: members[%d].id %.40q", errBadList, i, m.ID)
		case !known:
			return memberList{}, fmt.Errorf("%w: members[%d].phase %.40q", errBadList, i, m.Phase)
		case !(m.UpSince >= 0 && m.UpSince < 9e12): // what a time.Duration can hold
			return memberList{}, fmt.Errorf("%w: members[%d].up_since_ms %v", errBadList, i, m.UpSince)
		}
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil && state != grebefork.Gone {
			return memberList{}, fmt.Errorf("%w: members[%d].host_port: %w", errBadList, i, err)
		}
		seen[m.ID] = true
	}
	return l, nil
}

// discovery follows the list of backends and hands each change to the loop.
type discovery struct {
	addr   string
	ask    bool // only when the module asks, and it hears of failures
	set    func() *settings.Settings
	follow chan struct{} // the module asks; holds one
	tell   func(listNews)
	counts *figures
	client http.Client
	log    *slog.Logger

	started  time.Time
	asking   time.Time // when the last call began
	told     time.Time // when what the last calls missed counts as told; zero if they missed nothing, or that is not known
	revision *uint64   // of the list held; nil when the whole list is wanted
}

// listNews is what the loop is told: a list or changes of it, or that a call failed and how long there is to make up for it.
type listNews struct {
	mode    grebefork.ListMode
	members []member
	left    time.Duration // of ListFailed: until what it missed counts as told; 0 if that is not known
}

// startFrom makes the list that the agent held before its start the one that changes follow. Danger: discovery works
// through calls in turn and drops those that waited too long, only after its work on them; agents that start together
// and all ask for the whole list keep it busy for good with calls that nobody waits for any more.
func (d *discovery) startFrom(known memberList) {
	if known.Complete && len(known.Members) > 0 {
		d.revision = known.Revision
	}
}

func newDiscovery(addr string, set func() *settings.Settings, tell func(listNews), counts *figures, log *slog.Logger) *discovery {
	return &discovery{
		addr: addr, ask: set().Module.AskList, set: set, follow: make(chan struct{}, 1), tell: tell, counts: counts, log: log,
		started: time.Now(),
		client: http.Client{
			Transport: &http.Transport{
				// Danger: a dial outlives the call that wanted it, and until it ends there is no other.
				DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
			},
			// Discovery is at the address that the platform gives and nowhere else.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// run follows the list until the context ends, from each move on at the address that it brings.
func (d *discovery) run(ctx context.Context, moves <-chan string) {
	for {
		here, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func() {
			d.followList(here)
			close(left)
		}()
		select {
		case addr := <-moves:
			leave()
			<-left
			// The new service counts revisions of its own, so its whole list comes first.
			d.addr, d.revision, d.told = addr, nil, time.Now().Add(grebefork.ToldMoved)
			d.failed()
		case <-ctx.Done():
			leave()
			return
		}
	}
}

// followList follows the list at one address until the context ends.
func (d *discovery) followList(ctx context.Context) {
	failures := 0
	for {
		if d.ask {
			select {
			case <-d.follow:
			case <-ctx.Done():
				return
			}
		}
		heard, err := d.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if heard {
			failures = 0
		}
		if errors.Is(err, errBadList) { // what discovery has written counts as told, be it of use or not
			d.revision = nil
			d.missed(time.Now().Add(d.set().DrainGrace))
		}
		if failures++; failures == 1 {
			d.log.Warn("discovery failed", "error", err, "watched", time.Since(d.asking), "left", d.left())
		}
		if d.ask {
			d.failed()
			continue
		}
		// Agents that lost discovery together must not come back together. Danger: where lists are pushed, what discovery
		// has at its return counts as told at once, so the longest wait is within the time to stop sending.
		wait := min(firstRetry<<min(failures-1, 10), max(firstRetry, d.set().DrainGrace/2))
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
			return
		}
	}
}

// failed has the module decide when to ask again, by how long there is.
func (d *discovery) failed() {
	if !d.ask {
		return
	}
	select { // what was asked before is part of the failure
	case <-d.follow:
	default:
	}
	d.tell(listNews{mode: grebefork.ListFailed, left: d.left()})
}

// missed notes when what a call missed counts as told. Of several failures in a row the first counts.
func (d *discovery) missed(told time.Time) {
	if d.told.IsZero() {
		d.told = told
	}
}

// left is how long there is until what was missed counts as told, 0 if that is not known or over.
func (d *discovery) left() time.Duration {
	if d.told.IsZero() {
		return 0
	}
	return max(0, time.Until(d.told))
}

// wait is how long a watch is to wait. Danger: a change ends the watches of all agents together; were the next ones
// equally long, all would fall due, or be missed, together. Each ends in its agent's turn instead.
func (d *discovery) wait() time.Duration {
	if !d.ask {
		return pushWatch
	}
	set := &d.set().Module
	own := time.Duration((float64(set.Rank) + 0.5) / float64(set.Agents) * float64(askWatch))
	wait := (own - time.Duration(time.Now().UnixNano())%askWatch + askWatch) % askWatch
	if wait < leastWait {
		wait += askWatch
	}
	return wait
}

// watch gets the list and then its changes, each call right after the last, until one fails. It says whether
// any was answered. The first call does not wait: whether it is answered is to show at once.
func (d *discovery) watch(ctx context.Context) (heard bool, err error) {
	for wait := time.Duration(0); ; wait = d.wait() {
		began := time.Now()
		d.asking = began
		l, err := d.get(ctx, wait)
		d.counts.count(func(t *tally) {
			if t.listCalls++; err != nil {
				t.listFails++
			}
			t.slowestList = max(t.slowestList, time.Since(began)-wait)
		})
		if err == nil {
			err = ctx.Err() // an answer that crossed a reload is another service's
		}
		if err != nil {
			return heard, err
		}
		if !heard { // until then the agent went by an older list
			d.log.Info("list", "revision", *l.Revision, "complete", l.Complete, "members", len(l.Members),
				"took", time.Since(began), "since_start", time.Since(d.started))
		}
		switch {
		case l.Complete:
			d.tell(listNews{mode: grebefork.ListFull, members: l.Members})
		case d.revision == nil || *l.Revision < *d.revision:
			return heard, fmt.Errorf("%w: changes up to %d do not follow the list held", errBadList, *l.Revision)
		case len(l.Members) > 0 || !heard: // which tells the module that calls are answered again
			d.tell(listNews{mode: grebefork.ListDelta, members: l.Members})
		}
		heard, d.revision, d.told = true, l.Revision, time.Time{}
	}
}

// get makes one call: for the whole list if no revision is held, else a watch.
func (d *discovery) get(ctx context.Context, wait time.Duration) (memberList, error) {
	url := "http://" + d.addr + listPath
	if d.revision != nil {
		url = fmt.Sprintf("%s?after=%d&wait_ms=%d", url, *d.revision, wait.Milliseconds())
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.timeout(wait))
	defer cancel()
	defer func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.missed(began.Add(max(grebefork.ToldSilent, wait+grebefork.ToldWait)))
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return memberList{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return memberList{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList+1))
	switch {
	case err != nil:
		d.missed(time.Now().Add(d.set().DrainGrace))
		return memberList{}, fmt.Errorf("reading the list: %w", err)
	case resp.StatusCode >= 400 && resp.StatusCode < 500: // as for a revision that it does not know
		return memberList{}, fmt.Errorf("%w: status %s", errBadList, resp.Status)
	case resp.StatusCode != http.StatusOK:
		return memberList{}, fmt.Errorf("the list: status %s", resp.Status)
	case len(text) > maxList:
		return memberList{}, fmt.Errorf("%w: over %d bytes", errBadList, maxList)
	}
	return parseList(text)
}

// timeout is how long a call may take.
func (d *discovery) timeout(wait time.Duration) time.Duration {
	left := d.left()
	switch {
	case wait > 0:
		return wait + watchGrace
	case !d.ask:
		return pushTimeout
	case left > 0: // so that there may be one more
		return max(leastTimeout, min(askTimeout, left/2))
	}
	return askTimeout
}

// asked starts a watch if none runs. The loop calls it and must not wait.
func (d *discovery) asked() {
	select {
	case d.follow <- struct{}{}:
	default:
	}
}
