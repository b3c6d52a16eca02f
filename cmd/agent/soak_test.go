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
	// soakSeeds is the variable that names the seeds to play, as in "1-50".
	soakSeeds        = "AGENT_SOAK_SEEDS"
	defaultSoakSeeds = "1-3"
	soakServers      = 6
	soakClients      = 6
	soakActions      = 4
	soakBudget       = 1500 * time.Millisecond
	soakActionStep   = 3500 * time.Millisecond
	soakCrowd        = 80                      // idle connections
	lateAnswer       = 500 * time.Millisecond  // an answer that comes later than so long after its time is lost
	killAfter        = 3700 * time.Millisecond // of SIGTERM, at the earliest
	lateRequest      = 700 * time.Millisecond  // after SIGTERM, from when on what SIGKILL finds unanswered is not lost
	maxSoakReady     = 6 * time.Second
)

// soakConfig is the configuration of the agent under soak: listen, discovery, console, sockets, known list, agents, rank.
const soakConfig = `{"name":"n1","listen":%q,"discovery":%q,"console":%q,"seed":"1f","limits":{"cores":1,"memory_mb":64,"sockets":%d},
 "known":%s,
 "settings":{"categories":[{"name":"safe","aim":500,"deadline":3000,"credit":1,"effect":"pure"},
   {"name":"unsafe","aim":500,"deadline":3000,"credit":1,"effect":"side_effect"}],"localities":["a"],"skus":["m1"],
  "replicasOfMe":%d,"rank":%d,"discovery":"subscribe","limits":{"maxAttempts":3,"connectTimeout":100,"cancel":true,"secondCopies":true},
  "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"mustAskIn":10000,"drainGrace":300,"extraFloor":100,"extraWindow":1000}}}`

// soakEvent is something that was done to the agent or its list.
type soakEvent struct {
	at   time.Time
	what string
}

// soakRequest is a request as its client saw it.
type soakRequest struct {
	id       string
	unsafe   bool
	sent     time.Time
	ended    time.Time
	status   int // 0: none
	timedOut bool
	err      error
}

// soakRun is one soak of a seed: an agent whose processes come and go, its clients, servers and discovery.
type soakRun struct {
	t        *testing.T
	rng      *rand.Rand // of the schedule; one goroutine uses it
	listen   string
	tmp      string
	agents   int
	rank     int
	sockets  int
	known    string
	store    *lists.Store
	lists    []net.Listener // addresses of discovery
	members  []discovery.Member
	revision uint64

	mu       sync.Mutex
	events   []soakEvent
	requests []soakRequest
	ran      map[string]int         // at servers, by id
	leftAt   map[string]time.Time   // when the members left that have, by id
	stale    map[string]string      // requests that came to members that had left, by id
	crashes  []time.Time            // SIGKILL without SIGTERM
	kills    map[time.Time]struct{} // SIGKILL after SIGTERM, by the time of that
}

// soakProcess is one process of the agent.
type soakProcess struct {
	cmd     *exec.Cmd
	console string
	path    string
	log     *logTail
	ended   chan struct{} // closed when the process has ended
}

// TestSoak plays replacements, restarts and reloads in series under clients that use their connections as long as these are open, and
// lists that change meanwhile. Seen from outside, a request has one final answer, none that must not be repeated runs twice, none is
// sent to a server whose drain counts as notified, and none that came to a server is lost.
func TestSoak(t *testing.T) {
	first, last := soakRange(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := newSoakRun(t, seed)
			r.play()
			r.judge()
		})
	}
}

func soakRange(t *testing.T) (first, last uint64) {
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
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), listen: ownAddr(t), tmp: t.TempDir(), store: lists.NewStore(100), revision: 1,
		ran: map[string]int{}, leftAt: map[string]time.Time{}, stale: map[string]string{}, kills: map[time.Time]struct{}{},
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
		Store: r.store, Limiter: &queuedCalls{cost: time.Duration(1+r.rng.IntN(25)) * time.Millisecond}, MaxCallsPerAgent: 16, MaxConns: 64,
	}
	web := service.HTTP()
	t.Cleanup(func() { web.Close() })
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.lists = append(r.lists, l)
		go web.Serve(service.Listener(l, 0))
	}
	return r
}

// startServer starts a server that takes so long for a request, and returns it as a member.
func (r *soakRun) startServer(id string, takes time.Duration) discovery.Member {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.recordRun(id, req.Header.Get("X-Call-Id"))
		time.Sleep(takes)
		io.WriteString(w, "served")
	}))
	r.t.Cleanup(s.Close)
	return discovery.Member{ID: id, Address: s.Listener.Addr().String(), Zone: "a", Kind: "m1", State: "Ready", Weight: 1}
}

