package procstat

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"testing"
	"time"
)

func TestMemoryCountsChildren(t *testing.T) {
	alone := TreeResidentBytes(os.Getpid())
	if alone < 1<<20 {
		t.Fatalf("this process: got %d resident bytes, want at least 1 MiB", alone)
	}
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	child, err := ResidentBytes(cmd.Process.Pid)
	if err != nil {
		t.Error(err)
	}
	if with := TreeResidentBytes(os.Getpid()); child == 0 || with < child {
		t.Errorf("got %d resident bytes of the child, %d with its parent, want above 0 and at least as many with its parent", child, with)
	}
	if own := TreeResidentBytes(cmd.Process.Pid); own > 64<<20 {
		t.Errorf("process without children: got %d resident bytes, want at most 64 MiB", own)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if got, err := ResidentBytes(cmd.Process.Pid); got != 0 || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("ended process: got %d resident bytes, error %v, want 0 and fs.ErrNotExist", got, err)
	}
	if got := TreeResidentBytes(cmd.Process.Pid); got != 0 {
		t.Errorf("ended process with its children: got %d resident bytes, want 0", got)
	}
}

func TestOwnCPU(t *testing.T) {
	before, err := OwnCPU()
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		now, err := OwnCPU()
		if err != nil {
			t.Fatal(err)
		}
		if now > before {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %v of CPU time after ten busy seconds, want more than %v", now, before)
		}
	}
}
