package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/settings"
)

// programEnv is the environment variable that makes the test binary run the relay program.
const programEnv = "RELAY_TEST_PROGRAM"

// testTimeout limits each wait of a test. A wait that reaches it fails the test.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// service is a discovery service. It keeps its address while it is down.
type service struct {
	*lists.Store
	addr string
	http *http.Server
}

func newService(t *testing.T, revision uint64, members ...discovery.Member) *service {
	s := &service{Store: lists.NewStore(100), addr: freeAddr(t)}
	s.Reset(revision, members)
	s.up(t)
	t.Cleanup(func() { s.http.Close() })
	return s
}

func (s *service) up(t *testing.T) {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	server := &lists.Server{Store: s.Store, MaxCallsPerAgent: 1000, MaxConns: 1000}
	s.http = server.HTTP()
	go s.http.Serve(server.Listener(l, 0))
}

// freeAddrs is the number of addresses that freeAddr has returned.
var freeAddrs atomic.Int32

// freeAddr returns an address that is not in use, on a loopback host that it returns only once. Connections to it come from
// 127.0.0.1, so none of the tests' own connections can take the port before the relay listens.
func freeAddr(t *testing.T) string {
	n := freeAddrs.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.78.%d.%d:0", n/250%250, n%250+1))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func member(id, state string) discovery.Member {
	return discovery.Member{ID: id, Address: "127.0.0.1:9", State: state, Weight: 1}
}

// program is a relay in its own process.
type program struct {
	*exec.Cmd
	addr, metrics, config, state string
	discovery                    string
	log                          chan string
	ended                        chan error
}

func startProgram(t *testing.T, discovery string) *program {
	dir := t.TempDir()
	p := &program{
		addr: freeAddr(t), metrics: freeAddr(t), config: filepath.Join(dir, "relay.json"), state: filepath.Join(dir, "state"), discovery: discovery,
	}
	p.configure(t, discovery, 1000)
	p.start(t)
	return p
}

func (p *program) configure(t *testing.T, discovery string, rate float64) {
	text := fmt.Sprintf(`{"name":"r","listen":%q,"discovery":%q,"figures":%q,"state":%q,
		"limits":{"lists_per_second":%v,"callers":1000,"memory_mb":64}}`, p.addr, discovery, p.metrics, p.state, rate)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the program and returns once it listens.
func (p *program) start(t *testing.T) {
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), programEnv+"=1", "RELAY_CONFIG="+p.config)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := p.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	p.log, p.ended = make(chan string, 1000), make(chan error, 1)
	cmd, ended := p.Cmd, p.ended
	go func() {
		for s := bufio.NewScanner(stderr); s.Scan(); {
			p.log <- s.Text()
		}
		ended <- cmd.Wait()
	}()
	t.Cleanup(func() { cmd.Process.Kill() })
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", p.addr)
		if err == nil {
			c.Close()
			return
		}
		if time.Since(began) > testTimeout {
			t.Fatalf("the relay does not listen after %v: %s", testTimeout, p.lines())
		}
	}
}

// lines returns the log lines that no test has read.
func (p *program) lines() (all []string) {
	for {
		select {
		case line := <-p.log:
			all = append(all, line)
		default:
			return all
		}
	}
}

// awaitLog waits for a log line that contains the text.
func (p *program) awaitLog(t *testing.T, text string) {
	t.Helper()
	for late := time.After(testTimeout); ; {
		select {
		case line := <-p.log:
			if strings.Contains(line, text) {
				return
			}
		case <-late:
			t.Fatalf("no log line with %q", text)
		}
	}
}

func (p *program) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(testTimeout):
		t.Fatalf("the relay has not exited after %v", testTimeout)
		return nil
	}
}

