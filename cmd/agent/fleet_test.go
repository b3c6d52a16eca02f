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
	fleetSize   = 6
	mayNotify   = 6 * time.Second        // a change counts as notified so long after it was made, whether or not it arrived
	drainGrace  = 300 * time.Millisecond // of fleetConfig: from then until nothing more may be sent
	machineLate = 100 * time.Millisecond // that this machine may delay a request by, over the terms' 50 ms
)

// fleetConfig is the configuration of one of fleetSize agents that ask for the list: name, listen, discovery, known list, rank.
const fleetConfig = `{"name":%q,"listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "known":%s,
 "settings":{"categories":[{"name":"c","aim":500,"deadline":1000,"credit":1,"effect":"pure"}],"localities":["a"],"skus":["m1"],
  "replicasOfMe":6,"rank":%d,"discovery":"subscribe","limits":{"maxAttempts":3,"connectTimeout":100},
  "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"mustAskIn":10000,"drainGrace":300}}}`

// queuedCalls is a discovery service that works through calls one after the other, those included whose caller has given up, and
// rejects at once what would take longer than maxServiceWait, as the operators' was measured to do (trials bd242cab and d7999206).
type queuedCalls struct {
	queue discoverytest.Queue
	cost  time.Duration // of a call that does not continue a watch
}

// maxServiceWait is how long a call may take at the service, its wait and its work.
const maxServiceWait = time.Second

func (q *queuedCalls) Admit(ctx context.Context, w lists.Work) (time.Duration, error) {
	if w.Continues {
		return 0, nil
	}
	ends, ok := q.queue.ReserveWithin(q.cost, maxServiceWait)
	if !ok {
		return 0, errTooManyCallers
	}
	return awaitTurn(ctx, ends, nil)
}

// errTooManyCallers is for calls that would take longer than maxServiceWait.
var errTooManyCallers = lists.RejectedError{Cause: "too many callers"}

// awaitTurn waits until the work on a call ends, unless another call of its agent is rejected, and returns how long that was planned to take.
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

// counterServer notes when it last got a request.
type counterServer struct {
	*httptest.Server
	mu   sync.Mutex
	last time.Time
	from string
}

func newCounterServer(t *testing.T) *counterServer {
	s := &counterServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.last, s.from = time.Now(), r.URL.Path
		s.mu.Unlock()
		io.WriteString(w, "served")
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *counterServer) member(id, phase string) discovery.Member {
	return discovery.Member{ID: id, Address: s.Listener.Addr().String(), Zone: "a", Kind: "m1", State: phase, Weight: 1}
}

// fleetAgent is one real process of a fleet.
type fleetAgent struct {
	cmd          *exec.Cmd
	clock        steppedClock
	path, listen string
	known        string
	rank         int
	addresses    []net.Listener // of discovery, one for each configuration
	log          *logTail
	ended        chan struct{} // closed when the process has closed its log
}

// logTail keeps what a process logs.
type logTail struct {
	mu    sync.Mutex
	lines []string
}

func (l *logTail) follow(r io.Reader) {
	for s := bufio.NewScanner(r); s.Scan(); {
		l.mu.Lock()
		l.lines = append(l.lines, s.Text())
		l.mu.Unlock()
	}
}

// about returns the lines that hold one of some words.
func (l *logTail) about(words ...string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		for _, word := range words {
			if strings.Contains(line, word) {
				found = append(found, line)
				break
			}
		}
	}
	return strings.Join(found, "\n")
}

// config writes a configuration that names the n-th address of discovery.
func (a *fleetAgent) config(n int) string {
	return fmt.Sprintf(fleetConfig, fmt.Sprint("n", a.rank), a.listen, a.addresses[n].Addr(), a.known, a.rank)
}

// reload moves the agent to the n-th address of discovery. The one before takes no new connections from then on.
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

// sendRequests sends the agent a request each 10 ms until the context ends, as an application does.
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

// end has the process end as the platform does.
func (a *fleetAgent) end(t *testing.T) {
	if err := a.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("agent %d has ended: %v", a.rank, err)
	}
	select {
	case <-a.ended:
	case <-time.After(testTimeout):
		t.Errorf("agent %d goes on after SIGTERM", a.rank)
		a.cmd.Process.Kill()
		<-a.ended
	}
	if err := a.cmd.Wait(); err != nil {
		t.Errorf("agent %d ended with %v", a.rank, err)
	}
}

