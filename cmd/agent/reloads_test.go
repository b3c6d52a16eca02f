package main

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// steppedClock is the wall clock of one process.
type steppedClock struct{ file *os.File }

// clockStepper builds the library by which processes get wall clocks of their own.
func clockStepper(t *testing.T) (library string) {
	t.Helper()
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		t.Skip("the wall clock is stepped on Linux on amd64 only")
	}
	library = filepath.Join(t.TempDir(), "clockstep.so")
	out, err := exec.CommandContext(t.Context(), "gcc", "-O2", "-fno-stack-protector", "-shared", "-fPIC", "-o", library, "testdata/clockstep.c").CombinedOutput()
	if err != nil {
		t.Fatalf("building the clock's library: %v: %s", err, out)
	}
	return library
}

// withClock gives a program that is not yet started a wall clock of its own.
func withClock(t *testing.T, cmd *exec.Cmd, library string) steppedClock {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "step"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	c := steppedClock{file}
	c.set(t, 0)
	cmd.Env = append(cmd.Env, "LD_PRELOAD="+library, "CLOCKSTEP_FILE="+file.Name())
	return c
}

// set has the wall clock differ from the machine's by so much from now on.
func (c steppedClock) set(t *testing.T, by time.Duration) {
	var text [8]byte
	binary.NativeEndian.PutUint64(text[:], uint64(by))
	if _, err := c.file.WriteAt(text[:], 0); err != nil {
		t.Error(err)
	}
}

// Nothing is sent to a server later than its grace after its drain counts as notified, whatever happens to the wall clocks of
// the agents and to their calls for the list: several new configurations in quick succession, each of which moves a slow
// discovery, as in incident-8131.
func TestNothingSentToDrained(t *testing.T) {
	for name, c := range map[string]struct {
		reloads, steps bool
		cost           time.Duration
	}{
		"reloads":                    {true, false, 450 * time.Millisecond},
		"stepped clocks":             {false, true, 450 * time.Millisecond},
		"reloads and stepped clocks": {true, true, 450 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			library := ""
			if c.steps {
				library = clockStepper(t)
			}
			f := startFollowing(t, fleetOptions{limiter: &queuedCalls{cost: c.cost}, addresses: 5, library: library})
			f.sendRequests(t)
			time.Sleep(3 * time.Second)
			var changes sync.WaitGroup
			for i, a := range f.agents {
				if c.steps {
					changes.Go(func() {
						for _, step := range []time.Duration{20 * time.Second, -time.Hour, time.Hour, -400 * time.Second} {
							a.clock.set(t, step+time.Duration(i)*time.Second)
							time.Sleep(900 * time.Millisecond)
						}
					})
				}
				if c.reloads {
					changes.Go(func() {
						time.Sleep(time.Duration(i) * 400 * time.Millisecond)
						for n, after := range []time.Duration{0, 300 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
							time.Sleep(after)
							a.reload(t, n+1)
						}
					})
				}
			}
			time.Sleep(1300 * time.Millisecond)
			notified := f.drain(t)
			changes.Wait()
			time.Sleep(time.Until(notified) + 4*time.Second)
			f.expectNoneAfter(t, notified)
			for _, a := range f.agents {
				a.end(t)
				log := a.log.about(`msg="configuration reloaded"`, `msg="endpoint list updated"`, "discovery poll failed", "wall clock", "agent failed")
				if t.Failed() {
					t.Logf("agent %d:\n%s", a.rank, log)
				}
				if c.steps && !strings.Contains(log, `msg="wall clock stepped"`) {
					t.Errorf("the wall clock of agent %d was not stepped", a.rank)
				}
			}
		})
	}
}
