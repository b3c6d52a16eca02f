package agent

import (
	"runtime/debug"

	"example.org/ryeloft/internal/config"
)

const (
	// spareClients are for those who connect beside the application.
	spareClients = 8
	// leastRoom is what a process begins with beside another, of either kind of connections, and what one that accepts
	// keeps free of the clients' if it can.
	leastRoom = spareClients
	// streamShare is the part of the memory that streams may hold.
	streamShare = 16
	// collectorShare of the memory is the collector's; the rest is for what it does not count, stacks of the kernel's
	// and the program's own text among it.
	collectorShare = 0.7
)

// limits are what one of so many processes of an agent is owed of what the platform grants them together.
type limits struct {
	backends  int   // connections
	clients   int   // connections, of which one without a request goes for each further one,
	busy      int   // and so many where all have a request
	streams   int64 // bytes that they hold; it stays as it was at the start
	collector int64 // bytes
}

// limitsOf shares out a configuration's limits. The application holds a third of the descriptors at most for its requests,
// whichever process they are at. Were there room for more, those that it has used once and keeps would leave it none for
// the next request.
func limitsOf(cfg *config.Config, processes int) limits {
	memory := int64(cfg.MemoryMB) << 20 / int64(processes)
	l := limits{
		backends:  max(1, (cfg.Sockets/processes-config.ReservedSockets)/2),
		clients:   min((cfg.Sockets-config.ReservedSockets)/2, cfg.Sockets*3/10),
		busy:      min((cfg.Sockets-config.ReservedSockets)/2, cfg.Sockets/3+spareClients),
		streams:   memory / streamShare,
		collector: int64(collectorShare * float64(memory)),
	}
	if processes > 1 {
		left := cfg.Sockets - processes*(config.ReservedSockets+l.backends)
		l = l.withBusy(max(leastRoom, min(l.busy, left)/processes))
	}
	return l
}

// withBusy are the limits with room for so many clients that all have a request, and as large a part of it for the others.
func (l limits) withBusy(busy int) limits {
	l.clients, l.busy = l.clients*busy/l.busy, busy
	return l
}

// room is how many connections of one kind a process may hold. A place in it is one process's at any time: who passes it on
// has it no more before the other hears of it, so whatever the order all together never hold more than there are.
type room struct {
	whole  int // of a process that is alone
	owed   int // to each of the present number of processes
	bound  int // this one's now
	excess int // places that are to go before any is passed on: all processes together have so many too many
}

// alone takes all there is.
func (r *room) alone() { r.owed, r.bound, r.excess = r.whole, r.whole, 0 }

// joins begins beside a process that holds all there is.
func (r *room) joins(owed int) { r.owed, r.bound, r.excess = owed, min(leastRoom, owed), 0 }

// follows makes one of so many processes of this one, beside which another begins.
func (r *room) follows(owed, processes int) {
	r.excess += min(leastRoom, owed) + max(0, r.owed*(processes-1)-owed*processes)
	r.owed = owed
}

// spare takes out what this process does not need, to be passed on.
func (r *room) spare(needs int) (places int) {
	places = max(0, r.bound-needs)
	r.bound -= places
	gone := min(places, r.excess)
	r.excess -= gone
	return places - gone
}

// take puts in what another process has passed on.
func (r *room) take(places int) { r.bound = min(r.bound+max(0, places), r.whole) }

// rooms are a process's rooms, in force in its admission and its pool. The link, if there is one, calls one at a time.
type rooms struct {
	cfg              *config.Config
	admission        *admission
	pool             *Pool
	processes        int
	clients, servers room
}

// newRooms puts the limits of a process that is alone in force.
func newRooms(cfg *config.Config, a *admission, p *Pool) *rooms {
	one := limitsOf(cfg, 1)
	r := &rooms{cfg: cfg, admission: a, pool: p, clients: room{whole: one.busy}, servers: room{whole: one.backends}}
	r.ends(1)
	return r
}

// joins has this process begin beside others.
func (r *rooms) joins(processes int) {
	l := r.of(processes)
	r.clients.joins(l.busy)
	r.servers.joins(l.backends)
	r.enforce()
}

// follows has another process begin beside this one.
func (r *rooms) follows(processes int) {
	l := r.of(processes)
	r.clients.follows(l.busy, processes)
	r.servers.follows(l.backends, processes)
}

// ends has one end, and so many be left. What it held is only known if none but this one is left; then it is this one's.
func (r *rooms) ends(processes int) {
	l := r.of(processes)
	r.clients.owed, r.servers.owed = l.busy, l.backends
	if processes == 1 {
		r.clients.alone()
		r.servers.alone()
	}
	r.enforce()
}

// of puts the memory's limit of one of so many processes in force, and returns all of them.
func (r *rooms) of(processes int) limits {
	r.processes = processes
	l := limitsOf(r.cfg, processes)
	debug.SetMemoryLimit(l.collector)
	return l
}

// take puts in what another process has passed on.
func (r *rooms) take(clients, servers int) {
	r.clients.take(clients)
	r.servers.take(servers)
	r.enforce()
}

// takeOwed puts in what is owed, beside a process that passes nothing on.
func (r *rooms) takeOwed() {
	r.take(r.clients.owed-r.clients.bound, r.servers.owed-r.servers.bound)
}

// enforce puts bounds that have grown, or of which nothing is used yet, in force.
func (r *rooms) enforce() {
	r.admission.resize(r.inForce())
	r.pool.Resize(r.servers.bound)
}

func (r *rooms) inForce() limits { return limitsOf(r.cfg, 1).withBusy(r.clients.bound) }

// spare takes out what is passed to a process that has begun: of the servers' what is not in use over what is owed to this
// one, of the clients' likewise once the other takes them, and all that is free once this one takes none. Each is one step
// with the look at what is in use.
func (r *rooms) spare(takesClients bool) (clients, servers int) {
	if a := r.admission; takesClients {
		a.mu.Lock()
		needs := a.open
		if !a.shut {
			needs = max(r.clients.owed, a.open+leastRoom)
		}
		clients = r.clients.spare(needs)
		a.limit(r.inForce())
		a.mu.Unlock()
	}
	r.pool.Resize(min(r.servers.bound, r.servers.owed)) // idle ones go
	r.pool.UpdateLimit(func(open int) (maxConns int) {
		servers = r.servers.spare(max(r.servers.owed, open))
		return r.servers.bound
	})
	return clients, servers
}
