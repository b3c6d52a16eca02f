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
	// warmUpPairs is how many pairs of calls each client excludes at its start and on each new connection.
	warmUpPairs      = 20
	callTimeout      = 3 * time.Second // more than callBudget
	callBudget       = "2000m"
	maxLatencyMillis = 10_000 // the histograms' upper bound; longer times count as this
)

// MeasureAdded measures the latency that an agent adds to a call. For each busy agent, a client makes the same call
// through the agent and directly to an echo server in turn, on persistent connections, with a random pause of 0.5 to
// 1.5 times gap before each call. calls is the number of measured pairs of all clients together, rounded up to a
// multiple of the number of clients. The times exclude pairs with a failed call or a retry and the first warmUpPairs on
// each connection. Clients pause while their agent restarts.
func (f *Fleet) MeasureAdded(ctx context.Context, calls int, gap time.Duration) (result.Added, error) {
	if len(f.options.Echo) == 0 {
		return result.Added{}, errors.New("measuring the added latency: no echo server for direct calls")
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

// Indexes of the routes of a call.
const (
	throughAgent = iota
	direct
)

// client makes the calls to one agent. It must be used by only one goroutine.
type client struct {
	agent  *agent
	routes [2]*route // indexed by throughAgent and direct
	random *rand.Rand
	prefix string // of call IDs
	calls  int
	failed int
	pairs  [2][]time.Duration // latencies of the measured pairs, by route
}

// route is one of the two routes of a call and its connection.
type route struct {
	addr       string
	conn       *httpConn
	warmUpLeft int // remaining pairs to exclude
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

// run makes the given number of measured pairs. It fails after twice as many attempts, plus an allowance for warm-up.
func (c *client) run(ctx context.Context, pairs int, gap time.Duration) error {
	defer c.close()
	for attempts := 0; len(c.pairs[throughAgent]) < pairs; attempts++ {
		if attempts == 2*pairs+2*warmUpPairs {
			return c.agent.errorf("has only %d measured pairs of calls after %d attempts, %d calls failed", len(c.pairs[throughAgent]), attempts, c.failed)
		}
		if err := c.callPair(ctx, gap); err != nil {
			return err
		}
	}
	return nil
}

// callPair makes one call through the agent and one directly, and records their latencies if both count.
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

// call makes a call on one route. It returns the latency, and clean reports whether the call was sent only once and on
// an open connection.
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
		// If a persistent connection ends without any response, the server closed it while the request was sent: the
		// call is retried once.
		if !errors.Is(err, errNoResponse) || !clean || sent == 2 {
			return took, clean && sent == 1, err
		}
	}
}

// call sends a request on the open connection or a new one, and checks that the response has the call's ID.
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
		err = fmt.Errorf("got status %d", response.status)
	case string(response.body) != id:
		err = fmt.Errorf("got response %q of another call", response.body)
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

// summarize combines the measurements of the clients.
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
