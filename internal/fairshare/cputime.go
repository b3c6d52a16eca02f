package fairshare

import (
	"syscall"
	"time"
	"unsafe"
)

const (
	// clockProcessCPU is CLOCK_PROCESS_CPUTIME_ID, which package syscall does not define.
	clockProcessCPU = 2
	// clockOfPIDShift and clockOfPIDKind make up the id of the same clock of another process, as clock_getcpuclockid(3) does.
	clockOfPIDShift = 3
	clockOfPIDKind  = 2
)

var processStart = time.Now()

// processorTime returns the processor time that the process has used. If the kernel does not tell, it is the time that has
// passed.
func processorTime() time.Duration {
	used, err := readClock(clockProcessCPU)
	if err != nil {
		return time.Since(processStart)
	}
	return used
}

// processorTimeOf returns the processor time that another process has used. It fails once that process has ended.
func processorTimeOf(pid int) (time.Duration, error) {
	return readClock(^int32(pid)<<clockOfPIDShift | clockOfPIDKind)
}

// readClock returns the time of a clock of the kernel.
func readClock(clock int32) (time.Duration, error) {
	var used syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, uintptr(clock), uintptr(unsafe.Pointer(&used)), 0); errno != 0 {
		return 0, errno
	}
	return time.Duration(used.Nano()), nil
}
