package realagent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// testTimeout bounds every wait in a test. Reaching it always fails the test.
const testTimeout = 20 * time.Second

// built is the agent binary, built once for all tests.
var built struct {
	once     sync.Once
	bin, dir string
	err      error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

func agentProgram(t *testing.T) string {
	t.Helper()
	built.once.Do(func() {
		if built.dir, built.err = os.MkdirTemp("", "realagent-test-"); built.err == nil {
			built.bin, built.err = Build(context.Background(), "../../..", built.dir)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return built.bin
}

// startDiscovery starts a discovery service whose list of the given servers never changes, and returns its address.
func startDiscovery(t *testing.T, servers []string) string {
	list := string(listOf(servers))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, list)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

func listOf(servers []string) []byte {
	var members []string
	for i, addr := range servers {
		members = append(members, fmt.Sprintf(`{"id":"e%d","host_port":%q,"locality":"a","flavor":"echo","phase":"Ready","size":1}`, i, addr))
	}
	return fmt.Appendf(nil, `{"revision":1,"complete":true,"members":[%s]}`, strings.Join(members, ","))
}

// testConfig renders a configuration with one class. Its aim contains the revision, and from revision 100 on its
// maximum number of attempts is invalid.
func testConfig(agent int, o world.ConfigOptions) []byte {
	attempts, known := 2, ""
	if o.Revision >= 100 {
		attempts = 0
	}
	if o.CachedEndpoints != nil {
		known = fmt.Sprintf(`"known":%s,`, o.CachedEndpoints)
	}
	return fmt.Appendf(nil, `{"name":"r%d","listen":%q,"discovery":%q,"seed":"%x",%s
 "limits":{"cores":1.0,"memory_mb":64,"sockets":256},
 "settings":{"categories":[{"name":"echo","aim":%d,"deadline":2000,"credit":1,"effect":"pure","boundTo":[0]}],
  "localities":["a"],"skus":["echo"],"replicasOfMe":1,"rank":0,"discovery":"subscribe","tick":50,"zone":0,
  "report":{"fields":["outstanding","backlog","recent_ms"],"how":"inline"},
  "limits":{"maxAttempts":%d,"cancel":true,"connectTimeout":200,"idleClose":30000},
  "rules":{"coldFrom":0.5,"warmAfter":1000,"overloadFactor":2,"extraFloor":100,"extraWindow":1000,"mustAskIn":2000}}}`,
		agent, o.Listen, o.Discovery, o.Seed, known, 100+o.Revision, attempts)
}

// testOptions returns the options of two agents, of which the first is busy, with two echo servers. The tests run in
// parallel, so each uses separate agents: those at positions first and first+2.
func testOptions(t *testing.T, first int) Options {
	t.Helper()
	echo, err := StartEchoServers(2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := echo.Close(); err != nil {
			t.Error(err)
		}
	})
	addr := startDiscovery(t, echo.Addrs())
	return Options{
		Config: testConfig, Agents: []int{first, first + 2}, Echo: echo.Addrs(), Program: agentProgram(t), Dir: t.TempDir(),
		Discovery: slices.Repeat([]string{addr}, first+3),
	}
}

func startFleet(t *testing.T, ctx context.Context, o Options) *Fleet {
	t.Helper()
	f, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// pids returns the process IDs of the agents and fails the test if an agent does not run.
func pids(t *testing.T, f *Fleet) (pids []int) {
	t.Helper()
	for _, a := range f.Stats().Each {
		if a.PID == 0 {
			t.Fatalf("agent %s does not run", a.Name)
		}
		pids = append(pids, a.PID)
	}
	return pids
}

// checkProcessesGone checks that none of the processes exists, not even as a zombie.
func checkProcessesGone(t *testing.T, pids []int) {
	t.Helper()
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d still exists: got %v, want %v", pid, err, syscall.ESRCH)
		}
	}
}

func checkErrorContains(t *testing.T, err error, parts ...string) {
	t.Helper()
	if err == nil {
		t.Fatalf("got no error, want one with %q", parts)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("got error %v, want %q in it", err, part)
		}
	}
}

// TestFleet runs a fleet from start to close, with calls, a configuration change, a restart and their measurements. No
// process or file may remain afterwards.
func TestFleet(t *testing.T) {
	t.Parallel()
	o := testOptions(t, 20)
	f := startFleet(t, t.Context(), o)
	f.Begin()
	added, err := f.MeasureAdded(t.Context(), 100, 500*time.Microsecond)
	if err != nil || added.Failed != 0 || added.CallsEach != 100 || added.Through.N != 100 || added.Direct.N != 100 {
		t.Errorf("got added %+v, error %v; want 100 calls each way without failures", added, err)
	}
	if added.Direct.P50 <= 0 || added.Through.P50 <= added.Direct.P50 || added.MedianMS <= 0 {
		t.Errorf("got added %+v, want a positive added latency", added)
	}
	const push = 20 * time.Millisecond
	if err := f.Configure(t.Context(), 1, push); err != nil {
		t.Error(err)
	}
	before := pids(t, f)
	if err := f.Restart(t.Context(), []int{19, 21, 22}, listOf(o.Echo)); err != nil { // 19 and 21 are not in the fleet
		t.Error(err)
	}
	s := f.Stats()
	if s.Each[0].PID != before[0] || s.Each[1].PID == before[1] || s.Each[0].Restarts != 0 || s.Each[1].Restarts != 1 || s.StartupMS.N != 1 {
		t.Errorf("got %+v, earlier process IDs %v; want only agent 22 restarted", s, before)
	}
	checkProcessesGone(t, before[1:])
	if d := s.ConfigInForce.Distribution(); d.N != 2 || d.Max < 20 || len(s.Configs) != 1 || s.Configs[0].Revision != 1 {
		t.Errorf("got in force after %+v ms, configurations %+v; want revision 1 at 2 agents", d, s.Configs)
	}
	for i, at := range s.Configs[0].InForce {
		if took := time.Duration(at - s.Configs[0].At); took < time.Duration(i)*push || took > testTimeout {
			t.Errorf("agent %d: got configuration in force after %v, want %v to %v", i, took, time.Duration(i)*push, testTimeout)
		}
	}
	if s.IdleAgents != 1 || s.CPUPercent <= 0 || s.CallCPUMS == 0 || s.Each[0].Calls != 100+warmUpPairs || s.Each[1].Calls != 0 {
		t.Errorf("got measurements %+v, want 1 idle agent, CPU usage, and %d calls by the busy agent only", s, 100+warmUpPairs)
	}
	if s.RSSBytes.N != 2 || s.RSSBytes.P50 < 1<<20 || s.PeakBytes.Max < s.RSSBytes.P50 {
		t.Errorf("got memory %+v, peak %+v; want at least 1 MB of each of 2 agents and a higher peak", s.RSSBytes, s.PeakBytes)
	}
	if err := f.Err(); err != nil {
		t.Error(err)
	}
	left := pids(t, f)
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	checkProcessesGone(t, left)
	if files, err := os.ReadDir(o.Dir); err != nil || len(files) != 0 {
		t.Errorf("got files %v, error %v; want no files", files, err)
	}
}

// TestAgentsOfGeneratedWorld checks that the agents of a generated world start with its configurations, reach its echo
// servers and apply its next revision.
func TestAgentsOfGeneratedWorld(t *testing.T) {
	t.Parallel()
	s, err := scenario.Load("../../../deploy/scale/tiny.toml")
	if err != nil {
		t.Fatal(err)
	}
	w, err := world.Generate(s)
	if err != nil {
		t.Fatal(err)
	}
	o := testOptions(t, 60)
	w.AddEcho(o.Echo)
	o.Config, o.Agents, o.Discovery = w.Config, nil, nil
	addr := startDiscovery(t, o.Echo)
	for i, a := range w.Agents {
		if o.Discovery = append(o.Discovery, addr); a.Real {
			o.Agents = append(o.Agents, i)
		}
	}
	f := startFleet(t, t.Context(), o)
	added, err := f.MeasureAdded(t.Context(), 10, 500*time.Microsecond)
	if err != nil || added.Failed != 0 || added.CallsEach != 10 {
		t.Errorf("got added %+v, error %v; want 10 calls each way without failures", added, err)
	}
	if err := f.Configure(t.Context(), 1, 0); err != nil {
		t.Error(err)
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// TestAgentDeathIsReported checks that the death of an agent is reported with its name and that the others still end
// cleanly.
func TestAgentDeathIsReported(t *testing.T) {
	t.Parallel()
	f := startFleet(t, t.Context(), testOptions(t, 30))
	left := pids(t, f)
	if err := syscall.Kill(left[1], syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	select {
	case <-f.Failed():
	case <-time.After(testTimeout):
		t.Fatalf("the death was not reported within %v", testTimeout)
	}
	checkErrorContains(t, f.Err(), "agent r32", "killed", "last lines")
	checkErrorContains(t, f.Configure(t.Context(), 1, 0), "agent r32", "does not run")
	checkErrorContains(t, f.Restart(t.Context(), []int{32}, nil), "agent r32", "does not run")
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	checkProcessesGone(t, left)
}

// TestBadConfigurationIsReported checks that errors include the agent's reason for rejecting a configuration, both at
// its start and at a reload.
func TestBadConfigurationIsReported(t *testing.T) {
	t.Parallel()
	o := testOptions(t, 40)
	f := startFleet(t, t.Context(), o)
	checkErrorContains(t, f.Configure(t.Context(), 100, 0), "agent r40", "agent r42", reloadRejectedMessage, "MaxAttempts")
	if s := f.Stats(); s.ConfigInForce.Distribution().N != 0 || f.Err() != nil {
		t.Errorf("got in force %+v, error %v; want none in force and no error", s.ConfigInForce.Distribution(), f.Err())
	}
	if err := f.Configure(t.Context(), 2, 0); err != nil {
		t.Errorf("next configuration: got error %v, want none", err)
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	o.Config = func(agent int, c world.ConfigOptions) []byte {
		c.Revision = 100
		return testConfig(agent, c)
	}
	_, err := Start(t.Context(), o)
	checkErrorContains(t, err, "agent r40", "ended before it was up", "MaxAttempts")
	if files, err := os.ReadDir(o.Dir); err != nil || len(files) != 0 {
		t.Errorf("got files %v, error %v; want no files", files, err)
	}
}

// TestContextEndsAllProcesses checks that all processes end with the context and that this is not reported as an error.
func TestContextEndsAllProcesses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startFleet(t, ctx, testOptions(t, 50))
	left := pids(t, f)
	cancel()
	if err := f.Close(); err != nil || f.Err() != nil {
		t.Errorf("got close error %v, run error %v; want none", err, f.Err())
	}
	checkProcessesGone(t, left)
}

func TestOptionsValidate(t *testing.T) {
	valid := Options{Agents: []int{0, 2}, Discovery: make([]string, 3)}
	for name, c := range map[string]struct {
		change func(*Options)
		want   string
	}{
		"valid":      {func(*Options) {}, ""},
		"no agents":  {func(o *Options) { o.Agents = nil }, "0 real agents"},
		"too many":   {func(o *Options) { o.Agents = make([]int, maxAgents+1) }, "201 real agents"},
		"duplicate":  {func(o *Options) { o.Agents = []int{1, 1} }, "twice"},
		"no address": {func(o *Options) { o.Agents = []int{3} }, "no address"},
		"no relays":  {func(o *Options) { o.Relays = make([][]string, 1) }, "no address"},
		"negative":   {func(o *Options) { o.Agents = []int{-1} }, "no address"},
		"too busy":   {func(o *Options) { o.Busy = 3 }, "3 busy"},
	} {
		t.Run(name, func(t *testing.T) {
			o := valid
			c.change(&o)
			err := o.validate()
			if c.want == "" && err == nil {
				return
			}
			checkErrorContains(t, err, c.want)
		})
	}
}

func TestLogLines(t *testing.T) {
	var got []string
	l := &lineWriter{onLine: func(_ time.Time, line string) { got = append(got, line) }}
	for _, part := range []string{"one\ntw", "o\n", "\nthree", "\n", "half"} {
		l.Write([]byte(part))
	}
	if strings.Join(got, "|") != "one|two||three" {
		t.Errorf("got lines %q, want one, two, an empty line and three", got)
	}
	var kept logTail
	for i := range tailLines + 3 {
		kept.add(fmt.Sprint(i))
	}
	if text := kept.text(); !strings.HasPrefix(text, "  3\n") || !strings.HasSuffix(text, "  14") {
		t.Errorf("got log tail %q, want lines 3 to 14", text)
	}
	for line, want := range map[string]map[string]string{
		`time=x level=INFO msg="configuration reloaded" agent=r1 classes="[a b]"`: {"level": "INFO", "msg": "configuration reloaded", "classes": "[a b]"},
		`level=ERROR msg="configuration reload rejected" error="a \"b\""`:         {"msg": "configuration reload rejected", "error": `a "b"`},
		`msg="half`:             {"msg": `"half`},
		"goroutine 1 [running]": {},
		"":                      {},
	} {
		fields := logFields(line)
		for key, value := range want {
			if fields[key] != value {
				t.Errorf("%s: got %s %q, want %q", line, key, fields[key], value)
			}
		}
	}
}
