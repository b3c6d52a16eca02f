package realagent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/world"
)

const (
	// warmUpPairs are the first pairs of calls of each client and on each new connection, which are left out.
	warmUpPairs      = 20
	callTimeout      = 3 * time.Second // more than the budget that a call states
	callBudget       = "2000m"
	maxLatencyMillis = 10_000 // longer times count as this
)

// MeasureAdded measures what an agent adds to a call: a client makes the same call through each busy agent and directly to
// an echo server in turn, on connections that it keeps, with about gap between two calls (half of it to one and a half
// times, drawn). calls are the measured pairs of all clients together. Pairs with a failed call or a retry are left out of
// the times, as are the first warmUpPairs on each connection. Clients stop while their agent is restarted.
func (f *Fleet) MeasureAdded(ctx context.Context, calls int, gap time.Duration) (result.Added, error) {
	if len(f.options.Echo) == 0 {
		return result.Added{}, errors.New("measuring the added latency: there is no echo server to call directly")
	}
	var clients []*client
	for i, a := range f.agents {
		if a.busy {
			clients = append(clients, newClient(a, f.options.Echo[i%len(f.options.Echo)], len(clients)))
		}
	}
	each := (calls + len(clients) - 1) / len(clients)
	var all sync.WaitGroup
	errs := make([]error, len(clients))
	for i, c := range clients {
		all.Go(func() { errs[i] = c.run(ctx, each, gap) })
	}
	all.Wait()
	return summarize(clients), errors.Join(errs...)
}

// The routes of a call.
const (
	throughAgent = iota
	direct
)

// client makes the calls to one agent. It belongs to one goroutine.
type client struct {
	agent  *agent
	routes [2]*route // by throughAgent and direct
	random *rand.Rand
	prefix string // of call ids
	calls  int
	failed int
	pairs  [2][]time.Duration // measured, by route
}

// route is one of the two ways of a call.
type route struct {
	addr       string
	conn       *httpConn
	warmUpLeft int // pairs that are still to be left out
}

func newClient(a *agent, directAddr string, n int) *client {
	return &client{
		agent: a,
		routes: [2]*route{
			throughAgent: {addr: a.listen, warmUpLeft: warmUpPairs},
			direct:       {addr: directAddr, warmUpLeft: warmUpPairs},
		},
		random: rand.New(rand.NewPCG(uint64(n), 1)),
		prefix: strconv.FormatUint(rand.Uint64(), 16) + "-",
	}
}

// run makes so many measured pairs, in at most twice as many tries and the warm-up where calls fail.
func (c *client) run(ctx context.Context, pairs int, gap time.Duration) error {
	defer c.close()
	for tries := 0; len(c.pairs[throughAgent]) < pairs; tries++ {
		if tries == 2*pairs+2*warmUpPairs {
			return c.agent.errorf("%d pairs of calls gave only %d to measure, %d calls failed", tries, len(c.pairs[throughAgent]), c.failed)
		}
		if err := c.callPair(ctx, gap); err != nil {
			return err
		}
	}
	return nil
}

// callPair makes one call through the agent and one directly.
func (c *client) callPair(ctx context.Context, gap time.Duration) error {
	var took [2]time.Duration
	measured := true
	for i, route := range c.routes {
		if err := pause(ctx, gap/2+time.Duration(c.random.Float64()*float64(gap))); err != nil {
			return err
		}
		t, clean, err := c.call(ctx, i)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			c.failed++
		}
		measured = measured && clean && err == nil && route.warmUpLeft == 0
		took[i] = t
	}
	if measured {
		for i := range took {
			c.pairs[i] = append(c.pairs[i], took[i])
		}
	}
	for _, route := range c.routes {
		route.warmUpLeft = max(0, route.warmUpLeft-1)
	}
	return nil
}

// call makes a call by one route and returns how long it took, and whether it was sent once, on an open connection.
func (c *client) call(ctx context.Context, routeIndex int) (took time.Duration, clean bool, err error) {
	if routeIndex == throughAgent {
		c.agent.processMu.RLock()
		defer c.agent.processMu.RUnlock()
		c.agent.calls.Add(1)
	}
	c.calls++
	id := c.prefix + strconv.Itoa(c.calls)
	request := fmt.Appendf(nil, "GET /%s/1 HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %s\r\n\r\n",
		world.EchoService, id, world.EchoService, callBudget)
	route := c.routes[routeIndex]
	clean = route.conn != nil
	for sent := 1; ; sent++ {
		took, err = route.call(ctx, request, id)
		// A kept connection that ends without any response has crossed its close: the call is retried once.
		if !errors.Is(err, errNoResponse) || !clean || sent == 2 {
			return took, clean && sent == 1, err
		}
	}
}

// call sends a request, on the open connection or a new one, and checks that the response is its own.
func (r *route) call(ctx context.Context, request []byte, id string) (time.Duration, error) {
	if r.conn == nil {
		d := net.Dialer{Timeout: callTimeout}
		c, err := d.DialContext(ctx, "tcp", r.addr)
		if err != nil {
			return 0, err
		}
		r.conn = newHTTPConn(c)
		r.warmUpLeft = warmUpPairs
	}
	startedAt := time.Now()
	r.conn.SetDeadline(startedAt.Add(callTimeout))
	response, err := r.conn.roundTrip(request)
	switch {
	case err != nil:
	case response.status != http.StatusOK:
		err = fmt.Errorf("answered %d", response.status)
	case string(response.body) != id:
		err = fmt.Errorf("answered with %q, which is another call's", response.body)
	}
	if err != nil || response.close {
		r.close()
	}
	return response.receivedAt.Sub(startedAt), err
}

func (r *route) close() {
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}

func (c *client) close() {
	for _, route := range c.routes {
		route.close()
	}
}

// summarize sums up what the clients measured.
func summarize(clients []*client) result.Added {
	var sum result.Added
	hists := [2]*result.Histogram{result.NewHistogram(maxLatencyMillis), result.NewHistogram(maxLatencyMillis)}
	var differences []time.Duration
	for _, c := range clients {
		sum.Failed += c.failed
		for i, through := range c.pairs[throughAgent] {
			directly := c.pairs[direct][i]
			hists[throughAgent].AddDuration(through)
			hists[direct].AddDuration(directly)
			differences = append(differences, through-directly)
		}
	}
	sum.Through = hists[throughAgent].Distribution()
	sum.Direct = hists[direct].Distribution()
	sum.CallsEach = len(differences)
	sum.P99MS = sum.Through.P99 - sum.Direct.P99
	if len(differences) > 0 {
		slices.Sort(differences)
		sum.MedianMS = float64(differences[len(differences)/2]) / float64(time.Millisecond)
	}
	return sum
}
