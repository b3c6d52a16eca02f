package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/sweep"
)

const tiny = "../../deploy/scale/tiny.toml"

// buildPrograms builds this program and the agent as they are deployed, and returns their directory. The test binary is
// not used, because with the race detector its simulated agents would cost more than the real ones, which are built
// without it.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "scale-test-")
	if err != nil {
		return "", err
	}
	builtDir = dir
	for _, name := range []string{"scale", "agent"} {
		cmd := exec.Command("go", "build", "-buildvcs=false", "-o", filepath.Join(dir, name), "./cmd/"+name)
		cmd.Dir = "../.."
		if output, err := cmd.CombinedOutput(); err != nil {
			return "", fmt.Errorf("building %s: %w\n%s", name, err, output)
		}
	}
	return dir, nil
})

var builtDir string // directory of the built programs; empty if none were built

func TestMain(m *testing.M) {
	code := m.Run()
	if builtDir != "" {
		os.RemoveAll(builtDir)
	}
	os.Exit(code)
}

// program returns a command that runs the built program with the arguments.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	return exec.Command(filepath.Join(dir, "scale"), args...)
}

// skipInShort skips a test in short mode, where tests run concurrently. The test depends on the clock, so ./test.sh
// runs it alone.
func skipInShort(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a fleet: ./test.sh runs it alone")
	}
}

// tinyArgs returns the arguments that run the tiny scenario.
func tinyArgs(t *testing.T, args ...string) []string {
	t.Helper()
	dir, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	return append([]string{"run", tiny, "--agent-binary", filepath.Join(dir, "agent")}, args...)
}

