package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/discovery/discoverytest"
	"example.org/ryeloft/internal/lists"
)

const (
	fleetSize    = 6
	notifyBound  = 6 * time.Second        // after this time a change counts as notified, received or not
	drainGrace   = 300 * time.Millisecond // after notifyBound: nothing may be sent later; set in fleetConfig and soakConfig
	machineDelay = 100 * time.Millisecond // tolerated delay of a request by this machine, beyond the permitted 50 ms
)

// fleetConfig is the configuration of one of fleetSize agents that watch the list. Its arguments are: name, listen
// address, discovery address, known list, rank.
const fleetConfig = `{"name":%q,"listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"categories":[{"name":"c","aim":500,"deadline":1000,"credit":1,"effect":"pure"}],"localities":["a"],"skus":["m1"],
  "replicasOfMe":6,"rank":%d,"discovery":"subscribe","limits":{"maxAttempts":3,"connectTimeout":100},
  "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"mustAskIn":10000,"drainGrace":300}}}`

// serialLimiter makes a discovery service process calls one at a time, including those whose caller has given up. It
// immediately rejects calls that would take longer than maxServiceWait. The operators' service was measured to
// behave like this (trials bd242cab and d7999206).
type serialLimiter struct {
	queue discoverytest.Queue
	cost  time.Duration // per call that does not continue a watch
}

// maxServiceWait is the longest time that a call may take at the service, queueing included.
const maxServiceWait = time.Second

func (q *serialLimiter) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	if w.Continues {
		return 0, nil
	}
	ends, ok := q.queue.ReserveWithin(q.cost, maxServiceWait)
	if !ok {
		return 0, errOverloaded
	}
	return awaitTurn(ctx, ends, nil)
}

// errOverloaded rejects calls that would take longer than maxServiceWait.
var errOverloaded = lists.RejectedError{Cause: "too many callers"}

// awaitTurn waits until ends, when the service has processed a call, and returns the planned delay. It returns early
// with an error if otherRejected is closed, which means that another call of the agent was rejected, or if ctx ends.
func awaitTurn(ctx context.Context, ends time.Time, otherRejected <-chan struct{}) (time.Duration, error) {
	delay := time.Until(ends)
	done := time.NewTimer(delay)
	defer done.Stop()
	select {
	case <-done.C:
		return delay, nil
	case <-otherRejected:
		return delay, lists.RejectedError{Cause: "another call was rejected"}
	case <-ctx.Done():
		return delay, ctx.Err()
	}
}

// recordingServer records the time and the path of its last request, under mu.
type recordingServer struct {
	*httptest.Server
	mu       sync.Mutex
	last     time.Time
	lastPath string
}

func newRecordingServer(t *testing.T) *recordingServer {
	s := &recordingServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.last, s.lastPath = time.Now(), r.URL.Path
		s.mu.Unlock()
		io.WriteString(w, "served")
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *recordingServer) member(id, phase string) discovery.Member {
	return discovery.Member{ID: id, Address: s.Listener.Addr().String(), Zone: "a", Kind: "m1", State: phase, Weight: 1}
}

// fleetAgent is one agent of a fleet, which runs as a process.
type fleetAgent struct {
	cmd          *exec.Cmd
	clock        steppedClock
	path, listen string
	known        string
	rank         int
	addresses    []net.Listener // of discovery, one per configuration
	log          *processLog
	ended        chan struct{} // closed when the process has closed its standard error
}

// processLog records the log lines of a process.
type processLog struct {
	mu    sync.Mutex
	lines []string
}

// record reads log lines until r ends.
func (l *processLog) record(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		l.mu.Lock()
		l.lines = append(l.lines, s.Text())
		l.mu.Unlock()
	}
}

// linesWith returns the recorded lines that contain any of the texts.
func (l *processLog) linesWith(texts ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		for _, text := range texts {
			if strings.Contains(line, text) {
				found = append(found, line)
				break
			}
		}
	}
	return strings.Join(found, "\n")
}

// config returns the agent's configuration with the n-th address of discovery.
func (a *fleetAgent) config(n int) string {
	return fmt.Sprintf(fleetConfig, fmt.Sprint("n", a.rank), a.listen, a.addresses[n].Addr(), a.known, a.rank)
}

// reload moves the agent to the n-th address of discovery, and closes the previous address to new connections.
func (a *fleetAgent) reload(t *testing.T, n int) {
	if err := replaceFile(a.path, a.config(n)); err != nil {
		t.Error(err)
		return
	}
	if err := a.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
	a.addresses[n-1].Close()
}

