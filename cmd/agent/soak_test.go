package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

const (
	// soakSeeds is the environment variable for the range of seeds to run, such as "1-50".
	soakSeeds        = "AGENT_SOAK_SEEDS"
	defaultSoakSeeds = "1-3"
	soakServers      = 6
	soakClients      = 6
	soakActions      = 4
	soakBudget       = 1500 * time.Millisecond
	soakActionStep   = 3500 * time.Millisecond
	soakIdleConns    = 80
	responseMargin   = 500 * time.Millisecond  // a response counts as lost if it arrives later than this after its budget
	killAfter        = 3700 * time.Millisecond // from SIGTERM to SIGKILL, at least
	// SIGKILL may interrupt a request that was sent later than lossToleratedAfter after SIGTERM.
	lossToleratedAfter = 700 * time.Millisecond
	maxSoakStart       = 6 * time.Second
)

// soakConfig is the configuration of the agent under test. Its arguments are: listen address, discovery address,
// console address, sockets, known list, agents, rank.
const soakConfig = `{"name":"n1","listen":%q,"discovery":%q,"console":%q,"seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":%d},
 "known":%s,
 "settings":{"categories":[{"name":"safe","aim":500,"deadline":3000,"credit":1,"effect":"pure"},
   {"name":"unsafe","aim":500,"deadline":3000,"credit":1,"effect":"side_effect"}],"localities":["a"],"skus":["m1"],
  "replicasOfMe":%d,"rank":%d,"discovery":"subscribe","limits":{"maxAttempts":3,"connectTimeout":100,"cancel":true,"secondCopies":true},
  "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"mustAskIn":10000,"drainGrace":300,"extraFloor":100,"extraWindow":1000}}}`

// soakEvent is an action on the agent or a change of its list.
type soakEvent struct {
	at   time.Time
	what string
}

// soakRequest is a request and its result for the client.
type soakRequest struct {
	id       string
	unsafe   bool
	sent     time.Time
	ended    time.Time
	status   int // 0 without a response
	timedOut bool
	err      error
}

// soakRun is the soak test of one seed: an agent whose processes are replaced and restarted, with its clients,
// servers and discovery service. mu guards the records.
type soakRun struct {
	t        *testing.T
	rng      *rand.Rand // of the schedule; used by one goroutine only
	listen   string
	tmp      string
	agents   int
	rank     int
	sockets  int
	known    string
	store    *lists.Store
	lists    []net.Listener // addresses of the discovery service
	members  []discovery.Member
	revision uint64

	mu        sync.Mutex
	events    []soakEvent
	requests  []soakRequest
	runs      map[string]int         // at servers, by request id
	drainedAt map[string]time.Time   // when a member began to drain, by member id
	stale     map[string]string      // requests received by servers whose drain counts as notified, by request id
	crashes   []time.Time            // times of SIGKILL without SIGTERM
	kills     map[time.Time]struct{} // processes that got SIGKILL after SIGTERM, by the time of SIGTERM
}

// soakProcess is one process of the agent.
type soakProcess struct {
	cmd     *exec.Cmd
	console string
	path    string
	log     *processLog
	ended   chan struct{} // closed when the process has ended
}

// TestSoak runs random series of replacements, restarts, crashes and reloads, while clients send requests over
// persistent connections and the list changes. It checks that no unsafe request runs twice and that no request is
// sent to a server whose drain counts as notified. Unless SIGKILL may have interrupted it, a request must not time out,
// and a request that a server received must get a response.
func TestSoak(t *testing.T) {
	first, last := seedRange(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := newSoakRun(t, seed)
			r.run()
			r.check()
		})
	}
}

// seedRange returns the first and the last seed to run.
func seedRange(t *testing.T) (first, last uint64) {
	t.Helper()
	text := os.Getenv(soakSeeds)
	if text == "" {
		text = defaultSoakSeeds
	}
	from, to, _ := strings.Cut(text, "-")
	first, err := strconv.ParseUint(from, 10, 32)
	if err != nil {
		t.Fatalf("%s: %v", soakSeeds, err)
	}
	if last, err = strconv.ParseUint(to, 10, 32); err != nil {
		t.Fatalf("%s: %v", soakSeeds, err)
	}
	return first, last
}