// TestTiny runs the tiny scenario. It guards against missing or exceeded budgets, against simulated agents whose
// measurements differ from those of the real agents by more than the factor in the result, and against control that
// notifies late by its own clock.
func TestTiny(t *testing.T) {
	skipInShort(t)
	file := filepath.Join(t.TempDir(), "run.json")
	cmd := program(t, tinyArgs(t, "--json", file)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	text := out.String()
	if err != nil {
		t.Errorf("run: got error %v, want none", err)
	}
	for _, name := range []string{"added_p99", "agent_cpu", "agent_memory", "agent_bytes", "in_force_list", "in_force_config", "control_machines", "attempts_per_call"} {
		if !regexp.MustCompile(`(?m)^` + name + ` +[0-9.e+-]+ +[0-9.e+-]+ +ok$`).MatchString(text) {
			t.Errorf("got no line with %s and ok, want one", name)
		}
	}
	r := readRun(t, file)
	var compared []string
	for _, x := range r.Ratios {
		compared = append(compared, x.Name)
		if !x.OK || x.Ratio > x.Factor || x.Ratio < 1/x.Factor {
			t.Errorf("%s: got ratio %.2f (simulated %.4g, real %.4g), want at most %.2f and at least its inverse", x.Name, x.Ratio, x.Simulated, x.Real, x.Factor)
		}
	}
	if want := []string{"bytes", "list_in_force", "config_in_force", "cpu"}; !slices.Equal(compared, want) {
		t.Errorf("compared with real agents: got %q, want %q", compared, want)
	}
	// Each agent fetches one full list when its configuration changes. The limit is exceeded if agents fetch one for
	// each change of the list.
	if n := r.Control[0].FullLists; n > 2*int64(r.Sizes.Agents) {
		t.Errorf("got %d full lists for %d agents, want at most two each", n, r.Sizes.Agents)
	}
	if r.LateNotifications != 0 {
		t.Errorf("got %d changes that control notified late by its own clock, want 0", r.LateNotifications)
	}
	if !strings.HasSuffix(text, "\nscale: ok\n") {
		t.Error("got another last line, want scale: ok")
	}
	if t.Failed() {
		t.Logf("%s\n%s", &errOut, text)
	}
}

func readRun(t *testing.T, file string) *result.Run {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	r := &result.Run{}
	if err := json.Unmarshal(text, r); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return r
}

// TestEnds interrupts or kills a run, or one of its processes. It guards against processes that are left running and
// partial results that are not written.
func TestEnds(t *testing.T) {
	skipInShort(t)
	for _, c := range []struct {
		name string
		end  func(t *testing.T, program int, children map[int]string)
		want string // text in the result's reason for being incomplete; empty: the result is not checked
	}{
		{"interrupt", func(t *testing.T, program int, _ map[int]string) { kill(t, program, syscall.SIGINT) }, "interrupt"},
		{"terminate", func(t *testing.T, program int, _ map[int]string) { kill(t, program, syscall.SIGTERM) }, "terminated"},
		{"interrupt of all processes, as from a terminal", func(t *testing.T, program int, children map[int]string) {
			for pid := range children {
				kill(t, pid, syscall.SIGINT)
			}
			kill(t, program, syscall.SIGINT)
		}, ""},
		{"control dies", func(t *testing.T, _ int, children map[int]string) {
			kill(t, pidOfRole(t, children, "control"), syscall.SIGKILL)
		}, "control died"},
		{"the simulated agents die", func(t *testing.T, _ int, children map[int]string) {
			kill(t, pidOfRole(t, children, "hollow"), syscall.SIGKILL)
		}, "hollow died"},
		{"a real agent dies", func(t *testing.T, _ int, children map[int]string) {
			kill(t, pidOfRole(t, children, ""), syscall.SIGKILL)
		}, "died during the run"},
		{"killed", func(t *testing.T, program int, _ map[int]string) { kill(t, program, syscall.SIGKILL) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "run.json")
			cmd := program(t, tinyArgs(t, "--seconds", "60", "--json", file)...)
			var out bytes.Buffer
			cmd.Stdout = &out
			stderr, err := cmd.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			awaitLine(t, stderr, " runs ")
			children := childrenOf(cmd.Process.Pid)
			if len(children) < 4 {
				t.Errorf("got child processes %v, want at least 4", children)
			}
			c.end(t, cmd.Process.Pid, children)
			io.Copy(io.Discard, stderr) // returns when all processes have closed it
			err = cmd.Wait()
			var exit *exec.ExitError
			if !errors.As(err, &exit) {
				t.Fatalf("run: got error %v, want an exit error", err)
			}
			awaitGone(t, children)
			if c.want == "" {
				return
			}
			if exit.ExitCode() != exitFailed {
				t.Errorf("got exit code %d, want %d", exit.ExitCode(), exitFailed)
			}
			if r := readRun(t, file); !strings.Contains(r.Incomplete, c.want) || r.Sizes.Servers == 0 {
				t.Errorf("got incomplete %q with %d servers, want %q in it and the sizes", r.Incomplete, r.Sizes.Servers, c.want)
			}
			if !strings.Contains(out.String(), "scale: OVER") || !strings.Contains(out.String(), "incomplete") {
				t.Errorf("got text:\n%s\nwant it to report an incomplete run", &out)
			}
		})
	}
}

func kill(t *testing.T, pid int, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(pid, s); err != nil {
		t.Errorf("signalling %d: %v", pid, err)
	}
}

// awaitLine reads lines until one contains text.
func awaitLine(t *testing.T, r io.Reader, text string) {
	t.Helper()
	lines := bufio.NewScanner(r)
	var all []string
	for lines.Scan() {
		all = append(all, lines.Text())
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	t.Fatalf("got no line with %q:\n%s", text, strings.Join(all, "\n"))
}

// childrenOf returns the roles of a process's children by PID. The role of a real agent is empty.
func childrenOf(parent int) map[int]string {
	all := map[int]string{}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		if len(fields) < 2 || fields[1] != strconv.Itoa(parent) {
			continue
		}
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		all[pid] = ""
		env, _ := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
		for v := range strings.SplitSeq(string(env), "\x00") {
			if name, found := strings.CutPrefix(v, "SCALE_ROLE="); found {
				all[pid] = name
			}
		}
	}
	return all
}

