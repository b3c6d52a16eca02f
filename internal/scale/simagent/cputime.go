package simagent

import (
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// The agents' control plane CPU time is the CPU time of the process less that of the model and of the configuration
// source. Each shard runs on a separate thread. The thread's CPU time counts as the model's, except for handling
// endpoint lists, configurations and the timers that poll discovery, which is measured separately. Everything else
// counts as control plane: discovery clients, HTTP, parsing, the runtime.
//
// The control plane's CPU time does not include the candidate sets that a balancer rebuilds at the first request after
// a list change, nor sockets to clients and servers, which do not exist here. It includes the garbage collector's
// background work and the wake-ups of the shards, so it is an upper bound.

const (
	processCPUClock = 2 // Linux's CLOCK_PROCESS_CPUTIME_ID, which package syscall does not define
	threadCPUClock  = 3 // CLOCK_THREAD_CPUTIME_ID; getrusage reports a thread's time only up to the scheduler's last tick
)

// cpuTime reads one of Linux's CPU time clocks.
func cpuTime(clock uintptr) time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("clock_gettime: " + errno.Error()) // Linux has had both clocks since 2.6.12
	}
	return time.Duration(t.Nano())
}

// cpuMeter splits a thread's CPU time between the control plane and the model. Only that thread may use it.
type cpuMeter struct {
	startedAt   time.Duration
	controlTime time.Duration
}

func (m *cpuMeter) start() { *m = cpuMeter{startedAt: cpuTime(threadCPUClock)} }

// modelTime returns the thread's CPU time since start, without control plane work.
func (m *cpuMeter) modelTime() time.Duration {
	return cpuTime(threadCPUClock) - m.startedAt - m.controlTime
}

// measureControl runs do and counts its CPU time as control plane work.
func (m *cpuMeter) measureControl(do func()) {
	start := cpuTime(threadCPUClock)
	do()
	m.controlTime += cpuTime(threadCPUClock) - start
}

// cpuCounter sums CPU time that goroutines outside the shards spend on work other than the control plane's.
type cpuCounter struct{ spent atomic.Int64 }

// measure runs work and adds its CPU time.
func (o *cpuCounter) measure(work func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := cpuTime(threadCPUClock)
	work()
	o.spent.Add(int64(cpuTime(threadCPUClock) - start))
}

// gcCPUSeconds returns the total CPU time of the garbage collector as estimated by the runtime, or 0 if it is unknown.
func gcCPUSeconds() float64 {
	s := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return s[0].Value.Float64()
}
