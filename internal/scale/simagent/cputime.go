package simagent

import (
	"runtime/metrics"
	"syscall"
	"time"
	"unsafe"
)

// What control costs the agents is told apart from what the modelled calls cost like this: each shard runs on a thread of
// its own, whose processor time is the model's, but for what it spends on lists, configurations and the timers that ask
// for lists, which is measured around each of these. All else that the process spends is control's: the clients'
// goroutines, HTTP, the parsing of lists and configurations, the runtime. Not control's either is what the source of
// configuration and the platform do to make a text, which is measured around it.
//
// This leaves out of control: the new lines that an agent's module builds at the first request after a list changed,
// which are part of that request; and the agents' sockets towards clients and servers, which are not there. It leaves in
// what the model shares: the garbage collector's background work, which is told beside it and not split (the modelled calls
// make most of the garbage that starts it, but nearly all that it marks is the agents'), and the scheduler's waking of the
// shards, at most a thousand times a second each. So the figure is an upper one.

const (
	processCPUClock = 2 // Linux's CLOCK_PROCESS_CPUTIME_ID, which package syscall leaves out
	threadCPUClock  = 3 // and CLOCK_THREAD_CPUTIME_ID; getrusage tells a thread's time only as of the scheduler's last tick
)

// cpuTime reads one of Linux's clocks of processor time.
func cpuTime(clock uintptr) time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		panic("clock_gettime: " + errno.Error()) // Linux has had both since 2.6.12
	}
	return time.Duration(t.Nano())
}

// cpuMeter tells a thread's processor time in two: control's and the rest. It is the thread's own.
type cpuMeter struct {
	startedAt   time.Duration
	controlTime time.Duration
}

func (m *cpuMeter) start() { *m = cpuMeter{startedAt: cpuTime(threadCPUClock)} }

// modelTime is what the thread has spent since the start, less control's part.
func (m *cpuMeter) modelTime() time.Duration {
	return cpuTime(threadCPUClock) - m.startedAt - m.controlTime
}

// measureControl runs a part of control's work.
func (m *cpuMeter) measureControl(do func()) {
	begun := cpuTime(threadCPUClock)
	do()
	m.controlTime += cpuTime(threadCPUClock) - begun
}

// gcCPUSeconds is what the garbage collector has spent so far in all, in seconds, by the runtime's own estimate.
func gcCPUSeconds() float64 {
	s := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindFloat64 {
		return 0
	}
	return s[0].Value.Float64()
}
