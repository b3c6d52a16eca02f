package fairshare

import (
	"syscall"
	"time"
	"unsafe"
)

// clockProcessCPU is CLOCK_PROCESS_CPUTIME_ID, which package syscall does not define.
const clockProcessCPU = 2

var processStart = time.Now()

// processorTime returns the processor time that the process has used. If the kernel does not tell, it is the time that has
// passed.
func processorTime() time.Duration {
	var used syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockProcessCPU, uintptr(unsafe.Pointer(&used)), 0); errno != 0 {
		return time.Since(processStart)
	}
	return time.Duration(used.Nano())
}
