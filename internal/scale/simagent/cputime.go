package simagent

import (
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Processor time that control costs the agents is what remains of the process's time without the model's and the
// configuration source's. Each shard has a thread of its own, whose time is the model's but for the handling of endpoint
// lists, configurations and the timers that poll discovery, which is measured around each of these. All else is control's:
// the discovery clients, HTTP, parsing, the runtime.
//
// Control's figure leaves out the candidate sets that a balancer rebuilds at the first request after a list change, and
// sockets towards clients and servers, which do not exist here. It includes the garbage collector's background work and
// the wake-ups of the shards, so it is an upper figure.

const (
	processCPUClock = 2 // Linux's CLOCK_PROCESS_CPUTIME_ID, which package syscall leaves out
	threadCPUClock  = 3 // CLOCK_THREAD_CPUTIME_ID; getrusage gives a thread's time only as of the scheduler's last tick
)

// cpuTime reads one of Linux's clocks of processor time.
func cpuTime(clock uintptr) time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("clock_gettime: " + errno.Error()) // Linux has had both clocks since 2.6.12
	}
	return time.Duration(t.Nano())
}

// cpuMeter splits a thread's processor time between control and the model. Only that thread may use it.
type cpuMeter struct {
	startedAt   time.Duration
	controlTime time.Duration
}

func (m *cpuMeter) start() { *m = cpuMeter{startedAt: cpuTime(threadCPUClock)} }

// modelTime is what the thread has spent since the start on anything but control.
func (m *cpuMeter) modelTime() time.Duration {
	return cpuTime(threadCPUClock) - m.startedAt - m.controlTime
}

// measureControl runs do and accounts its time to control.
func (m *cpuMeter) measureControl(do func()) {
	begun := cpuTime(threadCPUClock)
	do()
	m.controlTime += cpuTime(threadCPUClock) - begun
}

// cpuCounter counts processor time that other goroutines than the shards' spend on anything but control.
type cpuCounter struct{ spent atomic.Int64 }

// measure runs work and counts its processor time.
func (o *cpuCounter) measure(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	begun := cpuTime(threadCPUClock)
	work()
	o.spent.Add(int64(cpuTime(threadCPUClock) - begun))
}

// gcCPUSeconds is what the garbage collector has spent so far, by the runtime's own estimate.
func gcCPUSeconds() float64 {
	s := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return s[0].Value.Float64()
}