// get makes a call and returns the status and the body. The status is 0 if there is no response.
func get(addr, path string) (int, string) {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// agents watch the list through relays.
type agents struct {
	mu        sync.Mutex
	received  []map[uint64]time.Time
	fullLists []int
	notified  chan struct{} // receives a value at each watch event
}

func startAgents(t *testing.T, n int, addr string, relays []string) *agents {
	a := &agents{received: make([]map[uint64]time.Time, n), fullLists: make([]int, n), notified: make(chan struct{}, 100_000)}
	ctx, stop := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	t.Cleanup(func() { stop(); ended.Wait() })
	set := &settings.Settings{Balancer: balancer.Settings{Agents: 1}}
	for i := range n {
		a.received[i] = map[uint64]time.Time{}
		d := discovery.New(discovery.Options{
			Addr: addr, Relays: relays, Name: fmt.Sprint("agent-", i), Settings: func() *settings.Settings { return set },
			OnPoll: func(discovery.PollResult) {}, Log: slog.New(slog.DiscardHandler),
			Notify: func(event discovery.WatchEvent) {
				a.mu.Lock()
				if _, ok := a.received[i][event.Revision]; !ok {
					a.received[i][event.Revision] = time.Now()
				}
				if event.Update == balancer.EndpointsReplaced {
					a.fullLists[i]++
				}
				a.mu.Unlock()
				a.notified <- struct{}{}
			},
		})
		ended.Go(func() { d.Run(ctx, nil) })
	}
	return a
}

// awaitAll waits until all agents have received a revision and returns when the last one did.
func (a *agents) awaitAll(t *testing.T, revision uint64) (last time.Time) {
	t.Helper()
	for late := time.After(testTimeout); ; {
		missing := 0
		a.mu.Lock()
		for _, h := range a.received {
			at, ok := h[revision]
			if !ok {
				missing++
			} else if at.After(last) {
				last = at
			}
		}
		a.mu.Unlock()
		if missing == 0 {
			return last
		}
		select {
		case <-a.notified:
		case <-late:
			t.Fatalf("%d of %d agents have not received revision %d", missing, len(a.received), revision)
		}
	}
}

// When a relay is killed, its agents must not lose a change: they must fail over to the other relay and receive the
// change within the notification bound, without another full list. The relay must have its list when restarted while
// discovery is down.
func TestKilledRelay(t *testing.T) {
	s := newService(t, 7, member("x", "Ready"), member("y", "Ready"))
	relays := []*program{startProgram(t, s.addr), startProgram(t, s.addr)}
	a := startAgents(t, 40, s.addr, []string{relays[0].addr, relays[1].addr})
	a.awaitAll(t, 7)
	for began := time.Now(); ; time.Sleep(time.Millisecond) { // until the list is stored
		if _, err := os.Stat(filepath.Join(relays[0].state, "list")); err == nil {
			break
		}
		if time.Since(began) > testTimeout {
			t.Fatalf("no list is stored after %v", testTimeout)
		}
	}
	relays[0].Process.Kill()
	relays[0].wait(t)
	changed := time.Now()
	if err := s.Apply(8, []discovery.Member{member("x", "Terminating")}); err != nil {
		t.Fatal(err)
	}
	if took := a.awaitAll(t, 8).Sub(changed); took > balancer.NotifyBoundAfterFailure {
		t.Errorf("the last agent received the change after %v, want at most %v", took, balancer.NotifyBoundAfterFailure)
	}
	for i, n := range a.fullLists {
		if n != 1 {
			t.Errorf("agent %d: got %d full lists, want 1", i, n)
		}
	}
	s.http.Close()
	relays[0].start(t)
	relays[0].awaitLog(t, "stored endpoint list loaded")
	if status, text := get(relays[0].addr, "/discovery/hosts?after=7&wait_ms=0"); status != 200 || !strings.Contains(text, `"revision":7,"complete":false,"members":[]`) {
		t.Errorf("caller at the stored revision: got %d %s, want 200 without changes", status, text)
	}
	if status, text := get(relays[0].addr, "/discovery/hosts"); status != http.StatusServiceUnavailable {
		t.Errorf("caller without a list: got %d %s, want 503", status, text)
	}
	s.up(t)
	relays[0].awaitLog(t, `msg="endpoint list updated"`)
	if status, text := get(relays[0].addr, "/discovery/hosts?after=7&wait_ms=1000"); status != 200 || !strings.Contains(text, `"revision":8,"complete":false`) {
		t.Errorf("after discovery is back: got %d %s, want 200 with the changes of revision 8", status, text)
	}
}

// awaitRevision waits until the relay serves the revision.
func (p *program) awaitRevision(t *testing.T, revision int) {
	t.Helper()
	p.awaitMetrics(t, fmt.Sprintf("relay_revision %d\n", revision))
}

// awaitMetrics waits until the metrics have all of the lines.
func (p *program) awaitMetrics(t *testing.T, lines ...string) {
	t.Helper()
	var text string
	for began := time.Now(); time.Since(began) < testTimeout; time.Sleep(time.Millisecond) {
		missing := 0
		if _, text = get(p.metrics, "/"); text == "" {
			continue
		}
		for _, line := range lines {
			if !strings.Contains(text, line) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
	}
	t.Fatalf("after %v got metrics %swant %q in them", testTimeout, text, lines)
}

// SIGHUP must load a new address and rate, but nothing from an invalid file. SIGTERM must end a waiting call
// before its wait of 60 s is over.
func TestSignals(t *testing.T) {
	s, other := newService(t, 7, member("x", "Ready")), newService(t, 9, member("y", "Ready"))
	p := startProgram(t, s.addr)
	p.awaitLog(t, `msg="endpoint list updated"`)
	p.configure(t, other.addr, -1)
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLog(t, "limits.lists_per_second")
	if _, text := get(p.addr, "/discovery/hosts"); !strings.Contains(text, `"revision":7`) {
		t.Errorf("after an invalid file: got %s, want revision 7", text)
	}
	p.configure(t, other.addr, 500)
	p.Process.Signal(syscall.SIGHUP)
	p.awaitLog(t, `msg="endpoint list updated"`)
	p.awaitRevision(t, 9) // the line is logged just before the list is served
	if _, text := get(p.addr, "/discovery/hosts"); !strings.Contains(text, `"revision":9`) {
		t.Errorf("after a migration: got %s, want revision 9", text)
	}
	// A call is counted when it has ended, which its caller does not wait for.
	p.awaitMetrics(t, "relay_whole_lists_total 2\n", "relay_revision 9\n", "relay_open_calls 0\n")
	ended := make(chan time.Duration)
	began := time.Now()
	go func() {
		get(p.addr, "/discovery/hosts?after=9&wait_ms=60000")
		ended <- time.Since(began)
	}()
	p.awaitMetrics(t, "relay_open_calls 1\n") // the watch is waiting
	p.Process.Signal(syscall.SIGTERM)
	if err := p.wait(t); err != nil {
		t.Errorf("exit: got %v, want status 0", err)
	}
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Errorf("the watch has not ended %v after the relay", testTimeout)
	}
}

// If the program cannot start, it must exit with an error that names the cause.
func TestStartErrors(t *testing.T) {
	s := newService(t, 7)
	p := startProgram(t, s.addr)
	second := &program{addr: p.addr, metrics: freeAddr(t), config: filepath.Join(t.TempDir(), "relay.json"), state: t.TempDir()}
	second.configure(t, s.addr, 1)
	third := &program{addr: freeAddr(t), metrics: p.metrics, config: filepath.Join(t.TempDir(), "relay.json"), state: t.TempDir()}
	third.configure(t, s.addr, 1)
	for what, config := range map[string]string{
		"RELAY_CONFIG is not set": "", "no such file": "/none/relay.json", "listening: ": second.config, "figures: ": third.config,
	} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), programEnv+"=1", "RELAY_CONFIG="+config)
		if text, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(text), what) {
			t.Errorf("%s: got error %v with output %s, want a failure that names it", what, err, text)
		}
	}
}
