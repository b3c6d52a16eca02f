package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// shortConfigText is limitedConfigText with the deadlines of clients in a hurry.
var shortConfigText = strings.ReplaceAll(limitedConfigText, `"aim":3000,"deadline":6000`, `"aim":100,"deadline":180`)

const (
	// latenessAllowed is how long after its budget a request may be answered.
	latenessAllowed = 20 * time.Millisecond
	// servedShare is the share of what is served without peers that must be served beside them.
	servedShare = 0.95
	// minBudget and maxBudget are the budgets of the requests.
	minBudget = 120 * time.Millisecond
	maxBudget = 180 * time.Millisecond
	// minWork and maxWork are how long servers need.
	minWork = 5 * time.Millisecond
	maxWork = 30 * time.Millisecond
	// requestInterval is how often each client in a hurry sends a request. It is longer than a request may take, so that
	// slower answers do not make the clients send less.
	requestInterval = maxBudget + latenessAllowed
	// keptClients and newClients are how many clients in a hurry keep their connections, and use a new one for each request.
	keptClients = 30
	newClients  = 20
	// waitLimit is how long a client in a hurry waits for an answer before it counts as missing.
	waitLimit = 3 * time.Second
	// clientsHost is the address from which clients in a hurry connect. Peers have others, as there is one range of ports for each.
	clientsHost = "127.0.0.2"

	timeWithoutPeers = time.Second
	timeBesidePeers  = 2 * time.Second
)

// budgetCounts counts the answers that clients in a hurry got.
type budgetCounts struct {
	mu                                sync.Mutex
	sent, served, refused, late, none int
	slowest                           time.Duration
	worst                             time.Duration // the most time after a budget, or less than 0
	slow                              []string      // descriptions of the answers that were late or missing
}

func (c *budgetCounts) String() string {
	return fmt.Sprintf("%d sent, %d served in time, %d refused, %d late, %d without an answer, slowest %v, %v after its budget",
		c.sent, c.served, c.refused, c.late, c.none, c.slowest.Round(time.Millisecond), c.worst.Round(time.Millisecond))
}

// record counts the answer to a request that began at start, which has no status if there was none.
func (c *budgetCounts) record(status int, err error, budget time.Duration, start time.Time, kind string) {
	took := time.Since(start)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.slowest = max(c.slowest, took)
	c.worst = max(c.worst, took-budget)
	switch {
	case err != nil:
		c.none++
	case took > budget+latenessAllowed:
		c.late++
	case status == http.StatusOK && took <= budget:
		c.served++
	default:
		c.refused++
	}
	if err != nil || took > budget+latenessAllowed {
		c.slow = append(c.slow, fmt.Sprintf("%s: status %d after %v of %v, error %v", kind, status, took.Round(time.Millisecond), budget, err))
	}
}

// hurriedClients has clients send requests with short budgets until the context ends, each at most one at a time.
func (a *limitedAgent) hurriedClients(ctx context.Context) *budgetCounts {
	counts := &budgetCounts{worst: -time.Hour}
	var all sync.WaitGroup
	for i := range keptClients + newClients {
		all.Go(func() {
			client := hurriedClient{addr: a.listen, counts: counts, keeps: i < keptClients}
			time.Sleep(rand.N(requestInterval))
			ticker := time.NewTicker(requestInterval)
			defer ticker.Stop()
			for ctx.Err() == nil {
				client.request()
				<-ticker.C
			}
			client.close()
		})
	}
	all.Wait()
	return counts
}

// hurriedClient sends requests with short budgets.
type hurriedClient struct {
	addr   string
	counts *budgetCounts
	keeps  bool // its connection
	conn   *soundConn
}

