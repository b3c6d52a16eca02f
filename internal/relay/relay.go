// Package relay hands the list of servers on: it follows discovery as one caller and answers many as discovery would. Its
// last list is on its own disk, so a restart needs nobody. It decides nothing about servers.
package relay

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/settings"
)

const (
	// upstreamWatch is how long a watch above waits. Danger: a caller that is ahead of this relay waits for an answer that
	// was asked for after it came, so for two of them at the most, and that has to fit into aheadHold.
	upstreamWatch = balancer.NotifyBoundAfterFailure / 30
	// aheadHold is how long a call that names no wait may be kept all the same for news from above; its caller gives it
	// RelayTimeout.
	aheadHold = discovery.RelayTimeout / 2
	// upstreamRetry bounds the pause between two calls above that fail: the first one that can be answered has to come well
	// within staleAfter.
	upstreamRetry = balancer.NotifyBoundAfterFailure / 20
	// staleAfter is for how long a relay answers without news from above. Danger: an agent takes a watch that goes on for
	// "nothing has changed", and the platform counts a change as told 6 s after discovery had it and could be reached. A
	// relay that went on answering without its upstream would keep its agents from noticing that discovery, or another
	// relay, can be reached, and they would send to servers that leave. So it refuses, its agents go to the next relay and
	// at last to discovery itself, and only if nobody answers do they go on by the list that they have. They know that a
	// relay may be behind by so much (discovery.RelayMaxStaleness), so what they miss here still comes within NotifyBoundAfterFailure.
	staleAfter = discovery.RelayMaxStaleness

	logged    = 512             // revisions whose changes can be told apart
	saveEvery = 5 * time.Second // the list goes to the disk no more often
)

// Options are what a relay is made of. Those before Heard have to be given.
type Options struct {
	Name               string
	Discovery          string  // IP address and port of the service above
	State              string  // a directory of its own, made if it is missing
	FullListsPerSecond float64 // whole lists a second that it hands out
	MaxCallers         int     // calls that it holds at a time
	Log                *slog.Logger
	OnAcknowledge      func(agent int, revision uint64, at time.Time) // if not nil: an agent's call says that it holds this revision
	OnUpdate           func(revision uint64, lines int, at time.Time) // if not nil: what has come is about to be handed on
	Dial               discovery.Dial                                 // nil: as the client of discovery does
}

// Relay follows the list above and hands it on.
type Relay struct {
	o        Options
	log      *slog.Logger
	disk     disk
	store    *lists.Store
	gate     *gate
	server   *lists.Server
	client   *discovery.Client
	moves    chan discovery.Target
	settings settings.Settings
	counts   counts

	mu      sync.Mutex
	above   string        // the service's address
	listed  bool          // there is a list
	ended   bool          // Run has
	moved   bool          // the next whole list is of another service, which counts revisions of its own
	started time.Time     // when this relay began, or
	heard   time.Time     // when the last call above began that was answered; zero: none yet
	news    chan struct{} // closed at the next such answer

	saved []byte // the text of the list on the disk, as the store has it

	live    context.Context // of the calls; ends when the relay goes stale or ends
	end     context.CancelFunc
	staleAt *time.Timer // goStale
}

// counts are a relay's figures since its start.
type counts struct{ calls, whole, refused, bytes, open atomic.Int64 }

// New makes a relay and reads the list that it had.
func New(o Options) (*Relay, error) {
	if err := os.MkdirAll(o.State, 0o700); err != nil {
		return nil, fmt.Errorf("the state directory: %w", err)
	}
	r := &Relay{
		o: o, log: o.Log, disk: disk{o.State}, above: o.Discovery,
		store: lists.NewStore(logged), gate: newGate(o.FullListsPerSecond, o.MaxCallers),
		moves: make(chan discovery.Target), started: time.Now(), news: make(chan struct{}),
		// Lists are pushed as far as this client is concerned: it then retries by itself and soon, which a handful of relays
		// may do. The turns in which agents ask are for hundreds of callers, and for a module that knows of them.
		settings: settings.Settings{Balancer: balancer.Settings{Agents: 1}, DrainGrace: upstreamRetry},
	}
	r.live, r.end = context.WithCancel(context.Background())
	r.staleAt = time.AfterFunc(staleAfter, r.goStale)
	r.server = &lists.Server{
		Store: r.store, Limiter: r.gate, OnAcknowledge: o.OnAcknowledge, OnCallDone: r.done, MaxCallsPerAgent: o.MaxCallers, MaxConns: o.MaxCallers, Log: o.Log,
	}
	r.client = discovery.New(discovery.Options{
		Addr: o.Discovery, Settings: func() *settings.Settings { return &r.settings }, Notify: r.told, OnPoll: func(discovery.PollResult) {},
		Log: o.Log, Dial: o.Dial, WatchWait: upstreamWatch, OnAnswer: r.answered,
	})
	if l := r.stored(); l.Complete {
		r.store.Reset(*l.Revision, l.Members)
		r.listed = true
		r.client.StartFrom(l)
	}
	return r, nil
}

