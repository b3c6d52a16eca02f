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

// rejectionTime is how long after a call the operators' service rejects it.
const rejectionTime = 30 * time.Millisecond

// crowdedCalls is a discovery service that can be down, and work slowly once it is back. It works through calls one after the other and
// rejects those that would take longer than maxServiceWait. A rejection ends the agent's other calls that wait for their turn, as the
// operators' service does (trial f50a0546: seven of seven).
type crowdedCalls struct {
	queue discoverytest.Queue

	mu       sync.Mutex
	cost     time.Duration         // of a call that does not continue a watch
	rejected map[int]chan struct{} // of an agent whose calls wait; closed when one is rejected
	up       context.Context       // ends as the service goes down, and the calls that are open with it
	goDown   context.CancelFunc
}

func newCrowdedCalls(cost time.Duration) *crowdedCalls {
	c := &crowdedCalls{rejected: make(map[int]chan struct{})}
	c.comeBack(cost)
	return c
}

// comeBack ends an outage; a call takes so long from now on.
func (c *crowdedCalls) comeBack(cost time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost = cost
	c.up, c.goDown = context.WithCancel(context.Background())
}

// front rejects calls while the service is down, and ends those that are open as it goes down.
func (c *crowdedCalls) front(next http.Handler) http.Handler {
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

func (c *crowdedCalls) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	if w.Continues {
		return 0, nil
	}
	c.mu.Lock()
	cost := c.cost
	c.mu.Unlock()
	ends, ok := c.queue.ReserveWithin(cost, maxServiceWait)
	if !ok {
		time.Sleep(rejectionTime)
		c.endOthers(w.Agent)
		return 0, errTooManyCallers
	}
	return awaitTurn(ctx, ends, c.awaitRejected(w.Agent))
}

func (c *crowdedCalls) awaitRejected(agent int) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejected[agent] == nil {
		c.rejected[agent] = make(chan struct{})
	}
	return c.rejected[agent]
}

func (c *crowdedCalls) endOthers(agent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.rejected[agent]; waiting != nil {
		close(waiting)
		delete(c.rejected, agent)
	}
}

// Nothing is sent to servers that drain once that counts as notified, although discovery was down for longer than the bound and is
// slow when it is back. In incident-6221 agents ended the polls that it had taken by hedges that it rejected.
func TestNothingSentToDrainedByAgentsOverTheirBound(t *testing.T) {
	t.Parallel()
	const (
		idleCost    = time.Millisecond
		crowdedCost = 500 * time.Millisecond
		outage      = 7 * time.Second // over mayNotify
	)
	service := newCrowdedCalls(idleCost)
	f := startFollowing(t, fleetOptions{limiter: service, front: service.front, addresses: 1})
	f.sendRequests(t)
	time.Sleep(time.Second)
	service.goDown()
	time.Sleep(outage)
	service.comeBack(crowdedCost)
	notified := f.drain(t)
	time.Sleep(time.Until(notified) + 4*time.Second)
	f.expectNoneAfter(t, notified)
	for _, a := range f.agents {
		a.end(t)
		if t.Failed() {
			t.Logf("agent %d:\n%s", a.rank, a.log.about(`msg="endpoint list updated"`, "discovery poll failed", "agent failed"))
		}
	}
}