func (c *hurriedClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends a request and records its answer. It is sent once more if a connection that was kept has been closed.
func (c *hurriedClient) request() {
	budget := minBudget + rand.N(maxBudget-minBudget)
	start := time.Now()
	reused := c.conn != nil
	status, err := c.try(budget, start)
	if err != nil && reused {
		c.close()
		status, err = c.try(budget, start)
	}
	kind := "new connection"
	if c.keeps {
		kind = "kept connection"
	}
	c.counts.record(status, err, budget, start, kind)
	if !c.keeps || err != nil {
		c.close()
	}
}

func (c *hurriedClient) try(budget time.Duration, start time.Time) (status int, err error) {
	if c.conn == nil {
		raw, err := dialFrom(clientsHost, c.addr)
		if err != nil {
			return 0, err
		}
		c.conn = &soundConn{Conn: raw, in: bufio.NewReader(raw)}
	}
	remaining := max(time.Millisecond, budget-time.Since(start))
	c.conn.SetDeadline(start.Add(waitLimit))
	head := requestHead("GET", "read", "work", "\r\n")
	head = strings.Replace(head, "5000m", fmt.Sprintf("%du", remaining.Microseconds()), 1)
	if _, err := io.WriteString(c.conn, head); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.conn.in, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, err
}

// newWorkingServers starts servers that need a while for each request whose path ends in work, and answer as one of
// serverFloods if it ends in flood and its number.
func newWorkingServers(t *testing.T, n int) string {
	return newServersWith(t, n, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // fails if the agent breaks the connection
		for i := range serverFloods {
			if strings.HasSuffix(r.URL.Path, fmt.Sprintf("flood%d", i)) {
				answerWithoutEnd(w, i)
				return
			}
		}
		if strings.HasSuffix(r.URL.Path, "work") {
			time.Sleep(minWork + rand.N(maxWork-minWork))
		}
		_, _ = io.WriteString(w, "served")
	})
}

// answerWithoutEnd answers as one of serverFloods, until the agent closes the connection.
func answerWithoutEnd(w http.ResponseWriter, flood int) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	more := strings.Repeat(serverFloods[flood].more, pipelineBytes/len(serverFloods[flood].more))
	_, err = io.WriteString(c, serverFloods[flood].begin)
	for err == nil {
		_, err = io.WriteString(c, more)
	}
}

// newFloodingListService starts a discovery service that answers each call at once with a list of members that changes each
// time, as long as lists may be.
func newFloodingListService(t *testing.T, members string) (addr string) {
	var others strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&others, `,{"id":"other%d","host_port":"127.0.0.1:1","phase":"Terminating"}`, i)
	}
	var revision, quiet atomic.Int64
	began := time.Now()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Since(began) < timeWithoutPeers && r.URL.RawQuery != "" {
			quiet.Add(1)
			time.Sleep(time.Until(began.Add(timeWithoutPeers)))
		}
		fmt.Fprintf(w, `{"revision":%d,"complete":true,"members":[%s%s]}`, revision.Add(1), members, &others)
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
		t.Logf("%d lists sent, %d calls waited for the peers", revision.Load(), quiet.Load())
	})
	return s.Listener.Addr().String()
}

// compareWithPeers runs clients in a hurry without peers and then beside them, and checks that they are answered in time and
// served as before.
func (a *limitedAgent) compareWithPeers(startPeers func(ctx context.Context)) {
	a.t.Helper()
	ctx, stop := context.WithTimeout(a.t.Context(), timeWithoutPeers)
	defer stop()
	before := a.hurriedClients(ctx)
	ctx, stop = context.WithTimeout(a.t.Context(), timeBesidePeers)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { a.measure(ctx, a.cmd) })
	startPeers(ctx)
	deadline, _ := ctx.Deadline()
	besideTime := time.Until(deadline) // starting peers or another process takes a while
	beside := a.hurriedClients(ctx)
	all.Wait()
	a.t.Logf("without peers: %v", before)
	a.t.Logf("beside peers: %v; %d kB resident, %d descriptors", beside, a.mostResidentKB, a.mostDescriptors)
	if before.late+before.none > 0 || before.served == 0 {
		a.t.Errorf("without peers: got %v; want none late or without an answer", before)
	}
	if beside.late+beside.none > 0 {
		a.t.Errorf("beside peers: got %v; want none late or without an answer:\n%s", beside, strings.Join(beside.slow[:min(10, len(beside.slow))], "\n"))
	}
	rate := func(c *budgetCounts, d time.Duration) float64 { return float64(c.served) / d.Seconds() }
	if got, want := rate(beside, besideTime), servedShare*rate(before, timeWithoutPeers); got < want {
		a.t.Errorf("beside peers: got %.0f requests served a second, want at least %.0f", got, want)
	}
	if a.mostResidentKB > a.limits.memoryMB<<10 || a.mostDescriptors > a.limits.sockets {
		a.t.Errorf("got %d kB and %d descriptors, want at most %d MB and %d", a.mostResidentKB, a.mostDescriptors, a.limits.memoryMB, a.limits.sockets)
	}
}