func newSoakRun(t *testing.T, seed uint64) *soakRun {
	r := &soakRun{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), listen: uniqueAddr(t), tmp: t.TempDir(), store: lists.NewStore(100), revision: 1,
		runs: map[string]int{}, drainedAt: map[string]time.Time{}, stale: map[string]string{}, kills: map[time.Time]struct{}{},
	}
	r.agents = []int{1, 6, 60, 300}[r.rng.IntN(4)]
	r.rank = r.rng.IntN(r.agents)
	r.sockets = []int{256, 1024}[r.rng.IntN(2)]
	for i := range soakServers {
		r.members = append(r.members, r.startServer(fmt.Sprint("s", i), time.Duration(5+r.rng.IntN(60))*time.Millisecond))
	}
	r.store.Reset(r.revision, r.members)
	r.known = string(lists.Encode(r.revision, true, r.members))
	service := &lists.Server{
		Store: r.store, Limiter: &serialLimiter{cost: time.Duration(1+r.rng.IntN(25)) * time.Millisecond}, MaxCallsPerAgent: 16, MaxConns: 64,
	}
	httpServer := service.HTTP()
	t.Cleanup(func() { httpServer.Close() })
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.lists = append(r.lists, l)
		go httpServer.Serve(service.Listener(l, 0))
	}
	return r
}

// startServer starts a server with the given service time, and returns it as a member.
func (r *soakRun) startServer(id string, serviceTime time.Duration) discovery.Member {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.recordRun(id, req.Header.Get("X-Call-Id"))
		time.Sleep(serviceTime)
		io.WriteString(w, "served")
	}))
	r.t.Cleanup(s.Close)
	return discovery.Member{ID: id, Address: s.Listener.Addr().String(), Zone: "a", Kind: "m1", State: "Ready", Weight: 1}
}

// recordRun records that a server runs a request, and whether the request came too late after the server's drain.
func (r *soakRun) recordRun(server, id string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	if drained, ok := r.drainedAt[server]; ok && now.Sub(drained) > notifyBound+drainGrace+machineDelay {
		r.stale[id] = fmt.Sprintf("%s, which began to drain %v before", server, now.Sub(drained))
	}
}

// record adds an event and returns its time.
func (r *soakRun) record(what string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.events = append(r.events, soakEvent{now, what})
	return now
}

// config returns a configuration with the n-th address of the discovery service.
func (r *soakRun) config(console string, n int) string {
	return fmt.Sprintf(soakConfig, r.listen, r.lists[n].Addr(), console, r.sockets, r.known, r.agents, r.rank)
}

// start starts a process and waits until it accepts clients.
func (r *soakRun) start() *soakProcess {
	r.t.Helper()
	started := r.record("start")
	p := &soakProcess{console: uniqueAddr(r.t), log: &processLog{}, ended: make(chan struct{})}
	cmd, stderr, path := newAgentCommand(r.t, r.config(p.console, 0))
	cmd.Env = append(cmd.Env, "TMPDIR="+r.tmp)
	p.cmd, p.path = cmd, path
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		p.log.record(stderr)
		_ = cmd.Wait() // terminate checks ProcessState
		close(p.ended)
	}()
	for consoleCall(p.console, "check") != "ok\n" {
		if time.Since(started) > maxSoakStart {
			r.t.Errorf("a process is not ready after %v: check: got %s\n%s", maxSoakStart, consoleCall(p.console, "check"), p.log.linesWith("msg="))
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.record("ready")
	return p
}

// terminate ends a process as the platform does: with SIGTERM, and after killAfter with SIGKILL. It waits for the exit.
func (r *soakRun) terminate(p *soakProcess) {
	terminated := r.record("SIGTERM")
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		r.t.Errorf("a process exited before SIGTERM: %v\n%s", err, p.log.linesWith("msg="))
		return
	}
	select {
	case <-p.ended:
		if !p.cmd.ProcessState.Success() {
			r.t.Errorf("got %v after SIGTERM, want exit status 0\n%s", p.cmd.ProcessState, p.log.linesWith("msg="))
		}
	case <-time.After(time.Until(terminated.Add(killAfter))):
		r.mu.Lock()
		r.kills[terminated] = struct{}{}
		r.mu.Unlock()
		r.record("SIGKILL after SIGTERM")
		_ = p.cmd.Process.Kill() // it may have exited
		<-p.ended
	}
}

