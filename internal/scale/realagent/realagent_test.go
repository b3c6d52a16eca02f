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

// testTimeout bounds what a test waits for; nothing passes by it.
const testTimeout = 20 * time.Second

// built is the agent's program, built once for all tests.
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

// startDiscovery is one with a list of these servers that never changes.
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

// testConfig is a configuration with one class; the revision is in its aim, and attempts from revision 100 on are bad.
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

// testOptions are those of two agents, the first one busy, before two echo servers. The tests run at once, so each has
// agents of its own: this position and the next but one.
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

// pids are the processes' numbers, of which there is one for each agent.
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

// checkProcessesGone checks that no process of these numbers is left, not even one that nobody has waited for.
func checkProcessesGone(t *testing.T, pids []int) {
	t.Helper()
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is left: %v", pid, err)
		}
	}
}

func checkErrorContains(t *testing.T, err error, parts ...string) {
	t.Helper()
	if err == nil {
		t.Fatal("no error")
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("the error lacks %q: %v", part, err)
		}
	}
}

// A fleet from start to close: up, calls, a configuration in force, a restart, measurements of all that, and no process behind it.
func TestFleet(t *testing.T) {
	t.Parallel()
	o := testOptions(t, 20)
	f := startFleet(t, t.Context(), o)
	f.Begin()
	added, err := f.MeasureAdded(t.Context(), 100, 500*time.Microsecond)
	if err != nil || added.Failed != 0 || added.CallsEach != 100 || added.Through.N != 100 || added.Direct.N != 100 {
		t.Errorf("added %+v, error %v", added, err)
	}
	if added.Direct.P50 <= 0 || added.Through.P50 <= added.Direct.P50 || added.MedianMS <= 0 {
		t.Errorf("an agent adds nothing: %+v", added)
	}
	const push = 20 * time.Millisecond
	if err := f.Configure(t.Context(), 1, push); err != nil {
		t.Error(err)
	}
	before := pids(t, f)
	if err := f.Restart(t.Context(), []int{19, 21, 22}, listOf(o.Echo)); err != nil { // 19 and 21 are others' agents
		t.Error(err)
	}
	s := f.Stats()
	if s.Each[0].PID != before[0] || s.Each[1].PID == before[1] || s.Each[0].Restarts != 0 || s.Each[1].Restarts != 1 || s.StartupMS.N != 1 {
		t.Errorf("not agent 22 alone was restarted: %+v, before %v", s, before)
	}
	checkProcessesGone(t, before[1:])
	if d := s.ConfigInForce.Distribution(); d.N != 2 || d.Max < 20 || len(s.Configs) != 1 || s.Configs[0].Revision != 1 {
		t.Errorf("in force after %+v ms: %+v", d, s.Configs)
	}
	for i, at := range s.Configs[0].InForce {
		if took := time.Duration(at - s.Configs[0].At); took < time.Duration(i)*push || took > testTimeout {
			t.Errorf("agent %d has it in force %v after the beginning", i, took)
		}
	}
	if s.IdleAgents != 1 || s.CPUPercent <= 0 || s.CallCPUMS == 0 || s.Each[0].Calls != 100+warmUpPairs || s.Each[1].Calls != 0 {
		t.Errorf("figures %+v", s)
	}
	if s.RSSBytes.N != 2 || s.RSSBytes.P50 < 1<<20 || s.PeakBytes.Max < s.RSSBytes.P50 {
		t.Errorf("memory %+v, peak %+v", s.RSSBytes, s.PeakBytes)
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
		t.Errorf("files are left: %v, %v", files, err)
	}
}

// A drawn world's agents come up on its configurations, reach its echo servers and take its next revision.
func TestAgentsOfDrawnWorld(t *testing.T) {
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
		t.Errorf("added %+v, error %v", added, err)
	}
	if err := f.Configure(t.Context(), 1, 0); err != nil {
		t.Error(err)
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// An agent that dies in the run is an error with its name, and the others end well after it.
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
		t.Fatal("nobody hears of it")
	}
	checkErrorContains(t, f.Err(), "agent r32", "killed", "last lines")
	checkErrorContains(t, f.Configure(t.Context(), 1, 0), "agent r32", "does not run")
	checkErrorContains(t, f.Restart(t.Context(), []int{32}, nil), "agent r32", "does not run")
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	checkProcessesGone(t, left)
}

// What an agent says of a configuration that it cannot use is in the error, at its start and in the run.
func TestBadConfigurationIsReported(t *testing.T) {
	t.Parallel()
	o := testOptions(t, 40)
	f := startFleet(t, t.Context(), o)
	checkErrorContains(t, f.Configure(t.Context(), 100, 0), "agent r40", "agent r42", reloadRejectedMessage, "MaxAttempts")
	if s := f.Stats(); s.ConfigInForce.Distribution().N != 0 || f.Err() != nil {
		t.Errorf("in force all the same: %+v, error %v", s.ConfigInForce.Distribution(), f.Err())
	}
	if err := f.Configure(t.Context(), 2, 0); err != nil {
		t.Errorf("the next one: %v", err)
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
		t.Errorf("files are left: %v, %v", files, err)
	}
}

// All processes end with the context, which is no agent's fault.
func TestContextEndsAllProcesses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := startFleet(t, ctx, testOptions(t, 50))
	left := pids(t, f)
	cancel()
	if err := f.Close(); err != nil || f.Err() != nil {
		t.Errorf("closing: %v, in the run: %v", err, f.Err())
	}
	checkProcessesGone(t, left)
}

func TestOptionsValidate(t *testing.T) {
	good := Options{Agents: []int{0, 2}, Discovery: make([]string, 3)}
	for what, c := range map[string]struct {
		change func(*Options)
		want   string
	}{
		"good":       {func(*Options) {}, ""},
		"none":       {func(o *Options) { o.Agents = nil }, "0 real agents"},
		"too many":   {func(o *Options) { o.Agents = make([]int, maxAgents+1) }, "201 real agents"},
		"twice":      {func(o *Options) { o.Agents = []int{1, 1} }, "twice"},
		"no address": {func(o *Options) { o.Agents = []int{3} }, "no address"},
		"no relays":  {func(o *Options) { o.Relays = make([][]string, 1) }, "no address"},
		"below 0":    {func(o *Options) { o.Agents = []int{-1} }, "no address"},
		"busy":       {func(o *Options) { o.Busy = 3 }, "3 busy"},
	} {
		t.Run(what, func(t *testing.T) {
			o := good
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
		t.Errorf("lines %q", got)
	}
	var kept logTail
	for i := range tailLines + 3 {
		kept.add(fmt.Sprint(i))
	}
	if text := kept.text(); !strings.HasPrefix(text, "  3\n") || !strings.HasSuffix(text, "  14") {
		t.Errorf("kept %q", text)
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
				t.Errorf("%s: %s is %q, want %q", line, key, fields[key], value)
			}
		}
	}
}
