package handover

import (
	"example.org/ryeloft/internal/config"
)

const (
	// extraClientConns are for clients other than the application.
	extraClientConns = 8
	// minQuota is what a newer process starts with, of either kind of connections, and what a process that accepts clients
	// keeps free for them if it can.
	minQuota = extraClientConns
	// streamShare is the part of the memory that streams may hold.
	streamShare = 16
	// heapShare of the memory is the collector's; the rest is for what that does not count, such as stacks of the kernel
	// and the text of the program.
	heapShare = 0.7
)

// Limits are what one of several processes of an agent is entitled to of what the platform grants them together.
type Limits struct {
	ServerConns int
	// ClientConns is from how many connections on an idle one closes for each further one.
	ClientConns int
	// ActiveClientConns is how many connections there may be where all have a request.
	ActiveClientConns int
	StreamBytes       int64 // it stays as it was at the start
	HeapBytes         int64
}

// LimitsFor shares out a configuration's limits. The application holds a third of the descriptors at most for its requests,
// whichever process they are at. Were more granted, connections that it has used once and keeps would leave it none for
// the next request.
func LimitsFor(cfg *config.Config, processes int) Limits {
	memory := int64(cfg.MemoryMB) << 20 / int64(processes)
	l := Limits{
		ServerConns:       max(1, (cfg.Sockets/processes-config.ReservedSockets)/2),
		ClientConns:       min((cfg.Sockets-config.ReservedSockets)/2, cfg.Sockets*3/10),
		ActiveClientConns: min((cfg.Sockets-config.ReservedSockets)/2, cfg.Sockets/3+extraClientConns),
		StreamBytes:       memory / streamShare,
		HeapBytes:         int64(heapShare * float64(memory)),
	}
	if processes > 1 {
		left := cfg.Sockets - processes*(config.ReservedSockets+l.ServerConns)
		l = l.withActiveClientConns(max(minQuota, min(l.ActiveClientConns, left)/processes))
	}
	return l
}

// withActiveClientConns returns the limits with another number of active connections, and as large a part of it for the
// idle ones.
func (l Limits) withActiveClientConns(active int) Limits {
	l.ClientConns = l.ClientConns * active / l.ActiveClientConns
	l.ActiveClientConns = active
	return l
}
