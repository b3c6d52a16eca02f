// Package relay distributes the endpoint list: a Relay watches discovery as a single caller and serves many callers as
// discovery would. It stores its last list on disk, so that a restart does not depend on other services. It makes no
// decisions about endpoints.
//
// The list is in a lists.Store. The store, the limiter and the counters are safe for concurrent use. Relay.mu guards
// the state of the upstream connection: whose list the relay has, when that was last synced, and whether calls may be
// served. Run starts the goroutine of the discovery client, the only one that updates the store, and itself stores
// the list on disk.
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
	// upstreamWatchWait is the wait of a watch at upstream. A caller that is ahead of this relay waits for the response
	// to a watch that began after the call arrived. That takes two watches at most, which must fit into aheadWait.
	upstreamWatchWait = balancer.NotifyBoundAfterFailure / 30
	// aheadWait is how long a call may be delayed until upstream responds, even if its own wait is shorter or missing.
	// The caller's timeout is RelayTimeout.
	aheadWait = discovery.RelayTimeout / 2
	// maxUpstreamBackoff limits the backoff after failed calls to upstream: once upstream is back, the next call must
	// follow well within staleAfter.
	maxUpstreamBackoff = balancer.NotifyBoundAfterFailure / 20
	// staleAfter is how long a relay serves calls without a response from upstream. To an agent, a pending watch means
	// that nothing has changed, yet a change counts as notified a fixed time after discovery had it and was reachable.
	// A stale relay therefore rejects calls, so that its agents fail over to other relays and finally to discovery
	// itself.
	staleAfter = discovery.RelayMaxStaleness

	// maxLoggedRevisions is how many revisions behind a caller may be and still get changes instead of the full list.
	maxLoggedRevisions = 512
	// saveInterval is the minimum time between two writes of the list to disk.
	saveInterval = 5 * time.Second
)

// Options configure a relay. The fields up to Log are required.
type Options struct {
	Name               string
	Discovery          string  // IP address and port of the upstream service
	State              string  // state directory, not shared with other relays; created if missing
	FullListsPerSecond float64 // rate limit for full lists
	MaxCallers         int     // maximum number of calls in flight
	Log                *slog.Logger
	// OnAcknowledge, if not nil, is called when an agent's call shows that it holds a revision.
	OnAcknowledge func(agent int, revision uint64, at time.Time)
	// OnUpdate, if not nil, is called just before an update becomes available to callers.
	OnUpdate func(revision uint64, members int, at time.Time)
	Dial     discovery.Dial // nil: the default of the discovery client
}

// Relay watches the list of its upstream and serves it to callers.
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

	mu          sync.Mutex
	source      string // address of the service whose list is in the store; empty: there is no list yet
	ended       bool   // Run is ending or has ended
	startedAt   time.Time
	syncedAt    time.Time          // start of the last successful call to upstream; zero: none yet
	synced      chan struct{}      // closed at the next successful call to upstream
	callsCtx    context.Context    // cancels the calls in flight when the relay becomes stale or ends
	cancelCalls context.CancelFunc // cancels callsCtx
	staleTimer  *time.Timer        // runs becomeStale

	savedBody []byte // the store's encoding of the list on disk; used only by Run's goroutine
}

// New returns a relay that starts with the list stored on disk, if there is a valid one of the same upstream service.
func New(o Options) (*Relay, error) {
	if err := os.MkdirAll(o.State, 0o700); err != nil {
		return nil, fmt.Errorf("creating the state directory: %w", err)
	}
	r := &Relay{
		options:    o,
		log:        o.Log,
		file:       listFile{dir: o.State},
		store:      lists.NewStore(maxLoggedRevisions),
		limiter:    newFullListLimiter(o.FullListsPerSecond, o.MaxCallers),
		migrations: make(chan discovery.Target),
		startedAt:  time.Now(),
		synced:     make(chan struct{}),
		// In push mode the client retries soon and on its own schedule, which is acceptable for a handful of relays.
		// Poll mode is for hundreds of callers and needs a balancer.
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
		Addr:       o.Discovery,
		Settings:   func() *settings.Settings { return &r.settings },
		Notify:     r.onWatchEvent,
		OnPoll:     func(discovery.PollResult) {},
		OnResponse: r.onResponse,
		WatchWait:  upstreamWatchWait,
		Dial:       o.Dial,
		Log:        o.Log,
	})
	if stored := r.loadStored(); stored.Complete {
		r.resetStore(o.Discovery, *stored.Revision, stored.Members)
		r.client.StartFrom(stored)
	}
	return r, nil
}

// Run watches the list of upstream and stores it on disk until the context ends. It then rejects waiting calls, so that
// their callers fail over immediately, and stores the last list.
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

// Migrate switches the relay to the upstream at the given address, unless it already uses that, and sets the rate of
// full lists. It must be called while Run is running: it returns once Run's client has the address or the context ends.
func (r *Relay) Migrate(ctx context.Context, upstreamAddr string, fullListsPerSecond float64) {
	r.limiter.setRate(fullListsPerSecond)
	select {
	case r.migrations <- discovery.Target{Addr: upstreamAddr}:
	case <-ctx.Done():
	}
}