// Run follows the list above and stores it, until the context ends. Then calls that wait are refused, so that their
// callers move at once, and the last list is stored.
func (r *Relay) Run(ctx context.Context) {
	followed := make(chan struct{})
	go func() {
		r.client.Run(ctx, r.moves)
		close(followed)
	}()
	r.keep(ctx)
	r.staleAt.Stop()
	r.mu.Lock()
	r.ended = true
	r.end()
	r.mu.Unlock()
	<-followed
	r.save()
}

// Migrate has the relay follow the service at another address, unless it does already, and hand out so many whole lists a
// second. It is for as long as Run runs.
func (r *Relay) Migrate(ctx context.Context, above string, perSecond float64) {
	r.gate.setRate(perSecond)
	r.mu.Lock()
	r.moved = r.moved || above != r.above
	r.above = above
	r.mu.Unlock()
	select {
	case r.moves <- discovery.Target{Addr: above}:
	case <-ctx.Done():
	}
}

// told takes in what discovery tells.
func (r *Relay) told(n discovery.WatchEvent) {
	switch n.Update {
	case balancer.EndpointsReplaced:
		r.whole(n.Revision, n.Members)
	case balancer.EndpointsChanged:
		r.apply(n.Revision, n.Members)
	}
}

// whole takes in a whole list. One that follows what is held becomes the changes between the two: hundreds of callers
// that may go on with those are not made to get the whole list anew.
func (r *Relay) whole(revision uint64, members []discovery.Member) {
	r.mu.Lock()
	anew := r.moved || !r.listed || revision <= r.store.Revision()
	r.moved, r.listed = false, true
	r.mu.Unlock()
	if anew {
		r.tells(revision, len(members))
		r.store.Reset(revision, members)
		return
	}
	r.apply(revision, changes(r.store.Members(), members))
}

// tells notes what is about to be handed on.
func (r *Relay) tells(revision uint64, lines int) {
	if r.o.OnUpdate != nil {
		r.o.OnUpdate(revision, lines, time.Now())
	}
}

func (r *Relay) apply(revision uint64, changed []discovery.Member) {
	if revision == r.store.Revision() && len(changed) == 0 {
		return // the first answer of a watch, which brought nothing
	}
	r.tells(revision, len(changed))
	if err := r.store.Apply(revision, changed); err != nil {
		// A service that changes what it has told already; who follows is not told of that, as it would not be there.
		r.log.Error("changes that do not follow", "error", err)
		merged := lists.NewStore(0)
		merged.Reset(0, r.store.Members())
		_ = merged.Apply(1, changed) // it holds a list, and 1 follows 0
		r.store.Reset(revision, merged.Members())
	}
}

// changes are the entries by which one list becomes another.
func changes(from, to []discovery.Member) []discovery.Member {
	before := make(map[string]discovery.Member, len(from))
	for _, m := range from {
		before[m.ID] = m
	}
	var changed []discovery.Member
	for _, m := range to {
		if m.Removed() {
			continue
		}
		if before[m.ID] != m {
			changed = append(changed, m)
		}
		delete(before, m.ID)
	}
	for _, m := range from {
		if _, left := before[m.ID]; left {
			m.MarkRemoved()
			changed = append(changed, m)
		}
	}
	return changed
}

// answered notes that a call above was answered and what it brought is in the store.
func (r *Relay) answered(began time.Time, revision uint64) {
	if revision > r.store.Revision() { // of no changes, which nobody was told
		r.apply(revision, nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = began
	close(r.news)
	r.news = make(chan struct{})
	if left := time.Until(began.Add(staleAfter)); left > 0 {
		r.staleAt.Reset(left)
		if r.live.Err() != nil && !r.ended {
			r.live, r.end = context.WithCancel(context.Background())
			r.log.Info("answering again")
		}
	}
}

// goStale ends the calls that wait.
func (r *Relay) goStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freshLocked(time.Now()) { // it heard meanwhile
		return
	}
	r.end()
	r.log.Warn("refusing, no news from above", "since", r.sinceLocked())
}

// sinceLocked is when the relay's list was the newest for certain, or when it began.
func (r *Relay) sinceLocked() time.Time {
	if r.heard.IsZero() {
		return r.started
	}
	return r.heard
}

func (r *Relay) freshLocked(now time.Time) bool { return now.Sub(r.sinceLocked()) < staleAfter }

// keep stores the list when it has changed, no more often than saveEvery, until the context ends.
func (r *Relay) keep(ctx context.Context) {
	for {
		changed := r.store.Changed()
		r.save()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(saveEvery):
		case <-ctx.Done():
			return
		}
	}
}

// save stores the list unless it is on the disk already. One that cannot be stored is tried again with the next change.
// Only Run's goroutine calls it.
func (r *Relay) save() {
	whole := r.store.Since(0, false)
	if whole.Body == nil || r.saved != nil && &r.saved[0] == &whole.Body[0] {
		return
	}
	if err := r.disk.save(whole.Body); err != nil {
		r.log.Error("the list is not stored", "error", err)
		return
	}
	r.saved = whole.Body
}