// pidOfRole returns the PID of a process with the role.
func pidOfRole(t *testing.T, children map[int]string, name string) int {
	t.Helper()
	for pid, role := range children {
		if role == name {
			return pid
		}
	}
	t.Fatalf("got processes %v, want one with the role %q", children, name)
	return 0
}

// awaitGone waits until none of the processes runs. Usually they have ended before the program. If the program itself
// was killed, the kernel kills them a moment later.
func awaitGone(t *testing.T, children map[int]string) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for pid, name := range children {
		for isRunning(pid) {
			if time.Now().After(deadline) {
				t.Errorf("process %d (%s) still runs, want it to end", pid, name)
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// isRunning reports whether a process runs. A zombie does not.
func isRunning(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	return len(fields) > 0 && fields[0] != "Z" && fields[0] != "X"
}

func TestUsage(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"bad\"\nseconds = 5\ncolour = 1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, exitUsage, "expected one of"},
		{"unknown command", []string{"fly"}, exitUsage, "fly"},
		{"unknown flag", []string{"run", tiny, "--colour", "red"}, exitUsage, "--colour"},
		{"no scenario", []string{"run"}, exitUsage, "<scenario>"},
		{"no file", []string{"run", "none.toml"}, exitUsage, "none.toml"},
		{"unknown key", []string{"check", bad}, exitUsage, "colour"},
		{"not a number", []string{"run", tiny, "--agents", "many"}, exitUsage, "--agents"},
		{"too many servers", []string{"run", tiny, "--servers", "1000000"}, exitUsage, "fleet.servers"},
		{"no seconds", []string{"run", tiny, "--seconds", "0"}, exitUsage, "seconds"},
		{"more real agents than there are", []string{"run", tiny, "--agents", "3", "--real", "4"}, exitUsage, "fleet.real"},
		{"agent binary not executable", []string{"run", tiny, "--agent-binary", bad}, exitUsage, "agent-binary"},
		{"no such directory", []string{"run", tiny, "--json", "none/run.json"}, exitUsage, "json"},
		{"no such directory for the log", []string{"--log", "none/log", "check", tiny}, exitUsage, "log"},
		{"no such level", []string{"--level", "loud", "check", tiny}, exitUsage, "level"},
		{"no such dimension", []string{"sweep", tiny, "--target", tiny, "--real", "0", "--only", "colour"}, exitUsage, "only"},
		{"sizes that are not numbers", []string{"sweep", tiny, "--target", tiny, "--sizes", "agents=a,b"}, exitUsage, "sizes"},
		{"too few sizes", []string{"sweep", tiny, "--target", tiny, "--real", "0", "--sizes", "agents=1,2,3"}, exitUsage, "sizes"},
		{"no target", []string{"sweep", tiny, "--target", "none.toml"}, exitUsage, "target"},
		{"no result to add", []string{"sweep", tiny, "--target", tiny, "--add", "a=none.json"}, exitUsage, "add"},
		{"help", []string{"--help"}, 0, ""},
		{"valid file", []string{"check", tiny}, 0, ""},
		{"inconsistent flags", []string{"run", tiny, "--servers", "3", "--services", "4"}, exitUsage, "fleet.services"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := runCommand(t.Context(), c.args, &out, &errOut); code != c.code || !strings.Contains(errOut.String(), c.want) {
				t.Errorf("got exit code %d, output %q, want %d, %q in it", code, &errOut, c.code, c.want)
			}
		})
	}
}

// TestAdjustToFlags checks the sizes that are adjusted to the flags, without a run.
func TestAdjustToFlags(t *testing.T) {
	n := func(v int) *int { return &v }
	f := func(v float64) *float64 { return &v }
	for _, c := range []struct {
		name                    string
		flags                   scenarioFlags
		services, depth, events int
		notes                   int
	}{
		{"no flags", scenarioFlags{}, 4, 3, 3, 0},
		{"few servers", scenarioFlags{Servers: n(2)}, 2, 1, 3, 2},
		{"deeper", scenarioFlags{Depth: n(6)}, 7, 6, 3, 1},
		{"services given", scenarioFlags{Services: n(3)}, 3, 2, 3, 1},
		{"one agent", scenarioFlags{Agents: n(1)}, 4, 3, 3, 1},
		{"shorter", scenarioFlags{Seconds: f(1)}, 4, 3, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.flags.Scenario = tiny
			var errOut bytes.Buffer
			s, err := c.flags.load(&console{errOut: &errOut})
			if err != nil {
				t.Fatal(err)
			}
			if s.Fleet.Services != c.services || s.Fleet.Depth != c.depth || len(s.Events) != c.events || strings.Count(errOut.String(), "\n") != c.notes {
				t.Errorf("got %d services, depth %d, %d events, messages %q, want %d, %d, %d and %d messages",
					s.Fleet.Services, s.Fleet.Depth, len(s.Events), &errOut, c.services, c.depth, c.events, c.notes)
			}
		})
	}
}

