package handover

import (
	"runtime/debug"

	"example.org/ryeloft/internal/config"
)

// quota is how many connections of one kind a process may hold. Each place in it belongs to one process at a time: a process
// gives it up before it notifies the other, so that together they never hold more than the total.
type quota struct {
	total    int // of a process that is alone
	entitled int // each of the present number of processes
	limit    int // of this one, now
	excess   int // places to drop before any is released, because all processes together hold so many too many
}

// takeAll gives the total to a process that is alone.
func (q *quota) takeAll() {
	q.entitled = q.total
	q.limit = q.total
	q.excess = 0
}

// join starts the quota of a process that joins one that holds the total.
func (q *quota) join(entitled int) {
	q.entitled = entitled
	q.limit = min(minQuota, entitled)
	q.excess = 0
}

// split notes that another process joins this one.
func (q *quota) split(entitled, processes int) {
	q.excess += min(minQuota, entitled) + max(0, q.entitled*(processes-1)-entitled*processes)
	q.entitled = entitled
}

// release gives up the places that this process does not need, and returns how many another process may add.
func (q *quota) release(needed int) (places int) {
	unused := max(0, q.limit-needed)
	q.limit -= unused
	dropped := min(unused, q.excess)
	q.excess -= dropped
	return unused - dropped
}

// add takes places that another process has released.
func (q *quota) add(places int) { q.limit = min(q.limit+max(0, places), q.total) }

// ClientConns are the connections of clients, which a Quotas limits.
type ClientConns interface {
	// Resize changes how many connections there may be, and how many where all have a request.
	Resize(maxConns, maxActive int)
	// UpdateLimits sets these to what decide returns, in one step with the look at how many connections are open and
	// whether more are accepted.
	UpdateLimits(decide func(open int, accepting bool) (maxConns, maxActive int))
	// Released returns a channel that receives a value after a connection has ended.
	Released() <-chan struct{}
}

// ServerConns are the connections to servers, which a Quotas limits.
type ServerConns interface {
	// Resize changes how many connections there may be, and closes idle ones that are too many.
	Resize(maxConns int)
	// UpdateLimit sets that to what decide returns, in one step with the look at how many connections are open.
	UpdateLimit(decide func(open int) (maxConns int))
}

// Quotas are a process's quotas, in force at its connections and its collector. It has no mutex: the Handover, if there is
// one, calls one method at a time.
type Quotas struct {
	cfg         *config.Config
	clientConns ClientConns
	serverConns ServerConns
	processes   int
	clients     quota
	servers     quota
}

// NewQuotas puts the limits of a process that is alone in force.
func NewQuotas(cfg *config.Config, clients ClientConns, servers ServerConns) *Quotas {
	alone := LimitsFor(cfg, 1)
	q := &Quotas{
		cfg: cfg, clientConns: clients, serverConns: servers,
		clients: quota{total: alone.ActiveClientConns}, servers: quota{total: alone.ServerConns},
	}
	q.peerEnded(1)
	return q
}

// join notes that this process joins others.
func (q *Quotas) join(processes int) {
	l := q.limitMemory(processes)
	q.clients.join(l.ActiveClientConns)
	q.servers.join(l.ServerConns)
	q.enforce()
}

// split notes that another process joins this one.
func (q *Quotas) split(processes int) {
	l := q.limitMemory(processes)
	q.clients.split(l.ActiveClientConns, processes)
	q.servers.split(l.ServerConns, processes)
}

// peerEnded notes that a process has ended and how many are left. What it held is known only if this one is alone, which
// then takes the total.
func (q *Quotas) peerEnded(processes int) {
	l := q.limitMemory(processes)
	q.clients.entitled = l.ActiveClientConns
	q.servers.entitled = l.ServerConns
	if processes == 1 {
		q.clients.takeAll()
		q.servers.takeAll()
	}
	q.enforce()
}

// limitMemory puts the memory's limit of one of so many processes in force, and returns all limits.
func (q *Quotas) limitMemory(processes int) Limits {
	q.processes = processes
	l := LimitsFor(q.cfg, processes)
	debug.SetMemoryLimit(l.HeapBytes)
	return l
}

// add takes places that another process has released.
func (q *Quotas) add(clients, servers int) {
	q.clients.add(clients)
	q.servers.add(servers)
	q.enforce()
}

// addEntitled takes what this process is entitled to from a process that releases nothing.
func (q *Quotas) addEntitled() {
	q.add(q.clients.entitled-q.clients.limit, q.servers.entitled-q.servers.limit)
}

// enforce puts limits that have grown, or of which nothing is used yet, in force.
func (q *Quotas) enforce() {
	q.clientConns.Resize(q.clientLimits())
	q.serverConns.Resize(q.servers.limit)
}

func (q *Quotas) clientLimits() (maxConns, maxActive int) {
	l := LimitsFor(q.cfg, 1).withActiveClientConns(q.clients.limit)
	return l.ClientConns, l.ActiveClientConns
}

// release gives up places for a newer process. Of the connections to servers these are the ones beyond what this process is
// entitled to that are not in use; of the clients' likewise once the newer process accepts clients, and all that are not in
// use once this process accepts none. The count of open connections and the new limit are one step.
func (q *Quotas) release(peerAccepts bool) (clients, servers int) {
	if peerAccepts {
		q.clientConns.UpdateLimits(func(open int, accepting bool) (maxConns, maxActive int) {
			needed := open
			if accepting {
				needed = max(q.clients.entitled, open+minQuota)
			}
			clients = q.clients.release(needed)
			return q.clientLimits()
		})
	}
	q.serverConns.Resize(min(q.servers.limit, q.servers.entitled))
	q.serverConns.UpdateLimit(func(open int) (maxConns int) {
		servers = q.servers.release(max(q.servers.entitled, open))
		return q.servers.limit
	})
	return clients, servers
}
