package handover

import (
	"runtime/debug"

	"example.org/ryeloft/internal/config"
)

// quota limits the connections of one kind of a process. Each slot belongs to one process at a time: a process gives it
// up before it notifies the other, so that together they never have more connections than the total.
type quota struct {
	total  int // limit of a process that is alone
	share  int // share of each of the current processes
	limit  int // current limit of this process
	excess int // slots to drop before any is released: the processes' limits together are too high by this many
}

// takeAll sets the quota of a process that is alone to the total.
func (q *quota) takeAll() {
	q.share = q.total
	q.limit = q.total
	q.excess = 0
}

// join sets the initial quota of a process that joins one that has the total.
func (q *quota) join(share int) {
	q.share = share
	q.limit = min(minQuota, share)
	q.excess = 0
}

// split adjusts the quota when another process joins this one. share is the new share of each process.
func (q *quota) split(share, processes int) {
	q.excess += min(minQuota, share) + max(0, q.share*(processes-1)-share*processes)
	q.share = share
}

// release gives up the slots that this process does not need, and returns how many another process may add.
func (q *quota) release(needed int) (slots int) {
	unused := max(0, q.limit-needed)
	q.limit -= unused
	dropped := min(unused, q.excess)
	q.excess -= dropped
	return unused - dropped
}

// add adds slots that another process has released, up to the total.
func (q *quota) add(slots int) { q.limit = min(q.limit+max(0, slots), q.total) }

// ClientConns limits the connections of clients.
type ClientConns interface {
	// Resize changes the limits: idle connections are closed for new ones from maxConns on, and there are at most
	// maxActive connections when all of them have a request.
	Resize(maxConns, maxActive int)
	// UpdateLimits sets the same limits to the results of decide, which receives the number of open connections and
	// whether more are accepted. Neither changes in between.
	UpdateLimits(decide func(open int, accepting bool) (maxConns, maxActive int))
	// Released returns a channel that receives a value after a connection has ended.
	Released() <-chan struct{}
}

// ServerConns limits the connections to servers.
type ServerConns interface {
	// Resize changes the limit and closes idle connections above it.
	Resize(maxConns int)
	// UpdateLimit sets the limit to the result of decide, which receives the number of open connections. The number
	// does not change in between.
	UpdateLimit(decide func(open int) (maxConns int))
}

// BufferedMemory limits the bodies and responses that are buffered.
type BufferedMemory interface {
	SetLimit(bytes int64)
}

// Attempts limits the attempts at servers.
type Attempts interface {
	SetAttemptLimit(attempts int)
}

// Quotas applies a process's quotas to its connections and its memory limits. It has no mutex: the Handover, if there is
// one, calls its methods under its own.
type Quotas struct {
	cfg         *config.Config
	clientConns ClientConns
	serverConns ServerConns
	buffered    BufferedMemory
	attempts    Attempts
	processes   int
	clients     quota
	servers     quota
	heapBytes   int64 // the limit of the garbage collector
}

// NewQuotas returns the quotas of a process that is alone, and applies them.
func NewQuotas(cfg *config.Config, clients ClientConns, servers ServerConns, buffered BufferedMemory, attempts Attempts) *Quotas {
	alone := LimitsFor(cfg, 1)
	q := &Quotas{
		cfg: cfg, clientConns: clients, serverConns: servers, buffered: buffered, attempts: attempts,
		clients: quota{total: alone.ActiveClientConns}, servers: quota{total: alone.ServerConns},
	}
	q.peerEnded(1)
	return q
}

// join applies the initial quotas of a process that joins others.
func (q *Quotas) join(processes int) {
	l := q.limitsFor(processes)
	q.clients.join(l.ActiveClientConns)
	q.servers.join(l.ServerConns)
	q.enforce()
}

// split adjusts the quotas when another process joins this one.
func (q *Quotas) split(processes int) {
	l := q.limitsFor(processes)
	q.clients.split(l.ActiveClientConns, processes)
	q.servers.split(l.ServerConns, processes)
	q.limitMemory()
}