// recordRun notes that a request runs at a server.
func (r *soakRun) recordRun(server, id string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id]++
	if left, ok := r.leftAt[server]; ok && now.Sub(left) > mayNotify+drainGrace+machineLate {
		r.stale[id] = fmt.Sprintf("%s, which left %v before", server, now.Sub(left))
	}
}

func (r *soakRun) record(what string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.events = append(r.events, soakEvent{now, what})
	return now
}

// config writes a configuration that names the n-th address of discovery.
func (r *soakRun) config(console string, n int) string {
	return fmt.Sprintf(soakConfig, r.listen, r.lists[n].Addr(), console, r.sockets, r.known, r.agents, r.rank)
}

// start starts a process and waits until it takes clients.
func (r *soakRun) start() *soakProcess {
	r.t.Helper()
	begun := r.record("start")
	p := &soakProcess{console: ownAddr(r.t), log: &logTail{}, ended: make(chan struct{})}
	cmd, stderr, path := program(r.t, r.config(p.console, 0))
	cmd.Env = append(cmd.Env, "TMPDIR="+r.tmp)
	p.cmd, p.path = cmd, path
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	go func() {
		p.log.follow(stderr)
		_ = cmd.Wait() // how it ended is its state's
		close(p.ended)
	}()
	for call(p.console, "check") != "ok\n" {
		if time.Since(begun) > maxSoakReady {
			r.t.Errorf("a process is not ready after %v: %s\n%s", maxSoakReady, call(p.console, "check"), p.log.about("msg="))
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.record("ready")
	return p
}

// terminate ends a process as the platform does, and waits for its end.
func (r *soakRun) terminate(p *soakProcess) {
	begun := r.record("SIGTERM")
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		r.t.Errorf("a process has ended before its SIGTERM: %v\n%s", err, p.log.about("msg="))
		return
	}
	select {
	case <-p.ended:
		if !p.cmd.ProcessState.Success() {
			r.t.Errorf("a process ends with %v\n%s", p.cmd.ProcessState, p.log.about("msg="))
		}
	case <-time.After(time.Until(begun.Add(killAfter))):
		r.mu.Lock()
		r.kills[begun] = struct{}{}
		r.mu.Unlock()
		r.record("SIGKILL after SIGTERM")
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
	}
}

// crash kills a process without a warning.
func (r *soakRun) crash(p *soakProcess) {
	now := r.record("SIGKILL")
	r.mu.Lock()
	r.crashes = append(r.crashes, now)
	r.mu.Unlock()
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.ended
}

// reload sends a series of configurations, some of them broken, that move discovery to and fro.
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
			r.t.Errorf("a process has ended before its SIGHUP: %v", err)
		}
		time.Sleep(time.Duration(r.rng.IntN(300)) * time.Millisecond)
	}
}

// leave has a member leave the list: it drains, and is removed later. It goes on serving.
func (r *soakRun) leave(i int, removedAfter time.Duration) {
	m := &r.members[i]
	m.State = "Terminating"
	r.mu.Lock()
	r.leftAt[m.ID] = time.Now()
	r.mu.Unlock()
	r.change(*m)
	time.Sleep(removedAfter)
	m.State = "Gone"
	r.change(*m)
}

func (r *soakRun) change(m discovery.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	r.events = append(r.events, soakEvent{time.Now(), m.ID + " " + m.State})
	if err := r.store.Apply(r.revision, []discovery.Member{m}); err != nil {
		r.t.Error(err)
	}
}