// crash kills a process without SIGTERM.
func (r *soakRun) crash(p *soakProcess) {
	now := r.record("SIGKILL")
	r.mu.Lock()
	r.crashes = append(r.crashes, now)
	r.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.ended
}

// reload makes a process reload a series of configurations that alternate between the two addresses of discovery. Some
// of them are truncated.
func (r *soakRun) reload(p *soakProcess) {
	for n := range 1 + r.rng.IntN(4) {
		text := r.config(p.console, 1-n%2)
		if r.rng.IntN(3) == 0 {
			text = text[:len(text)/2]
		}
		if err := replaceFile(p.path, text); err != nil {
			r.t.Error(err)
		}
		r.record("SIGHUP")
		if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			r.t.Errorf("a process exited before SIGHUP: %v", err)
		}
		time.Sleep(time.Duration(r.rng.IntN(300)) * time.Millisecond)
	}
}

// drainMember marks a member as terminating and removes it from the list after a delay. Its server keeps serving.
func (r *soakRun) drainMember(i int, removedAfter time.Duration) {
	m := &r.members[i]
	m.State = "Terminating"
	r.mu.Lock()
	r.drainedAt[m.ID] = time.Now()
	r.mu.Unlock()
	r.change(*m)
	time.Sleep(removedAfter)
	m.State = "Gone"
	r.change(*m)
}

// change publishes a changed member in a new revision of the list.
func (r *soakRun) change(m discovery.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.events = append(r.events, soakEvent{time.Now(), m.ID + " " + m.State})
	if err := r.store.Apply(r.revision, []discovery.Member{m}); err != nil {
		r.t.Error(err)
	}
}

// run starts, replaces and ends the agent's processes by a schedule that the seed determines, while clients send
// requests and the list changes.
func (r *soakRun) run() {
	const processActions = 3
	ctx, stop := context.WithCancel(r.t.Context())
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	p := r.start()
	for i := range soakClients {
		background.Go(func() { r.runClient(ctx, i) })
	}
	if r.rng.IntN(3) == 0 {
		r.record("idle connections")
		for range soakIdleConns {
			background.Go(func() { r.keepIdleConn(ctx) })
		}
	}
	started := time.Now()
	for i := range soakServers / 2 { // the other members stay; a change may occur just before, during or after a start
		at := time.Duration(i)*soakActionStep + time.Duration(r.rng.IntN(int(soakActionStep/time.Millisecond)))*time.Millisecond
		removedAfter := time.Duration(r.rng.IntN(8000)) * time.Millisecond
		background.Go(func() {
			time.Sleep(time.Until(started.Add(at)))
			r.drainMember(i, removedAfter)
		})
	}
	for n := range soakActions {
		at := time.Duration(n+1)*soakActionStep + time.Duration(r.rng.IntN(1000))*time.Millisecond
		time.Sleep(time.Until(started.Add(at)))
		action := r.rng.IntN(processActions + 1)
		reloads := r.rng.IntN(2) == 0
		if reloads {
			r.reload(p)
		}
		switch action {
		case 0: // replaced by a process that runs in parallel
			next := r.start()
			r.terminate(p)
			p = next
		case 1: // restarted
			r.terminate(p)
			p = r.start()
		case 2: // crashes
			r.crash(p)
			p = r.start()
		default:
			r.reload(p)
		}
	}
	time.Sleep(notifyBound)
	stop()
	background.Wait()
	r.terminate(p)
}

