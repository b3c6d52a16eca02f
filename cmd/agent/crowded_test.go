package main

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery/discoverytest"
	"example.org/ryeloft/internal/lists"
)

// rejectionTime is how long the operators' service takes to reject a call.
const rejectionTime = 30 * time.Millisecond

// recoveringService makes a discovery service fail for a while and respond slowly after it recovers. It processes
// calls one at a time and rejects those that would take longer than maxServiceWait. A rejection also ends the same
// agent's queued calls, as the operators' service does (trial f50a0546: seven of seven).
type recoveringService struct {
	queue discoverytest.Queue

	mu          sync.Mutex
	cost        time.Duration         // per call that does not continue a watch
	rejected    map[int]chan struct{} // by rank of an agent with queued calls; closed when one is rejected
	up          context.Context       // done while the service is down
	startOutage context.CancelFunc
}

func newRecoveringService(cost time.Duration) *recoveringService {
	c := &recoveringService{rejected: make(map[int]chan struct{})}
	c.endOutage(cost)
	return c
}

// endOutage ends an outage. From now on, each call that does not continue a watch takes cost.
func (c *recoveringService) endOutage(cost time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost = cost
	c.up, c.startOutage = context.WithCancel(context.Background())
}

// middleware rejects calls during an outage, and cancels those in flight when it starts.
func (c *recoveringService) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		up := c.up
		c.mu.Unlock()
		if up.Err() != nil {
			time.Sleep(rejectionTime)
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(up, cancel)()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Admit implements lists.Limiter.
func (c *recoveringService) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	if w.Continues {
		return 0, nil
	}
	c.mu.Lock()
	cost := c.cost
	c.mu.Unlock()
	ends, ok := c.queue.ReserveWithin(cost, maxServiceWait)
	if !ok {
		time.Sleep(rejectionTime)
		c.rejectQueued(w.Agent)
		return 0, errOverloaded
	}
	return awaitTurn(ctx, ends, c.rejection(w.Agent))
}

// rejection returns a channel that is closed when a call of the agent is rejected.
func (c *recoveringService) rejection(agent int) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected[agent] == nil {
		c.rejected[agent] = make(chan struct{})
	}
	return c.rejected[agent]
}

// rejectQueued ends the queued calls of an agent.
func (c *recoveringService) rejectQueued(agent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rejected := c.rejected[agent]; rejected != nil {
		close(rejected)
		delete(c.rejected, agent)
	}
}

// No request may be sent to draining servers once the drain counts as notified, although discovery was down for
// longer than notifyBound and is slow after it recovers. In incident-6221 agents lost polls that the service had
// accepted, because it rejected their hedges.
func TestNothingSentToDrainedAfterLongOutage(t *testing.T) {
	t.Parallel()
	const (
		fastCost = time.Millisecond
		slowCost = 500 * time.Millisecond
		outage   = 7 * time.Second // longer than notifyBound
	)
	service := newRecoveringService(fastCost)
	f := startFleet(t, fleetOptions{limiter: service, middleware: service.middleware, addresses: 1})
	f.sendRequests(t)
	time.Sleep(time.Second)
	service.startOutage()
	time.Sleep(outage)
	service.endOutage(slowCost)
	notified := f.drain(t)
	time.Sleep(time.Until(notified) + 4*time.Second)
	f.expectNoRequestsAfterDrain(t, notified)
	for _, a := range f.agents {
		a.terminate(t)
		if t.Failed() {
			t.Logf("agent %d:\n%s", a.rank, a.log.linesWith(`msg="endpoint list updated"`, "discovery poll failed", "agent failed"))
		}
	}
}
