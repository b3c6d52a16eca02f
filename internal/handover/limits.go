package handover

import (
	"example.org/ryeloft/internal/config"
)

const (
	// extraClientConns is the number of connections for clients other than the application.
	extraClientConns = 8
	// minQuota is the number of slots that a newer process starts with, for clients and for servers each. A process
	// that accepts clients also keeps this many client slots free if it can.
	minQuota = extraClientConns
	// otherAttemptsDivisor is the number of attempts beyond one for each client connection, as a fraction (1/4) of these.
	otherAttemptsDivisor = 4
	// streamMemoryDivisor limits the buffers of streams to this fraction (1/32) of the memory.
	streamMemoryDivisor = 32
	// bufferedFraction is the fraction of the memory for client connections and for heads, bodies and responses that are
	// buffered. The rest is for all else and for the garbage collector's headroom.
	bufferedFraction = 0.375
	// minBufferedDivisor is the least memory for what is buffered, as a fraction (1/16) of the memory.
	minBufferedDivisor = 16
	// heapFraction is the garbage collector's fraction of the memory. The rest is for memory that it does not count,
	// such as kernel stacks and the program text.
	heapFraction = 0.7
	// uncountedProcessBytes is the memory of a second process that the garbage collector does not count.
	uncountedProcessBytes = 3 << 19
	// fixedMemoryShare is the fraction of the memory that several processes divide equally. The rest they divide like the
	// client connections.
	fixedMemoryShare = 0.4
	// heapStepDivisor is the smallest change of the garbage collector's limit, as a fraction (1/32) of it.
	heapStepDivisor = 32
)

// Limits is one process's share of the limits that the platform sets for all processes of an agent.
type Limits struct {
	ServerConns int
	// ClientConns is the number of client connections at which each new connection closes an idle one.
	ClientConns int
	// ActiveClientConns is the limit of client connections when all of them have a request in progress.
	ActiveClientConns int
	StreamBytes       int64 // not changed after the start of the process
	BufferedBytes     int64
	HeapBytes         int64
}

// MaxRequests returns how many requests may be open. More are rejected; without the connections on which that happens,
// their clients would be closed on without a response.
func (l Limits) MaxRequests() int { return maxRequests(l.ActiveClientConns) }

// maxRequests returns how many of the given number of client connections may have a request.
func maxRequests(clientConns int) int { return max(clientConns/2, clientConns-extraClientConns) }

// maxAttempts returns how many attempts there may be with the given number of client connections. Beyond one for each, they
// are second attempts, and those of requests whose clients have left.
func maxAttempts(clientConns int) int { return clientConns + clientConns/otherAttemptsDivisor }

// LimitsFor returns the limits of each process when the configuration's limits are divided among the given number of
// processes. The application uses at most a third of the descriptors for its requests, whichever process they are sent
// to. If it were granted more, connections that it has used once and keeps open would leave none for its next request.
func LimitsFor(cfg *config.Config, processes int) Limits {
	alone := limitsAlone(cfg)
	if processes == 1 {
		return alone
	}
	l := alone
	l.ServerConns = serverConnsOfEach(cfg, processes)
	l.StreamBytes /= int64(processes)
	l.BufferedBytes /= int64(processes)
	l.HeapBytes /= int64(processes)
	left := cfg.Sockets - processes*(config.ReservedSockets+l.ServerConns)
	allowed := connsInMemory(cfg, processes, alone.ServerConns, min(alone.ActiveClientConns, left))
	return l.withActiveClientConns(max(minQuota, allowed/processes))
}

// limitsAlone returns the limits of a process that is alone.
func limitsAlone(cfg *config.Config) Limits {
	memory := int64(cfg.MemoryMB) << 20
	half := (cfg.Sockets - config.ReservedSockets) / 2
	l := Limits{
		ServerConns:       serverConnsOfEach(cfg, 1),
		ClientConns:       min(half, cfg.Sockets*3/10),
		ActiveClientConns: min(half, cfg.Sockets/3+extraClientConns),
		StreamBytes:       memory / streamMemoryDivisor,
		HeapBytes:         int64(heapFraction * float64(memory)),
	}
	l = l.withActiveClientConns(connsInMemory(cfg, 1, l.ServerConns, l.ActiveClientConns))
	l.BufferedBytes = bufferedInMemory(cfg, l.ActiveClientConns, l.ServerConns)
	return l
}

// serverConnsOfEach returns the limit of connections to servers of each of the given number of processes.
func serverConnsOfEach(cfg *config.Config, processes int) int {
	return max(1, (cfg.Sockets/processes-config.ReservedSockets)/2)
}

// withMemoryShare returns the limits of a process that is alone with its share of the memory beside other processes.
// Connections take most of the memory, so each process has a fixed part, and the rest goes with the client connections.
func (l Limits) withMemoryShare(clientConns, totalClientConns, processes int) Limits {
	if processes == 1 {
		return l
	}
	share := fixedMemoryShare / float64(processes)
	share += (1 - fixedMemoryShare) * float64(clientConns) / float64(totalClientConns)
	l.HeapBytes = int64(share * float64(l.HeapBytes-int64(processes-1)*uncountedProcessBytes))
	l.BufferedBytes = int64(share * float64(l.BufferedBytes))
	return l
}

// withActiveClientConns returns the limits with ActiveClientConns set to active and ClientConns scaled in proportion.
func (l Limits) withActiveClientConns(active int) Limits {
	l.ClientConns = l.ClientConns * active / l.ActiveClientConns
	l.ActiveClientConns = active
	return l
}