// peerEnded adjusts the quotas when a process has ended and the given number is left. The slots of the ended process
// are known only if this process is alone, which then takes the total.
func (q *Quotas) peerEnded(processes int) {
	l := q.limitsFor(processes)
	q.clients.share = l.ActiveClientConns
	q.servers.share = l.ServerConns
	if processes == 1 {
		q.clients.takeAll()
		q.servers.takeAll()
	}
	q.enforce()
}

// limitsFor records the number of processes, and returns the limits of each.
func (q *Quotas) limitsFor(processes int) Limits {
	q.processes = processes
	return LimitsFor(q.cfg, processes)
}

// limitMemory applies the limits of attempts and of memory that go with this process's client connections. Setting the limit of the garbage
// collector interrupts all goroutines, so small changes are left out.
func (q *Quotas) limitMemory() {
	// Fewer attempts than for its share would not fit those whose clients have just left a process that is leaving.
	q.attempts.SetAttemptLimit(maxAttempts(max(q.clients.limit, q.clients.share)))
	l := LimitsFor(q.cfg, 1).withMemoryShare(q.clients.limit, q.clients.total, q.processes)
	change := l.HeapBytes - q.heapBytes
	if max(change, -change) < q.heapBytes/heapStepDivisor {
		return
	}
	q.heapBytes = l.HeapBytes
	debug.SetMemoryLimit(l.HeapBytes)
	q.buffered.SetLimit(l.BufferedBytes)
}

// add adds slots that another process has released.
func (q *Quotas) add(clients, servers int) {
	q.clients.add(clients)
	q.servers.add(servers)
	q.enforce()
}

// addShare raises the quotas to this process's share when the other process does not release slots.
func (q *Quotas) addShare() {
	q.add(q.clients.share-q.clients.limit, q.servers.share-q.servers.limit)
}

// enforce applies the limits. It is only for limits that have grown or of which nothing is used yet.
func (q *Quotas) enforce() {
	q.limitMemory()
	q.clientConns.Resize(q.clientLimits())
	q.serverConns.Resize(q.servers.limit)
}

func (q *Quotas) clientLimits() (maxConns, maxActive int) {
	l := LimitsFor(q.cfg, 1).withActiveClientConns(q.clients.limit)
	return l.ClientConns, l.ActiveClientConns
}

// release gives up slots for a newer process and returns how many. Client slots are released once the newer process accepts
// clients: first those above the share that are neither in use nor kept free for new clients, and, once this process
// accepts no more clients, all that are not in use. The number of open connections and the new limit are one atomic step.
// Server slots are released as neededServers says, unless they are in use.
func (q *Quotas) release(peerAccepts bool) (clients, servers int) {
	neededServers := 0
	q.clientConns.UpdateLimits(func(open int, accepting bool) (maxConns, maxActive int) {
		if peerAccepts {
			needed := open
			if accepting {
				needed = max(q.clients.share, open+minQuota)
			}
			clients = q.clients.release(needed)
		}
		neededServers = q.neededServers(open, accepting)
		return q.clientLimits()
	})
	if peerAccepts {
		q.limitMemory()
	}
	q.serverConns.Resize(min(q.servers.limit, neededServers))
	q.serverConns.UpdateLimit(func(open int) (maxConns int) {
		servers = q.servers.release(max(neededServers, open))
		return q.servers.limit
	})
	return clients, servers
}

// neededServers returns how many server slots this process keeps: one for the request of each open client connection and
// some for second attempts, and its share while it accepts clients. The excess is dropped first.
func (q *Quotas) neededServers(openClients int, accepting bool) int {
	needed := openClients + minQuota
	if accepting {
		needed = max(needed, q.servers.share)
	}
	return min(needed, max(q.servers.share, q.servers.limit-q.servers.excess))
}