// TestAdjustRelaysToFlags checks that a shorter run of the target omits the relay failure after its end.
func TestAdjustRelaysToFlags(t *testing.T) {
	seconds := 10.0
	for _, c := range []struct {
		flags  scenarioFlags
		killAt float64
	}{{scenarioFlags{}, 90}, {scenarioFlags{Seconds: &seconds}, 0}} {
		c.flags.Scenario = "../../deploy/scale/target.toml"
		s, err := c.flags.load(&console{errOut: &bytes.Buffer{}})
		if err != nil || s.Relays.Count != 5 || s.Relays.KillAt != c.killAt {
			t.Errorf("got error %v, scenario %+v, want 5 relays, one killed at %g", err, s, c.killAt)
		}
	}
}

// TestMetricsCommand checks that the metrics of a single run are added to a metrics file and replace those under the
// same name.
func TestMetricsCommand(t *testing.T) {
	dir := t.TempDir()
	file, run := filepath.Join(dir, "figures.json"), filepath.Join(dir, "run.json")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	old := `{"agents.x.slope":{"value":1.5,"unit":"B","run":"a sweep"},"run.a.gone":{"value":1},"run.ab.stays":{"value":2}}`
	for _, c := range []struct {
		name, metrics, run string
		code               int
		want               string // text in the output
	}{
		{"added", old, `{"budgets":[{"name":"agent_cpu","measured":0.25,"unit":"%"}]}`, 0, "3 figures, 1 runs added"},
		{"no metrics file", "", `{}`, exitUsage, "file: "},
		{"invalid metrics file", "[", `{}`, exitUsage, "file: "},
		{"invalid run", old, `{"budgets":`, exitUsage, "add: "},
	} {
		os.Remove(file)
		if c.metrics != "" {
			write(file, c.metrics)
		}
		write(run, c.run)
		var out, errOut strings.Builder
		if code := runCommand(t.Context(), []string{"figures", file, "--add", "a=" + run}, &out, &errOut); code != c.code || !strings.Contains(out.String()+errOut.String(), c.want) {
			t.Errorf("%s: got exit code %d, output %s%s, want %d, %q in it", c.name, code, &out, &errOut, c.code, c.want)
		}
		if c.code != 0 {
			continue
		}
		all, err := sweep.ReadMetrics(file)
		if _, gone := all["run.a.gone"]; err != nil || gone || all["run.a.budget.agent_cpu"].Value != 0.25 || all["run.ab.stays"].Value != 2 || all["agents.x.slope"].Value != 1.5 {
			t.Errorf("%s: got %v, error %v, want run.a replaced and the other keys kept", c.name, all, err)
		}
	}
}