// play has the agent's processes come and go by a schedule that is drawn from the seed.
func (r *soakRun) play() {
	const processActions = 3
	ctx, stop := context.WithCancel(r.t.Context())
	var others sync.WaitGroup
	defer others.Wait()
	defer stop()
	p := r.start()
	for i := range soakClients {
		others.Go(func() { r.runClient(ctx, i) })
	}
	if r.rng.IntN(3) == 0 {
		r.record("crowd")
		for range soakCrowd {
			others.Go(func() { r.idle(ctx) })
		}
	}
	begun := time.Now()
	for i := range soakServers / 2 { // the others stay; a change may come just before, in or after a start
		at := time.Duration(i)*soakActionStep + time.Duration(r.rng.IntN(int(soakActionStep/time.Millisecond)))*time.Millisecond
		removedAfter := time.Duration(r.rng.IntN(8000)) * time.Millisecond
		others.Go(func() {
			time.Sleep(time.Until(begun.Add(at)))
			r.leave(i, removedAfter)
		})
	}
	for n := range soakActions {
		at := time.Duration(n+1)*soakActionStep + time.Duration(r.rng.IntN(1000))*time.Millisecond
		time.Sleep(time.Until(begun.Add(at)))
		action := r.rng.IntN(processActions + 1)
		reloads := r.rng.IntN(2) == 0
		if reloads {
			r.reload(p)
		}
		switch action {
		case 0: // replaced by a process beside it
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
	time.Sleep(mayNotify)
	stop()
	others.Wait()
	r.terminate(p)
}

// idle keeps a connection that brings nothing, and another when it is closed.
func (r *soakRun) idle(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", r.listen)
		if err == nil {
			release := context.AfterFunc(ctx, func() { c.Close() })
			io.Copy(io.Discard, c) // until the agent closes it
			release()
			c.Close()
		}
		sleepUntil(ctx, 300*time.Millisecond)
	}
}

func sleepUntil(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// runClient sends requests one after the other on one connection for as long as that is open.
func (r *soakRun) runClient(ctx context.Context, client int) {
	var c net.Conn
	var answers *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", r.listen, time.Second); err != nil {
				c = nil
				sleepUntil(ctx, 10*time.Millisecond)
				continue
			}
			answers = bufio.NewReader(c)
		}
		request, keep := exchangeOnce(c, answers, fmt.Sprintf("%d-%d", client, n), n%2 == 0)
		r.mu.Lock()
		r.requests = append(r.requests, request)
		r.mu.Unlock()
		if !keep {
			c.Close()
			c = nil
		}
		sleepUntil(ctx, 5*time.Millisecond)
	}
	if c != nil {
		c.Close()
	}
}

// exchangeOnce sends one request on a connection and reads its answer. It returns whether the connection goes on.
func exchangeOnce(c net.Conn, answers *bufio.Reader, id string, unsafe bool) (request soakRequest, keep bool) {
	request = soakRequest{id: id, unsafe: unsafe, sent: time.Now()}
	method, class := http.MethodGet, "safe"
	if unsafe {
		method, class = http.MethodPost, "unsafe"
	}
	c.SetDeadline(request.sent.Add(soakBudget + lateAnswer))
	_, err := fmt.Fprintf(c, "%s /%s/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\nContent-Length: 0\r\n\r\n",
		method, class, id, class, soakBudget.Milliseconds())
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(answers, nil)
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

// judge checks the records of a run.
func (r *soakRun) judge() {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered := 0
	for _, request := range r.requests {
		runs := r.ran[request.id]
		if request.status != 0 {
			answered++
		}
		if request.unsafe && runs > 1 {
			r.breach(request, fmt.Sprintf("runs %d times", runs))
		}
		if request.status == 0 && (runs > 0 || request.timedOut) && !r.excused(request) {
			r.breach(request, fmt.Sprintf("has no answer: %v; it ran %d times", request.err, runs))
		}
		if where, ok := r.stale[request.id]; ok {
			r.breach(request, "is sent to "+where)
		}
	}
	if answered == 0 {
		r.t.Error("no request is answered")
	}
	r.t.Logf("%d requests, %d answered; agents %d, rank %d, %d sockets", len(r.requests), answered, r.agents, r.rank, r.sockets)
	if r.t.Failed() {
		for _, e := range r.events {
			r.t.Logf("%s %s", e.at.Format("05.000"), e.what)
		}
	}
}

// excused says whether a request without an answer was out when a process crashed, or was killed though it came late.
func (r *soakRun) excused(request soakRequest) bool {
	for _, at := range r.crashes {
		if !at.Before(request.sent) && !at.After(request.ended.Add(machineLate)) {
			return true
		}
	}
	for terminated := range r.kills {
		killed := terminated.Add(killAfter)
		if request.sent.After(terminated.Add(lateRequest)) && !killed.Before(request.sent) && !killed.After(request.ended.Add(machineLate)) {
			return true
		}
	}
	return false
}

// breach reports a request that broke a rule, with the event nearest to it.
func (r *soakRun) breach(request soakRequest, what string) {
	nearest := soakEvent{what: "nothing"}
	for _, e := range r.events {
		if nearest.at.IsZero() || e.at.Sub(request.sent).Abs() < nearest.at.Sub(request.sent).Abs() {
			nearest = e
		}
	}
	r.t.Errorf("request %s, unsafe %v, sent at %s, %s (%v after %s)", request.id, request.unsafe, request.sent.Format("05.000"), what,
		request.sent.Sub(nearest.at), nearest.what)
}
