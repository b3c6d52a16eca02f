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

// steppedClock controls the wall clock of one process through the file that clockstep.c maps into it.
type steppedClock struct{ file *os.File }

// buildClockLibrary builds testdata/clockstep.c, the library that gives a process its own wall clock.
func buildClockLibrary(t *testing.T) (library string) {
	t.Helper()
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		t.Skip("stepping the wall clock needs Linux on amd64")
	}
	library = filepath.Join(t.TempDir(), "clockstep.so")
	out, err := exec.CommandContext(t.Context(), "gcc", "-O2", "-fno-stack-protector", "-shared", "-fPIC", "-o", library, "testdata/clockstep.c").CombinedOutput()
	if err != nil {
		t.Fatalf("building the clock library: %v: %s", err, out)
	}
	return library
}

// attachClock gives a command its own wall clock. The command must not have been started.
func attachClock(t *testing.T, cmd *exec.Cmd, library string) steppedClock {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "step"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	c := steppedClock{file}
	c.setOffset(t, 0)
	cmd.Env = append(cmd.Env, "LD_PRELOAD="+library, "CLOCKSTEP_FILE="+file.Name())
	return c
}

// setOffset sets the offset of the process's wall clock from the machine's.
func (c steppedClock) setOffset(t *testing.T, offset time.Duration) {
	var encoded [8]byte
	binary.NativeEndian.PutUint64(encoded[:], uint64(offset))
	if _, err := c.file.WriteAt(encoded[:], 0); err != nil {
		t.Error(err)
	}
}

// No request may be sent to a server later than drainGrace after its drain counts as notified, whatever steps the
// agents' wall clocks make, and even if several reloads in quick succession each move a slow discovery service to
// another address, as in incident-8131.
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
				library = buildClockLibrary(t)
			}
			f := startFleet(t, fleetOptions{limiter: &serialLimiter{cost: c.cost}, addresses: 5, library: library})
			f.sendRequests(t)
			time.Sleep(3 * time.Second)
			var changes sync.WaitGroup
			for i, a := range f.agents {
				if c.steps {
					changes.Go(func() {
						for _, step := range []time.Duration{20 * time.Second, -time.Hour, time.Hour, -400 * time.Second} {
							a.clock.setOffset(t, step+time.Duration(i)*time.Second)
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
			f.expectNoRequestsAfterDrain(t, notified)
			for _, a := range f.agents {
				a.terminate(t)
				log := a.log.linesWith(`msg="configuration reloaded"`, `msg="endpoint list updated"`, "discovery poll failed", "wall clock", "agent failed")
				if t.Failed() {
					t.Logf("agent %d:\n%s", a.rank, log)
				}
				if c.steps && !strings.Contains(log, `msg="wall clock stepped"`) {
					t.Errorf("agent %d: got no log line about a stepped wall clock", a.rank)
				}
			}
		})
	}
}
