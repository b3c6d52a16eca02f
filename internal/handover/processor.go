package handover

import (
	"net"
	"syscall"
)

// Processor shares the processor between the processes of an agent.
type Processor interface {
	// SetOtherProcesses sets the ids of the other processes.
	SetOtherProcesses(pids []int)
}

// shareProcessor shares the processor with the processes that there are now. The caller holds the mutex.
func (h *Handover) shareProcessor() {
	var pids []int
	for _, p := range h.peers {
		if p.pid > 0 {
			pids = append(pids, p.pid)
		}
	}
	h.processor.SetOtherProcesses(pids)
}

// pidOf returns the id of the process at the other end of a Unix connection, or 0 if the kernel does not tell.
func pidOf(conn net.Conn) (pid int) {
	raw, err := conn.(*net.UnixConn).SyscallConn()
	if err != nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) {
		if credentials, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED); err == nil {
			pid = int(credentials.Pid)
		}
	}); err != nil {
		return 0
	}
	return pid
}