// keepIdleConn keeps an idle connection open, and opens another when the agent closes it.
func (r *soakRun) keepIdleConn(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", r.listen)
		if err == nil {
			release := context.AfterFunc(ctx, func() { c.Close() })
			io.Copy(io.Discard, c) // until the agent closes it
			release()
			c.Close()
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// runClient sends requests one after the other. It keeps using a connection until the agent closes it.
func (r *soakRun) runClient(ctx context.Context, client int) {
	var c net.Conn
	var reader *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", r.listen, time.Second); err != nil {
				c = nil
				sleep(ctx, 10*time.Millisecond)
				continue
			}
			reader = bufio.NewReader(c)
		}
		request, keep := exchange(c, reader, fmt.Sprintf("%d-%d", client, n), n%2 == 0)
		r.mu.Lock()
		r.requests = append(r.requests, request)
		r.mu.Unlock()
		if !keep {
			c.Close()
			c = nil
		}
		sleep(ctx, 5*time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// exchange sends one request on a connection and reads the response. keep reports whether the connection can be reused.
func exchange(c net.Conn, reader *bufio.Reader, id string, unsafe bool) (request soakRequest, keep bool) {
	request = soakRequest{id: id, unsafe: unsafe, sent: time.Now()}
	method, class := http.MethodGet, "safe"
	if unsafe {
		method, class = http.MethodPost, "unsafe"
	}
	c.SetDeadline(request.sent.Add(soakBudget + responseMargin))
	_, err := fmt.Fprintf(c, "%s /%s/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\nContent-Length: 0\r\n\r\n",
		method, class, id, class, soakBudget.Milliseconds())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(reader, nil)
	}
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	request.ended = time.Now()
	request.err = err
	if err == nil {
		request.status = resp.StatusCode
		keep = !resp.Close
	}
	request.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return request, keep
}

// check checks the recorded requests, and logs the events if the test failed.
func (r *soakRun) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered := 0
	for _, request := range r.requests {
		runs := r.runs[request.id]
		if request.status != 0 {
			answered++
		}
		if request.unsafe && runs > 1 {
			r.reportViolation(request, fmt.Sprintf("got %d runs, want at most one", runs))
		}
		if request.status == 0 && (runs > 0 || request.timedOut) && !r.mayBeLost(request) {
			r.reportViolation(request, fmt.Sprintf("got no response (%v) after %d runs, want one", request.err, runs))
		}
		if where, ok := r.stale[request.id]; ok {
			r.reportViolation(request, "got a run at "+where+", want none there")
		}
	}
	if answered == 0 {
		r.t.Errorf("got no response to any of %d requests", len(r.requests))
	}
	r.t.Logf("%d requests, %d answered; agents %d, rank %d, %d sockets", len(r.requests), answered, r.agents, r.rank, r.sockets)
	if r.t.Failed() {
		for _, e := range r.events {
			r.t.Logf("%s %s", e.at.Format("05.000"), e.what)
		}
	}
}

// mayBeLost reports whether a request without a response was in flight when a process crashed, or was sent later than
// lossToleratedAfter after SIGTERM and was in flight at the SIGKILL.
func (r *soakRun) mayBeLost(request soakRequest) bool {
	for _, at := range r.crashes {
		if !at.Before(request.sent) && !at.After(request.ended.Add(machineDelay)) {
			return true
		}
	}
	for terminated := range r.kills {
		killed := terminated.Add(killAfter)
		if request.sent.After(terminated.Add(lossToleratedAfter)) && !killed.Before(request.sent) && !killed.After(request.ended.Add(machineDelay)) {
			return true
		}
	}
	return false
}

// reportViolation fails the test for a request, and names the event nearest to the time at which the request was sent.
func (r *soakRun) reportViolation(request soakRequest, what string) {
	nearest := soakEvent{what: "nothing"}
	for _, e := range r.events {
		if nearest.at.IsZero() || e.at.Sub(request.sent).Abs() < nearest.at.Sub(request.sent).Abs() {
			nearest = e
		}
	}
	r.t.Errorf("request %s, unsafe %v, sent at %s: %s (%v after %s)", request.id, request.unsafe, request.sent.Format("05.000"), what,
		request.sent.Sub(nearest.at), nearest.what)
}
