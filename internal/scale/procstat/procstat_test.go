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
		t.Fatalf("this process holds %d bytes", alone)
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
		t.Errorf("a child holds %d bytes, all of them %d", child, with)
	}
	if own := TreeResidentBytes(cmd.Process.Pid); own > 64<<20 {
		t.Errorf("a process without children counts %d bytes", own)
	}
	cmd.Process.Kill()
	cmd.Wait()
	if got, err := ResidentBytes(cmd.Process.Pid); got != 0 || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a process that has ended holds %d bytes, error %v", got, err)
	}
	if got := TreeResidentBytes(cmd.Process.Pid); got != 0 {
		t.Errorf("a process that has ended holds %d bytes with its children", got)
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
			t.Fatalf("%v of processor time at first, %v after ten busy seconds", before, now)
		}
	}
}