// ownAddrs counts the addresses that ownAddr has given out.
var ownAddrs atomic.Int32

// ownAddr is an address that nobody else takes: its loopback host is given out once, while a port that was free on 127.0.0.1 may
// be some other test's by the time at which a program listens there.
func ownAddr(t *testing.T) string {
	t.Helper()
	n := ownAddrs.Add(1)
	free, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n/250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// startAgent starts one process of a fleet and returns when it is up.
func startAgent(t *testing.T, rank int, known, library string, addresses []net.Listener) *fleetAgent {
	a := &fleetAgent{rank: rank, known: known, listen: ownAddr(t), addresses: addresses, log: &logTail{}}
	cmd, stderr, path := program(t, a.config(0))
	a.cmd, a.path = cmd, path
	if library != "" {
		a.clock = withClock(t, cmd, library)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	a.ended = make(chan struct{})
	go func() { a.log.follow(stderr); close(a.ended) }()
	awaitUp(t, a.listen)
	return a
}

// awaitUp waits until an agent takes clients. It follows the list before it listens.
func awaitUp(t *testing.T, listen string) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(begun) > testTimeout {
			t.Fatalf("the agent at %s is not up: %v", listen, err)
		}
	}
}

// fleet is real agents that follow the list of one service, and the servers that they send to.
type fleet struct {
	agents  []*fleetAgent
	service *lists.Server
	servers []*counterServer
}

// drainedServers are the first so many servers of a fleet, which drain leaves out.
const drainedServers = 2

// fleetOptions are what a fleet is made of.
type fleetOptions struct {
	limiter   lists.Limiter                   // of the calls to discovery
	front     func(http.Handler) http.Handler // if not nil: what calls go through before that
	addresses int                             // of discovery, for each agent
	library   string                          // by which processes get wall clocks of their own; empty: they have the machine's
}

// startFollowing starts fleetSize agents that follow the list of one discovery service.
func startFollowing(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{}
	var members []discovery.Member
	for i := range fleetSize {
		s := newCounterServer(t)
		f.servers = append(f.servers, s)
		members = append(members, s.member(fmt.Sprint("s", i), "Ready"))
	}
	f.service = &lists.Server{Store: lists.NewStore(100), Limiter: o.limiter}
	f.service.Store.Reset(1, members)
	known := string(lists.Encode(1, true, members))
	web := f.service.HTTP()
	if o.front != nil {
		web.Handler = o.front(web.Handler)
	}
	t.Cleanup(func() { web.Close() })
	for rank := range fleetSize {
		var addresses []net.Listener
		for range o.addresses {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addresses = append(addresses, l)
			go web.Serve(f.service.Listener(l, rank))
		}
		f.agents = append(f.agents, startAgent(t, rank, known, o.library, addresses))
	}
	return f
}

// sendRequests has each agent's application send requests until the test ends.
func (f *fleet) sendRequests(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	t.Cleanup(func() { stop(); clients.Wait() })
	for _, a := range f.agents {
		clients.Go(func() { a.sendRequests(ctx) })
	}
}

// drain has the first servers drain and returns when that counts as notified.
func (f *fleet) drain(t *testing.T) (notified time.Time) {
	t.Helper()
	var leaving []discovery.Member
	for i, s := range f.servers[:drainedServers] {
		leaving = append(leaving, s.member(fmt.Sprint("s", i), "Terminating"))
	}
	if err := f.service.Store.Apply(2, leaving); err != nil {
		t.Fatal(err)
	}
	return time.Now().Add(mayNotify)
}

// expectNoneAfter checks that the servers that drain got nothing once that had counted as notified for their grace.
func (f *fleet) expectNoneAfter(t *testing.T, notified time.Time) {
	t.Helper()
	for i, s := range f.servers[:drainedServers] {
		s.mu.Lock()
		last, from := s.last, s.from
		s.mu.Unlock()
		if by := last.Sub(notified); by > drainGrace+machineLate {
			t.Errorf("server %d gets %s %v after its drain counts as notified", i, from, by)
		}
	}
}
