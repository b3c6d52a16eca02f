// Package relay hands the endpoint list on: a Relay follows discovery as one caller and answers many callers as discovery would. It
// keeps its last list on its own disk, so that a restart needs nobody. It decides nothing about endpoints.
//
// The list is in a lists.Store, which guards itself, as the limiter and the counters do. Relay.mu guards what the relay knows of
// its upstream: whether it has a list, when that was synced, and whether calls may be answered. Run owns the goroutine of
// the client of discovery, which alone updates the store, and stores the list.
package relay

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/settings"
)

const (
	// upstreamWatchWait is how long a watch of upstream waits. A caller that is ahead of this relay waits for an answer to a
	// watch that began after it came, so for two watches at the most, and that has to fit into aheadWait.
	upstreamWatchWait = balancer.NotifyBoundAfterFailure / 30
	// aheadWait is how long a call that names no wait may be held all the same for an answer from upstream; its caller gives it
	// RelayTimeout.
	aheadWait = discovery.RelayTimeout / 2
	// maxUpstreamBackoff bounds the pause between two calls to upstream that fail: the first one that can be answered has to
	// come well within staleAfter.
	maxUpstreamBackoff = balancer.NotifyBoundAfterFailure / 20
	// staleAfter is for how long a relay answers without an answer from upstream. An agent takes a watch that goes on for
	// "nothing has changed", while a change counts as notified at the bound after discovery had it and could be reached. A stale
	// relay therefore rejects calls, and its agents go to other relays and at last to discovery itself.
	staleAfter = discovery.RelayMaxStaleness

	// maxLoggedRevisions is how many revisions back a caller may be and still get changes.
	maxLoggedRevisions = 512
	// saveInterval is the least time between two writes of the list to the disk.
	saveInterval = 5 * time.Second
)

// Options are what a relay is made of. Those up to Log have to be given.
type Options struct {
	Name               string
	Discovery          string  // IP address and port of the upstream service
	State              string  // a directory of its own, made if it is missing
	FullListsPerSecond float64 // full lists that it hands out
	MaxCallers         int     // calls that it has in flight at a time
	Log                *slog.Logger
	OnAcknowledge      func(agent int, revision uint64, at time.Time)   // if not nil: an agent's call says that it holds this revision
	OnUpdate           func(revision uint64, members int, at time.Time) // if not nil: an update is about to be handed on
	Dial               discovery.Dial                                   // nil: as the client of discovery does
}

// Relay follows the list of its upstream and hands it on.
type Relay struct {
	options    Options
	log        *slog.Logger
	file       listFile
	store      *lists.Store
	limiter    *fullListLimiter
	server     *lists.Server
	client     *discovery.Client
	migrations chan discovery.Target
	settings   settings.Settings
	counters   counters

	mu           sync.Mutex
	upstreamAddr string
	hasList      bool
	migrated     bool // the next full list is of another service, which counts revisions of its own
	ended        bool // Run has
	startedAt    time.Time
	syncedAt     time.Time          // begin of the last call to upstream that was answered; zero: none yet
	synced       chan struct{}      // closed at the next such answer
	callsCtx     context.Context    // of the calls in flight; ends when the relay becomes stale or ends
	cancelCalls  context.CancelFunc // ends it
	staleTimer   *time.Timer        // runs becomeStale

	savedBody []byte // the store's encoding of the list that is on the disk; of Run's goroutine
}

// New makes a relay and loads the list that it had.
func New(o Options) (*Relay, error) {
	if err := os.MkdirAll(o.State, 0o700); err != nil {
		return nil, fmt.Errorf("the state directory: %w", err)
	}
	r := &Relay{
		options:      o,
		log:          o.Log,
		file:         listFile{dir: o.State},
		store:        lists.NewStore(maxLoggedRevisions),
		limiter:      newFullListLimiter(o.FullListsPerSecond, o.MaxCallers),
		migrations:   make(chan discovery.Target),
		upstreamAddr: o.Discovery,
		startedAt:    time.Now(),
		synced:       make(chan struct{}),
		// In push mode the client retries by itself and soon, which a handful of relays may do. Poll mode is for hundreds of
		// callers and needs a balancer.
		settings: settings.Settings{Balancer: balancer.Settings{Agents: 1}, DrainGrace: maxUpstreamBackoff},
	}
	r.callsCtx, r.cancelCalls = context.WithCancel(context.Background())
	r.staleTimer = time.AfterFunc(staleAfter, r.becomeStale)
	r.server = &lists.Server{
		Store:            r.store,
		Limiter:          r.limiter,
		OnAcknowledge:    o.OnAcknowledge,
		OnCallDone:       r.countFullList,
		MaxCallsPerAgent: o.MaxCallers,
		MaxConns:         o.MaxCallers,
		Log:              o.Log,
	}
	r.client = discovery.New(discovery.Options{
		Addr:      o.Discovery,
		Settings:  func() *settings.Settings { return &r.settings },
		Notify:    r.onWatchEvent,
		OnPoll:    func(discovery.PollResult) {},
		OnAnswer:  r.onResponse,
		WatchWait: upstreamWatchWait,
		Dial:      o.Dial,
		Log:       o.Log,
	})
	if stored := r.loadStored(); stored.Complete {
		r.store.Reset(*stored.Revision, stored.Members)
		r.hasList = true
		r.client.StartFrom(stored)
	}
	return r, nil
}

// Run follows the list of upstream and stores it, until the context ends. Then calls that wait are rejected, so that their callers
// fail over at once, and the last list is stored.
func (r *Relay) Run(ctx context.Context) {
	followed := make(chan struct{})
	go func() {
		r.client.Run(ctx, r.migrations)
		close(followed)
	}()
	r.storeChanges(ctx)
	r.staleTimer.Stop()
	r.mu.Lock()
	r.ended = true
	r.cancelCalls()
	r.mu.Unlock()
	<-followed
	r.storeList()
}

// Migrate has the relay follow the service at an address, unless it does already, and hand out so many full lists a second. It is
// called while Run runs.
func (r *Relay) Migrate(ctx context.Context, upstreamAddr string, fullListsPerSecond float64) {
	r.limiter.setRate(fullListsPerSecond)
	r.mu.Lock()
	if upstreamAddr != r.upstreamAddr {
		r.migrated = true
	}
	r.upstreamAddr = upstreamAddr
	r.mu.Unlock()
	select {
	case r.migrations <- discovery.Target{Addr: upstreamAddr}:
	case <-ctx.Done():
	}
}
