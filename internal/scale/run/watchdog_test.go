package run

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"example.org/ryeloft/internal/scale/scenario"
)

func TestMemoryCountsChildren(t *testing.T) {
	alone := processTreeMemory(os.Getpid())
	if alone < 1<<20 {
		t.Fatalf("this process holds %d bytes", alone)
	}
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	child := residentBytes(cmd.Process.Pid)
	if with := processTreeMemory(os.Getpid()); child == 0 || with < child {
		t.Errorf("a child holds %d bytes, all of them %d", child, with)
	}
	if own := processTreeMemory(cmd.Process.Pid); own > 64<<20 {
		t.Errorf("a process without children counts %d bytes", own)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if got := residentBytes(cmd.Process.Pid); got != 0 {
		t.Errorf("a process that has ended holds %d bytes", got)
	}
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name         string
		real, relays int
		want         string
	}{
		{"as many as may be", 200, 47, ""},
		{"too many processes", 200, 48, "fleet.real"},
		{"more than there are", 301, 0, "fleet.real"},
	} {
		s := &scenario.Scenario{}
		s.Fleet.Servers, s.Fleet.Real, s.Relays.Count = 300, c.real, c.relays
		err := Check(s)
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), c.want+":") {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}
