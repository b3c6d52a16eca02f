package agent

import (
	"runtime/debug"

	"example.org/grebefork/internal/config"
)

const (
	// spareClients are for those who connect beside the application.
	spareClients = 8
	// streamShare is the part of the memory that streams may hold.
	streamShare = 16
	// collectorShare of the memory is the collector's; the rest is for what it does not count, stacks of the kernel's
	// and the program's own text among it.
	collectorShare = 0.7
)

// limits are what one of so many processes of an agent may hold of what the platform grants them together.
type limits struct {
	backends  int   // connections
	clients   int   // connections, of which one without a request goes for each further one,
	busy      int   // and so many where all have a request
	streams   int64 // bytes that they hold; it stays as it was at the start
	collector int64 // bytes
}

// limitsOf shares out a configuration's limits. Clients are not shared out: the application holds a third of the
// descriptors at most for its requests, whichever process they are at. Were there room for more, those that it has used
// once and keeps would leave it none for the next request.
func limitsOf(cfg *config.Config, processes int) limits {
	memory := int64(cfg.MemoryMB) << 20 / int64(processes)
	return limits{
		backends:  max(1, (cfg.Sockets/processes-config.ReservedSockets)/2),
		clients:   min((cfg.Sockets-config.ReservedSockets)/2, cfg.Sockets*3/10),
		busy:      min((cfg.Sockets-config.ReservedSockets)/2, cfg.Sockets/3+spareClients),
		streams:   memory / streamShare,
		collector: int64(collectorShare * float64(memory)),
	}
}

// share puts the limits of one of so many processes in force.
func (p *pool) share(cfg *config.Config, processes int) {
	l := limitsOf(cfg, processes)
	debug.SetMemoryLimit(l.collector)
	p.resize(l.backends)
}
