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

// programs are this program and the agent, built as they are deployed: with the race detector the simulated agents would
// cost more than the real ones, which are built without.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "scale-test-")
	if err != nil {
		return "", err
	}
	built = dir
	for _, name := range []string{"scale", "agent"} {
		cmd := exec.Command("go", "build", "-buildvcs=false", "-o", filepath.Join(dir, name), "./cmd/"+name)
		cmd.Dir = "../.."
		if said, err := cmd.CombinedOutput(); err != nil {
			return "", fmt.Errorf("building %s: %w\n%s", name, err, said)
		}
	}
	return dir, nil
})

var built string // the folder of the programs, once there is one

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

// program is the program, to be started with some arguments.
func program(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	return exec.Command(filepath.Join(dir, "scale"), args...)
}

// skipInShort skips a test where others run beside it: ./test.sh runs it alone, as it depends on the clock.
func skipInShort(t *testing.T) {
	if testing.Short() {
		t.Skip("plays a fleet: ./test.sh runs it alone")
	}
}

// runTiny are the arguments that play the tiny scenario.
func runTiny(t *testing.T, args ...string) []string {
	t.Helper()
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	return append([]string{"run", tiny, "--agent-binary", filepath.Join(dir, "agent")}, args...)
}

// TestTiny plays the tiny scenario whole. It fails when a budget's line is missing or OVER, when a measurement of the
// simulated agents is off the real ones' by more than the factor stated beside it, and when control notifies late by its
// own clock.
func TestTiny(t *testing.T) {
	skipInShort(t)
	file := filepath.Join(t.TempDir(), "run.json")
	cmd := program(t, runTiny(t, "--json", file)...)
	var out, said bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &said
	err := cmd.Run()
	text := out.String()
	if err != nil {
		t.Errorf("the run ended with %v", err)
	}
	for _, name := range []string{"added_p99", "agent_cpu", "agent_memory", "agent_bytes", "in_force_list", "in_force_config", "control_machines", "attempts_per_call"} {
		if !regexp.MustCompile(`(?m)^` + name + ` +[0-9.e+-]+ +[0-9.e+-]+ +ok$`).MatchString(text) {
			t.Errorf("no line says that %s is ok", name)
		}
	}
	r := read(t, file)
	var held []string
	for _, x := range r.Ratios {
		held = append(held, x.Name)
		if !x.OK || x.Ratio > x.Factor || x.Ratio < 1/x.Factor {
			t.Errorf("%s: simulated %.4g, real %.4g: off by %.2f, may be by %.2f", x.Name, x.Simulated, x.Real, x.Ratio, x.Factor)
		}
	}
	if want := []string{"bytes", "list_in_force", "config_in_force", "cpu"}; !slices.Equal(held, want) {
		t.Errorf("held against real agents: %q, want %q", held, want)
	}
	// Each agent asks for one whole list, when its configuration changes. One for each change of the list would be more.
	if n := r.Control[0].FullLists; n > 2*int64(r.Sizes.Agents) {
		t.Errorf("%d agents asked for %d whole lists", r.Sizes.Agents, n)
	}
	if r.LateNotifications != 0 {
		t.Errorf("control notified %d changes late by its own clock", r.LateNotifications)
	}
	if !strings.HasSuffix(text, "\nscale: ok\n") {
		t.Error("the last line is not scale: ok")
	}
	if t.Failed() {
		t.Logf("%s\n%s", &said, text)
	}
}

