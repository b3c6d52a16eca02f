package control

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/scenario"
)

func TestMain(m *testing.M) {
	if os.Getenv(role.Env) != "" {
		if err := Main(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// addresses returns one address per agent, all with the same free port.
func addresses(t *testing.T, agents int) []string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") // kept open so that no other process gets the port
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var all []string
	for a := range agents {
		all = append(all, fmt.Sprintf("127.64.%d.%d:%d", a/250, a%250+1, l.Addr().(*net.TCPAddr).Port))
	}
	return all
}

func members(n int) []discovery.Member {
	all := make([]discovery.Member, n)
	for i := range all {
		all[i] = discovery.Member{ID: fmt.Sprintf("s-%08x", i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			Zone: "a", Kind: fmt.Sprintf("svc-%03d", i%130), State: "Ready", Weight: 1}
	}
	return all
}

// startArgs returns the arguments for starting a Service with the given number of agents.
func startArgs(t *testing.T, agents int, costs scenario.Control) StartArgs {
	return StartArgs{Costs: costs, Agents: make([]string, agents), Addrs: addresses(t, agents), Members: members(agents), Revision: 41}
}

// startControl runs a Service in this process and returns the agents' addresses.
func startControl(t *testing.T, agents int, costs scenario.Control) (*Service, []string) {
	t.Helper()
	s, args := new(Service), startArgs(t, agents, costs)
	var reply StartReply
	if err := s.Start(args, &reply); err != nil || reply.Ready != agents {
		t.Fatalf("Start: got %+v, %v, want %d agents ready", reply, err, agents)
	}
	t.Cleanup(func() { s.Down(DownArgs{true}, nil) })
	return s, args.Addrs
}

// caller is one agent's connection and counts its bytes.
type caller struct {
	net.Conn
	in           *bufio.Reader
	bytesRead    int64
	bytesWritten int64
}

func dial(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	a := &caller{Conn: c}
	a.in = bufio.NewReader(a)
	return a
}

func (a *caller) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	a.bytesRead += int64(n)
	return n, err
}

func (a *caller) send(query string) error {
	n, err := fmt.Fprintf(a.Conn, "GET %s%s HTTP/1.1\r\nHost: x\r\n\r\n", lists.Path, query)
	a.bytesWritten += int64(n)
	return err
}

func (a *caller) readResponse() (status int, l discovery.EndpointList, err error) {
	resp, err := http.ReadResponse(a.in, nil)
	if err != nil {
		return 0, l, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		l, err = discovery.Parse(text)
	}
	return resp.StatusCode, l, err
}

func (a *caller) call(query string) (int, discovery.EndpointList, error) {
	if err := a.send(query); err != nil {
		return 0, discovery.EndpointList{}, err
	}
	return a.readResponse()
}

// callAll connects one agent to each address and runs do for all of them concurrently.
func callAll(t *testing.T, addrs []string, do func(agent int, a *caller) error) {
	t.Helper()
	var wg sync.WaitGroup
	for agent, addr := range addrs {
		a := dial(t, addr)
		wg.Go(func() {
			if err := do(agent, a); err != nil {
				t.Errorf("agent %d: %v", agent, err)
			}
		})
	}
	wg.Wait()
}

func stats(t *testing.T, s *Service) (r StatsReply) {
	t.Helper()
	if err := s.Stats(struct{}{}, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// waitUntil polls until done returns true.
func waitUntil(done func() bool) {
	for !done() {
		runtime.Gosched()
	}
}

// terminatingChange changes member i to the state Terminating.
func terminatingChange(i int) ChangeArgs {
	m := members(i + 1)[i]
	m.State = "Terminating"
	return ChangeArgs{[]discovery.Member{m}}
}

// TestChange checks that a change reaches every agent, no sooner than the configured costs allow, that the agents which
// call again acknowledge it, and that the counted bytes are those that the agents read and wrote.
func TestChange(t *testing.T) {
	const agents, entryCost = 12, 4 * time.Millisecond
	s, addrs := startControl(t, agents, scenario.Control{CallMS: 0.1, EntryUS: float64(entryCost / time.Microsecond), Parallel: 1, Log: 16})
	callers := make([]*caller, agents)
	for i, addr := range addrs {
		callers[i] = dial(t, addr)
		query := "?after=41"
		if i == 0 {
			query = ""
		}
		if status, l, err := callers[i].call(query); status != 200 || l.Complete != (i == 0) || *l.Revision != 41 || err != nil {
			t.Fatalf("agent %d: got status %d, %+v, %v, want 200 and revision 41, complete %v", i, status, l, err, i == 0)
		}
	}
	for i, a := range callers {
		if err := a.send("?after=41&wait_ms=60000"); err != nil {
			t.Fatalf("agent %d: %v", i, err)
		}
	}
	var change ChangeReply
	if err := s.Change(terminatingChange(3), &change); err != nil || change.Revision != 42 {
		t.Fatalf("Change: got %+v, %v, want revision 42", change, err)
	}
	for i, a := range callers[:agents-1] { // the last agent does not call again
		status, l, err := a.readResponse()
		if err != nil || status != 200 || l.Complete || *l.Revision != 42 || len(l.Members) != 1 || l.Members[0].State != "Terminating" {
			t.Fatalf("agent %d: got status %d, %+v, %v, want 200 and the terminating member in revision 42", i, status, l, err)
		}
		if status, _, err := a.call("?after=42"); status != 200 || err != nil {
			t.Fatalf("agent %d, next call: got status %d, %v, want 200", i, status, err)
		}
	}
	if _, _, err := callers[agents-1].readResponse(); err != nil {
		t.Fatal(err)
	}
	// A response arrives before its call is recorded.
	waitUntil(func() bool { return stats(t, s).Machine.Calls == 3*agents-1 })
	r := stats(t, s)
	if len(r.Changes) != 1 || r.Changes[0].Revision != 42 || r.Changes[0].At != change.At || r.Changes[0].Entries != 1 {
		t.Fatalf("got changes %+v, want only %+v with 1 entry", r.Changes, change)
	}
	notification := r.Changes[0]
	for i := range agents {
		if at := notification.AcknowledgedAt[i]; (at != 0) != (i < agents-1) || at != 0 && at < change.At {
			t.Errorf("agent %d: got acknowledgement at %d of the change made at %d", i, at, change.At)
		}
	}
	written := slices.Clone(notification.WrittenAt)
	slices.Sort(written)
	for i, at := range written {
		if earliest := change.At + int64(i+1)*int64(entryCost); at < earliest {
			t.Errorf("response %d: written %v after the change, want at least %v", i+1, time.Duration(at-change.At), time.Duration(earliest-change.At))
		}
	}
	if m := r.Machine; m.FullLists != 1 || m.Rejected != 0 || m.Busy <= 0 || m.Busy > 1 || m.CPUPercent <= 0 || m.RSSBytes < 1<<20 {
		t.Errorf("got %+v, want 1 full list, none rejected and plausible usage", m)
	}
	var in, out int64
	for i, a := range callers {
		if got := sumBins(r.Out[i : i+1]); got != a.bytesRead {
			t.Errorf("agent %d: got %d bytes out, want %d", i, got, a.bytesRead)
		}
		if got := sumBins(r.In[i : i+1]); got != a.bytesWritten {
			t.Errorf("agent %d: got %d bytes in, want %d", i, got, a.bytesWritten)
		}
		in, out = in+a.bytesWritten, out+a.bytesRead
	}
	if r.Machine.BytesIn != in || r.Machine.BytesOut != out {
		t.Errorf("got %d bytes in and %d out in total, want %d and %d", r.Machine.BytesIn, r.Machine.BytesOut, in, out)
	}
	if err := s.Begin(struct{}{}, nil); err != nil {
		t.Fatal(err)
	}
	if r := stats(t, s); r.Machine.Calls != 0 || r.Machine.BytesOut != 0 || len(r.Changes) != 0 || r.LateNotifications != 0 {
		t.Errorf("after Begin: got %+v, want no calls, bytes or changes", r)
	}
}

// TestRejections checks that a call that has waited too long is rejected, and only after its own work is done.
func TestRejections(t *testing.T) {
	const agents, cost, rejectAfter = 12, 20 * time.Millisecond, 50 * time.Millisecond
	s, addrs := startControl(t, agents, scenario.Control{CallMS: 20, Parallel: 1, RejectMS: 50})
	began := time.Now()
	var rejected, served int64
	var mu sync.Mutex
	callAll(t, addrs, func(agent int, a *caller) error {
		sent := time.Now()
		status, _, err := a.call("")
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
			return err
		case status == 200:
			served++
		case status != 503 || time.Since(sent) < rejectAfter+cost:
			return fmt.Errorf("got status %d after %v, want 200, or 503 after at least %v", status, time.Since(sent), rejectAfter+cost)
		default:
			rejected++
		}
		return nil
	})
	if took := time.Since(began); took < agents*cost {
		t.Errorf("%d calls took %v, want at least %v", agents, took, agents*cost)
	}
	waitUntil(func() bool { return stats(t, s).Machine.Calls == agents })
	m := stats(t, s).Machine
	if m.Rejected != rejected || m.FullLists != served || rejected == 0 || served == 0 || m.QueueMS.Max < float64(rejectAfter/time.Millisecond) || m.QueueMax == 0 {
		t.Errorf("got %+v, want the %d full lists and %d rejections that the agents got, both positive, and a queue delay of at least %v",
			m, served, rejected, rejectAfter)
	}
}

func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// TestDown checks that connections are reset and new ones refused while the service is down, and that it comes back at
// the same addresses with the changes made in between.
func TestDown(t *testing.T) {
	s, addrs := startControl(t, 3, scenario.Control{Parallel: 1, Log: 16})
	for range 2 {
		revision := s.store.Revision()
		var watching []*caller
		for _, addr := range addrs {
			a := dial(t, addr)
			if status, _, err := a.call(""); status != 200 || err != nil {
				t.Fatal(status, err)
			}
			if err := a.send(fmt.Sprintf("?after=%d&wait_ms=60000", revision)); err != nil {
				t.Fatal(err)
			}
			watching = append(watching, a)
		}
		for range 2 { // the second call has no effect
			if err := s.Down(DownArgs{true}, nil); err != nil {
				t.Fatal(err)
			}
		}
		for i, a := range watching {
			if status, _, err := a.readResponse(); !isReset(err) {
				t.Errorf("agent %d: got status %d, %v, want a reset", i, status, err)
			}
			if _, err := net.Dial("tcp", addrs[i]); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("agent %d, new connection: got %v, want connection refused", i, err)
			}
		}
		var change ChangeReply
		if err := s.Change(terminatingChange(int(revision)%3), &change); err != nil {
			t.Fatal(err)
		}
		if err := s.Down(DownArgs{false}, nil); err != nil {
			t.Fatal(err)
		}
		callAll(t, addrs, func(agent int, a *caller) error {
			status, l, err := a.call(fmt.Sprintf("?after=%d&wait_ms=60000", revision))
			if err != nil || status != 200 || l.Complete || *l.Revision != change.Revision {
				return fmt.Errorf("got status %d, %+v, %w, want 200 and the change to revision %d", status, l, err, change.Revision)
			}
			return nil
		})
	}
	waitUntil(func() bool { return len(stats(t, s).Changes) == 2 })
}

// TestPartition checks that partitioned agents receive nothing, not even a reset when the service goes down, that their
// connections are reset when the partition ends, and that other agents are not affected.
func TestPartition(t *testing.T) {
	s, addrs := startControl(t, 2, scenario.Control{Parallel: 1, Log: 16})
	partition := func(partitioned bool) {
		t.Helper()
		if err := s.Partition(PartitionArgs{[]int{0}, partitioned}, nil); err != nil {
			t.Fatal(err)
		}
	}
	connCountIs := func(n int) func() bool {
		return func() bool {
			s.ports.ports[0].mu.Lock()
			defer s.ports.ports[0].mu.Unlock()
			return len(s.ports.ports[0].conns) == n
		}
	}
	type response struct {
		name  string
		bytes int64
		err   error
	}
	responses := make(chan response, 4)
	await := func(name string, a *caller) {
		before := a.bytesRead
		go func() {
			_, _, err := a.readResponse()
			responses <- response{name, a.bytesRead - before, err}
		}()
	}
	idle, watch, other := dial(t, addrs[0]), dial(t, addrs[0]), dial(t, addrs[1])
	for _, a := range []*caller{idle, watch, other} {
		if status, _, err := a.call(""); status != 200 || err != nil {
			t.Fatal(status, err)
		}
	}
	if err := errors.Join(watch.send("?after=41&wait_ms=60000"), other.send("?after=41&wait_ms=60000")); err != nil {
		t.Fatal(err)
	}
	partition(true)
	if err := idle.send(""); err != nil {
		t.Fatal(err)
	}
	added := dial(t, addrs[0])
	if err := added.send(""); err != nil {
		t.Fatal(err)
	}
	abandoned := dial(t, addrs[0]) // its agent closes it
	waitUntil(connCountIs(4))
	abandoned.Close()
	waitUntil(connCountIs(3))
	await("idle", idle)
	await("watch", watch)
	await("new", added)

	var change ChangeReply
	if err := s.Change(terminatingChange(1), &change); err != nil {
		t.Fatal(err)
	}
	if status, l, err := other.readResponse(); status != 200 || *l.Revision != 42 || err != nil {
		t.Errorf("the other agent: got status %d, %+v, %v, want 200 and revision 42", status, l, err)
	}
	if err := other.send("?after=42&wait_ms=60000"); err != nil {
		t.Fatal(err)
	}
	if err := s.Down(DownArgs{true}, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, err := other.readResponse(); !isReset(err) {
		t.Errorf("service down: the other agent got %v, want a reset", err)
	}
	if err := s.Down(DownArgs{false}, nil); err != nil {
		t.Fatal(err)
	}
	select {
	case r := <-responses:
		t.Errorf("while partitioned, %s got %d bytes and %v, want nothing", r.name, r.bytes, r.err)
	default:
	}
	partition(false)
	for range 3 {
		if r := <-responses; r.bytes != 0 || !isReset(r.err) {
			t.Errorf("%s got %d bytes and %v, want only a reset", r.name, r.bytes, r.err)
		}
	}
	if status, l, err := dial(t, addrs[0]).call("?after=41"); status != 200 || *l.Revision != 42 || err != nil {
		t.Errorf("after the partition: got status %d, %+v, %v, want 200 and revision 42", status, l, err)
	}
	if r := stats(t, s); r.LateNotifications != 0 {
		t.Errorf("got %d late notifications, want 0", r.LateNotifications)
	}
}

// TestMisuse checks that invalid calls from the run return errors and leave a started service usable.
func TestMisuse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	started, addrs := startControl(t, 1, scenario.Control{})
	for _, c := range []struct {
		name string
		do   func() error
		want string
	}{
		{"change before start", func() error { return new(Service).Change(ChangeArgs{}, new(ChangeReply)) }, "not been started"},
		{"down before start", func() error { return new(Service).Down(DownArgs{}, nil) }, "not been started"},
		{"partition before start", func() error { return new(Service).Partition(PartitionArgs{}, nil) }, "not been started"},
		{"begin before start", func() error { return new(Service).Begin(struct{}{}, nil) }, "not been started"},
		{"stats before start", func() error { return new(Service).Stats(struct{}{}, new(StatsReply)) }, "not been started"},
		{"start twice", func() error { return started.Start(StartArgs{}, new(StartReply)) }, "already been started"},
		{"names without addresses", func() error { return new(Service).Start(StartArgs{Agents: []string{"a"}}, new(StartReply)) }, "got 0 addresses for 1 agents"},
		{"address taken", func() error {
			return new(Service).Start(StartArgs{Agents: make([]string, 2), Addrs: []string{"127.0.0.1:0", taken.Addr().String()}}, new(StartReply))
		}, "address already in use"},
		{"unknown agent", func() error { return started.Partition(PartitionArgs{[]int{0, 1}, true}, nil) }, "agent 1: there are 1 agents"},
	} {
		if err := c.do(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want %q", c.name, err, c.want)
		}
	}
	if status, _, err := dial(t, addrs[0]).call(""); status != 200 || err != nil {
		t.Errorf("call afterwards: got status %d, %v, want 200", status, err)
	}
}

// TestFleet checks that the service, in a separate process, serves a whole fleet of agents and ends with its standard
// input. It logs the measured metrics.
func TestFleet(t *testing.T) {
	agents, changes := 830, 20
	if testing.Short() {
		agents, changes = 100, 5
	}
	c, err := role.Start(t.Context(), "control", os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Kill()
	call := func(method string, args, reply any) {
		t.Helper()
		if err := c.Call(t.Context(), "Control."+method, args, reply); err != nil {
			t.Fatal(err)
		}
	}
	args := startArgs(t, agents, scenario.Control{CallMS: 0.05, EntryUS: 1, Parallel: 4, RejectMS: 2000, Log: 64})
	began := time.Now()
	var ready StartReply
	call("Start", args, &ready)
	t.Logf("%d listeners ready after %v", ready.Ready, time.Since(began))

	fleet := make([]*caller, agents)
	for i, addr := range args.Addrs {
		fleet[i] = dial(t, addr)
		if status, _, err := fleet[i].call("?after=41"); status != 200 || err != nil {
			t.Fatalf("agent %d: got status %d, %v, want 200", i, status, err)
		}
	}
	watch := func(revision uint64) {
		for i, a := range fleet {
			if err := a.send(fmt.Sprintf("?after=%d&wait_ms=60000", revision)); err != nil {
				t.Fatalf("agent %d: %v", i, err)
			}
		}
	}
	watch(41)
	call("Begin", struct{}{}, &struct{}{})
	began = time.Now()
	for i := range changes {
		var change ChangeReply
		call("Change", terminatingChange(i), &change)
		for i, a := range fleet {
			if status, l, err := a.readResponse(); status != 200 || err != nil || *l.Revision != change.Revision || l.Complete {
				t.Fatalf("agent %d: got status %d, %+v, %v, want 200 and the change to revision %d", i, status, l, err, change.Revision)
			}
		}
		watch(change.Revision)
	}
	var r StatsReply
	var took time.Duration
	waitUntil(func() bool {
		r, took = StatsReply{}, time.Since(began)
		call("Stats", struct{}{}, &r)
		return r.Machine.Calls == int64(agents*changes)
	})
	var lastWritten []float64 // ms after each change
	for _, c := range r.Changes {
		lastWritten = append(lastWritten, float64(slices.Max(c.WrittenAt)-c.At)/1e6)
		if slices.Contains(c.WrittenAt, 0) {
			t.Errorf("revision %d was not written to all agents", c.Revision)
		}
	}
	slices.Sort(lastWritten)
	t.Logf("%d changes: last agent notified after %.1f ms (median), %.1f ms (max); %d late; %.0f ms CPU time per change (%.0f%% of a core for %v); %.0f bytes in and %.0f out per change and agent; %.0f MB RSS; queue %+v",
		changes, lastWritten[len(lastWritten)/2], lastWritten[len(lastWritten)-1], r.LateNotifications, r.Machine.CPUPercent/100*float64(took/time.Millisecond)/float64(changes), r.Machine.CPUPercent, took,
		float64(r.Machine.BytesIn)/float64(agents*changes), float64(r.Machine.BytesOut)/float64(agents*changes), r.Machine.RSSBytes/1e6, r.Machine.QueueMS)
	if len(r.Changes) != changes || r.Machine.FullLists != 0 || r.Machine.Rejected != 0 || len(r.In) != agents || len(r.Out) != agents {
		t.Errorf("got %d changes, bytes of %d and %d agents, %+v; want %d changes, %d agents, no full lists and none rejected",
			len(r.Changes), len(r.In), len(r.Out), r.Machine, changes, agents)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", args.Addrs[0]); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("after the process ended: got %v, want connection refused", err)
	}
}