// Guards against peers that send at full speed from a process of their own, and thereby keep the agent's only core from
// answering sound clients within their budgets.
func TestPeersAtFullSpeedDelayNobody(t *testing.T) {
	if testing.Short() {
		t.Skip("peers at full speed take too long with the race detector")
	}
	for _, l := range []limits{{32, 1024}, {32, 256}} {
		for _, way := range peerWays {
			t.Run(fmt.Sprintf("%d sockets/8 peers/%s", l.sockets, way.name), func(t *testing.T) {
				a := startHurriedAgent(t, l)
				a.compareWithPeers(func(ctx context.Context) { startPeers(ctx, t, a.listen, 8, []peerWay{way}) })
			})
		}
		for _, peers := range []int{1, 3, 8} {
			t.Run(fmt.Sprintf("%d sockets/%d peers/mixed", l.sockets, peers), func(t *testing.T) {
				a := startHurriedAgent(t, l)
				a.compareWithPeers(func(ctx context.Context) { startPeers(ctx, t, a.listen, peers, peerWays) })
			})
		}
	}
}

// Guards against servers, callers of the console and discovery that send at full speed, and thereby keep the agent's only core
// from answering sound clients within their budgets.
func TestServersAndOperatorsAtFullSpeedDelayNobody(t *testing.T) {
	if testing.Short() {
		t.Skip("peers at full speed take too long with the race detector")
	}
	l := limits{32, 256}
	for _, way := range serverWays() {
		t.Run("servers/"+way.name, func(t *testing.T) {
			a := startHurriedAgent(t, l)
			a.compareWithPeers(func(ctx context.Context) { startPeers(ctx, t, a.listen, 8, []peerWay{way}) })
		})
	}
	for _, way := range consoleWays {
		t.Run("console/"+way.name, func(t *testing.T) {
			a := startHurriedAgent(t, l)
			a.compareWithPeers(func(ctx context.Context) { startPeers(ctx, t, a.console, 8, []peerWay{way}) })
		})
	}
	t.Run("discovery", func(t *testing.T) {
		a := startLimitedAgentWith(t, l, shortConfigText, newFloodingListService(t, newWorkingServers(t, 8)))
		a.compareWithPeers(func(context.Context) {})
	})
}

// Guards against an upgrade or a reload beside peers at full speed, in which sound clients are not answered in time.
func TestUpgradeAndReloadBesidePeersAtFullSpeed(t *testing.T) {
	if testing.Short() {
		t.Skip("peers at full speed take too long with the race detector")
	}
	for _, l := range []limits{{32, 1024}, {32, 256}} {
		t.Run(fmt.Sprintf("%d sockets/reload", l.sockets), func(t *testing.T) {
			a := startHurriedAgent(t, l)
			a.compareWithPeers(func(ctx context.Context) {
				startPeers(ctx, t, a.listen, 8, peerWays)
				go func() {
					for ctx.Err() == nil {
						time.Sleep(300 * time.Millisecond)
						_ = a.cmd.Process.Signal(syscall.SIGHUP) // fails once the agent has ended
					}
				}()
			})
		})
		t.Run(fmt.Sprintf("%d sockets/upgrade", l.sockets), func(t *testing.T) {
			a := startHurriedAgent(t, l)
			a.compareWithPeers(func(ctx context.Context) {
				startPeers(ctx, t, a.listen, 8, peerWays)
				old := a.cmd
				a.cmd = a.start()
				time.AfterFunc(500*time.Millisecond, func() { _ = old.Process.Signal(syscall.SIGTERM) }) // fails once the agent has ended
			})
		})
	}
}

// startHurriedAgent starts an agent for clients in a hurry.
func startHurriedAgent(t *testing.T, l limits) *limitedAgent {
	return startLimitedAgentWith(t, l, shortConfigText, newListService(t, newWorkingServers(t, 8)))
}