func read(t *testing.T, file string) *result.Run {
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

// TestEnds ends a run in its middle in each way, and looks for processes that are left and for what is written.
func TestEnds(t *testing.T) {
	skipInShort(t)
	for _, c := range []struct {
		name string
		end  func(t *testing.T, program int, children map[int]string)
		want string // in what is written; empty: nothing is, the program was killed
	}{
		{"interrupt", func(t *testing.T, program int, _ map[int]string) { kill(t, program, syscall.SIGINT) }, "interrupt"},
		{"terminate", func(t *testing.T, program int, _ map[int]string) { kill(t, program, syscall.SIGTERM) }, "terminated"},
		{"interrupt of all, as from a terminal", func(t *testing.T, program int, children map[int]string) {
			for pid := range children {
				kill(t, pid, syscall.SIGINT)
			}
			kill(t, program, syscall.SIGINT)
		}, ""},
		{"control dies", func(t *testing.T, _ int, children map[int]string) {
			kill(t, pidOfPart(t, children, "control"), syscall.SIGKILL)
		}, "control died"},
		{"the simulated agents die", func(t *testing.T, _ int, children map[int]string) {
			kill(t, pidOfPart(t, children, "hollow"), syscall.SIGKILL)
		}, "hollow died"},
		{"a real agent dies", func(t *testing.T, _ int, children map[int]string) {
			kill(t, pidOfPart(t, children, ""), syscall.SIGKILL)
		}, "died in the run"},
		{"killed", func(t *testing.T, program int, _ map[int]string) { kill(t, program, syscall.SIGKILL) }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "run.json")
			cmd := program(t, runTiny(t, "--seconds", "60", "--json", file)...)
			var out bytes.Buffer
			cmd.Stdout = &out
			said, err := cmd.StderrPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			awaitLine(t, said, " plays ")
			children := childrenOf(cmd.Process.Pid)
			if len(children) < 4 {
				t.Errorf("only %v run", children)
			}
			c.end(t, cmd.Process.Pid, children)
			io.Copy(io.Discard, said) // until nobody holds it any more
			err = cmd.Wait()
			var exit *exec.ExitError
			if !errors.As(err, &exit) {
				t.Fatalf("the run ended with %v", err)
			}
			awaitGone(t, children)
			if c.want == "" {
				return
			}
			if exit.ExitCode() != exitFailed {
				t.Errorf("exit %d, want %d", exit.ExitCode(), exitFailed)
			}
			if r := read(t, file); !strings.Contains(r.Incomplete, c.want) || r.Sizes.Servers == 0 {
				t.Errorf("incomplete %q, want %q in it", r.Incomplete, c.want)
			}
			if !strings.Contains(out.String(), "scale: OVER") || !strings.Contains(out.String(), "incomplete") {
				t.Errorf("the text does not say that the run is incomplete:\n%s", &out)
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

// awaitLine reads until a line holds something.
func awaitLine(t *testing.T, r io.Reader, what string) {
	t.Helper()
	lines := bufio.NewScanner(r)
	var all []string
	for lines.Scan() {
		all = append(all, lines.Text())
		if strings.Contains(lines.Text(), what) {
			return
		}
	}
	t.Fatalf("no line with %q:\n%s", what, strings.Join(all, "\n"))
}

// childrenOf are a process's children, with the part that each is; a real agent is none.
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
			if name, is := strings.CutPrefix(v, "SCALE_ROLE="); is {
				all[pid] = name
			}
		}
	}
	return all
}

// pidOfPart is the process of a part.
func pidOfPart(t *testing.T, children map[int]string, name string) int {
	t.Helper()
	for pid, role := range children {
		if role == name {
			return pid
		}
	}
	t.Fatalf("no process is the part %q of %v", name, children)
	return 0
}

// awaitGone waits until none of some processes runs. Where the program itself was killed, the kernel ends them with it,
// which takes a moment; otherwise they have ended before it.
func awaitGone(t *testing.T, children map[int]string) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for pid, name := range children {
		for runs(pid) {
			if time.Now().After(deadline) {
				t.Errorf("process %d (%s) is left", pid, name)
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// runs says whether a process runs; one that has ended and that nobody has waited for does not.
func runs(pid int) bool {
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
		{"nothing", nil, exitUsage, "expected one of"},
		{"unknown command", []string{"fly"}, exitUsage, "fly"},
		{"unknown flag", []string{"run", tiny, "--colour", "red"}, exitUsage, "--colour"},
		{"no scenario", []string{"run"}, exitUsage, "<scenario>"},
		{"no file", []string{"run", "none.toml"}, exitUsage, "none.toml"},
		{"unknown key", []string{"check", bad}, exitUsage, "colour"},
		{"no number", []string{"run", tiny, "--agents", "many"}, exitUsage, "--agents"},
		{"too many servers", []string{"run", tiny, "--servers", "1000000"}, exitUsage, "fleet.servers"},
		{"no seconds", []string{"run", tiny, "--seconds", "0"}, exitUsage, "seconds"},
		{"more real agents than there are", []string{"run", tiny, "--agents", "3", "--real", "4"}, exitUsage, "fleet.real"},
		{"no such agent", []string{"run", tiny, "--agent-binary", bad}, exitUsage, "agent-binary"},
		{"no such folder", []string{"run", tiny, "--json", "none/run.json"}, exitUsage, "json"},
		{"no such folder for the log", []string{"--log", "none/log", "check", tiny}, exitUsage, "log"},
		{"no such level", []string{"--level", "loud", "check", tiny}, exitUsage, "level"},
		{"no such dimension", []string{"sweep", tiny, "--target", tiny, "--real", "0", "--only", "colour"}, exitUsage, "only"},
		{"sizes that are no numbers", []string{"sweep", tiny, "--target", tiny, "--sizes", "agents=a,b"}, exitUsage, "sizes"},
		{"too few sizes", []string{"sweep", tiny, "--target", tiny, "--real", "0", "--sizes", "agents=1,2,3"}, exitUsage, "sizes"},
		{"no target", []string{"sweep", tiny, "--target", "none.toml"}, exitUsage, "target"},
		{"no result to add", []string{"sweep", tiny, "--target", tiny, "--add", "a=none.json"}, exitUsage, "add"},
		{"help", []string{"--help"}, 0, ""},
		{"a good file", []string{"check", tiny}, 0, ""},
		{"flags that do not go together", []string{"run", tiny, "--servers", "3", "--services", "4"}, exitUsage, "fleet.services"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, said bytes.Buffer
			if code := runCommand(t.Context(), c.args, &out, &said); code != c.code || !strings.Contains(said.String(), c.want) {
				t.Errorf("exit %d, want %d; said %q, want %q in it", code, c.code, &said, c.want)
			}
		})
	}
}

// TestAdjustToFlags plays nothing: it checks the sizes that follow from some flags.
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
			var said bytes.Buffer
			s, err := c.flags.load(&console{errOut: &said})
			if err != nil {
				t.Fatal(err)
			}
			if s.Fleet.Services != c.services || s.Fleet.Depth != c.depth || len(s.Events) != c.events || strings.Count(said.String(), "\n") != c.notes {
				t.Errorf("%d services, depth %d, %d events; said %q", s.Fleet.Services, s.Fleet.Depth, len(s.Events), &said)
			}
		})
	}
}