// sendRequests is the agent's client: it sends one request after the other, 10 ms apart, until the context ends.
func (a *fleetAgent) sendRequests(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/c/n%d", a.listen, a.rank), nil)
		req.Header.Set("X-Call-Id", fmt.Sprintf("%d-%d", a.rank, n))
		req.Header.Set("X-Call-Class", "c")
		req.Header.Set("X-Budget", "900m")
		if resp, err := client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// terminate ends the process with SIGTERM, as the platform does, and checks that it exits with status 0.
func (a *fleetAgent) terminate(t *testing.T) {
	if err := a.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("agent %d: exited before SIGTERM: %v", a.rank, err)
	}
	select {
	case <-a.ended:
	case <-time.After(testTimeout):
		t.Errorf("agent %d: still running %v after SIGTERM", a.rank, testTimeout)
		a.cmd.Process.Kill()
		<-a.ended
	}
	if err := a.cmd.Wait(); err != nil {
		t.Errorf("agent %d: got %v, want exit status 0", a.rank, err)
	}
}

// uniqueAddrs is the number of addresses that uniqueAddr has returned.
var uniqueAddrs atomic.Int32

// uniqueAddr returns an address on a loopback host that it returns only once. A port that was free on 127.0.0.1 may
// be in use by another test by the time the agent listens there.
func uniqueAddr(t *testing.T) string {
	t.Helper()
	n := uniqueAddrs.Add(1)
	free, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// startAgent starts one agent of a fleet and returns when it is up. If library is not empty, the agent gets its own
// wall clock.
func startAgent(t *testing.T, rank int, known, library string, addresses []net.Listener) *fleetAgent {
	a := &fleetAgent{rank: rank, known: known, listen: uniqueAddr(t), addresses: addresses, log: &processLog{}}
	cmd, stderr, path := newAgentCommand(t, a.config(0))
	a.cmd, a.path = cmd, path
	if library != "" {
		a.clock = attachClock(t, cmd, library)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	a.ended = make(chan struct{})
	go func() { a.log.record(stderr); close(a.ended) }()
	awaitUp(t, a.listen)
	return a
}

// awaitUp waits until an agent accepts clients. The agent watches the list before it listens.
func awaitUp(t *testing.T, listen string) {
	t.Helper()
	for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(started) > testTimeout {
			t.Fatalf("the agent at %s is not up after %v: %v", listen, testTimeout, err)
		}
	}
}

// fleet is a set of agents that watch the list of one discovery service, and the servers that they send to.
type fleet struct {
	agents  []*fleetAgent
	service *lists.Server
	servers []*recordingServer
}

// drainedServers is the number of servers, counted from the first, that drain marks as terminating.
const drainedServers = 2

// fleetOptions configures a fleet.
type fleetOptions struct {
	limiter    lists.Limiter                   // of discovery calls
	middleware func(http.Handler) http.Handler // in front of the discovery service; may be nil
	addresses  int                             // of discovery, per agent
	library    string                          // gives each agent its own wall clock; empty: the machine's
}

// startFleet starts fleetSize servers, a discovery service that lists them, and fleetSize agents that watch the list.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{}
	var members []discovery.Member
	for i := range fleetSize {
		s := newRecordingServer(t)
		f.servers = append(f.servers, s)
		members = append(members, s.member(fmt.Sprint("s", i), "Ready"))
	}
	f.service = &lists.Server{Store: lists.NewStore(100), Limiter: o.limiter}
	f.service.Store.Reset(1, members)
	known := string(lists.Encode(1, true, members))
	httpServer := f.service.HTTP()
	if o.middleware != nil {
		httpServer.Handler = o.middleware(httpServer.Handler)
	}
	t.Cleanup(func() { httpServer.Close() })
	for rank := range fleetSize {
		var addresses []net.Listener
		for range o.addresses {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addresses = append(addresses, l)
			go httpServer.Serve(f.service.Listener(l, rank))
		}
		f.agents = append(f.agents, startAgent(t, rank, known, o.library, addresses))
	}
	return f
}

// sendRequests starts a client per agent that sends requests until the test ends.
func (f *fleet) sendRequests(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	t.Cleanup(func() { stop(); clients.Wait() })
	for _, a := range f.agents {
		clients.Go(func() { a.sendRequests(ctx) })
	}
}

// drain marks the first drainedServers as terminating, and returns the time at which the change counts as notified.
func (f *fleet) drain(t *testing.T) (notified time.Time) {
	t.Helper()
	var terminating []discovery.Member
	for i, s := range f.servers[:drainedServers] {
		terminating = append(terminating, s.member(fmt.Sprint("s", i), "Terminating"))
	}
	if err := f.service.Store.Apply(2, terminating); err != nil {
		t.Fatal(err)
	}
	return time.Now().Add(notifyBound)
}

// expectNoRequestsAfterDrain checks that no draining server received a request later than drainGrace after the drain
// counted as notified.
func (f *fleet) expectNoRequestsAfterDrain(t *testing.T, notified time.Time) {
	t.Helper()
	for i, s := range f.servers[:drainedServers] {
		s.mu.Lock()
		last, path := s.last, s.lastPath
		s.mu.Unlock()
		if by := last.Sub(notified); by > drainGrace+machineDelay {
			t.Errorf("server %d: got %s %v after its drain counted as notified, want nothing after %v", i, path, by, drainGrace+machineDelay)
		}
	}
}