// A shorter run of the target leaves out what comes after its end, the loss of a relay among it.
func TestAdjustRelaysToFlags(t *testing.T) {
	seconds := 10.0
	for _, c := range []struct {
		flags  scenarioFlags
		killAt float64
	}{{scenarioFlags{}, 90}, {scenarioFlags{Seconds: &seconds}, 0}} {
		c.flags.Scenario = "../../deploy/scale/target.toml"
		s, err := c.flags.load(&console{errOut: &bytes.Buffer{}})
		if err != nil || s.Relays.Count != 5 || s.Relays.KillAt != c.killAt {
			t.Errorf("%v, %+v", err, s)
		}
	}
}

// Metrics of single runs join a metrics file, in the place of those that it had under the same name.
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
		name, figures, run string
		code               int
		says               string
	}{
		{"joined", old, `{"budgets":[{"name":"agent_cpu","measured":0.25,"unit":"%"}]}`, 0, "3 figures, 1 runs added"},
		{"no figures file", "", `{}`, exitUsage, "file: "},
		{"a spoilt figures file", "[", `{}`, exitUsage, "file: "},
		{"a spoilt run", old, `{"budgets":`, exitUsage, "add: "},
	} {
		os.Remove(file)
		if c.figures != "" {
			write(file, c.figures)
		}
		write(run, c.run)
		var out, errOut strings.Builder
		if code := runCommand(t.Context(), []string{"figures", file, "--add", "a=" + run}, &out, &errOut); code != c.code || !strings.Contains(out.String()+errOut.String(), c.says) {
			t.Errorf("%s: exit %d, %s%s", c.name, code, &out, &errOut)
		}
		if c.code != 0 {
			continue
		}
		all, err := sweep.ReadMetrics(file)
		if _, gone := all["run.a.gone"]; err != nil || gone || all["run.a.budget.agent_cpu"].Value != 0.25 || all["run.ab.stays"].Value != 2 || all["agents.x.slope"].Value != 1.5 {
			t.Errorf("%s: %v, %v", c.name, all, err)
		}
	}
}
