package metrics

import (
	"log/slog"
	"time"
)

// Hop is a part of a request's way through the agent, on which it may have to wait.
type Hop int

// Hops, in the order of a request's way.
const (
	HopUnread    Hop = iota // from the arrival of its last bytes until it is read, as far as the kernel tells
	HopQueued               // from there until the event loop handles it
	HopSent                 // from the start of an attempt until it is written to a server
	HopReturned             // from the end of the response until the handler has it
	HopAnswered             // from there until it is written to the client
	HopProcessor            // how long work beyond the share of a connection waited for the processor
	hopCount
)

// HopTook keeps the slowest of a hop for the log.
func (m *Metrics) HopTook(h Hop, d time.Duration) {
	m.count(func(i *intervalCounters) { i.slowestHops[h] = max(i.slowestHops[h], d) })
}

// logHops logs the slowest of each hop.
func (i *intervalCounters) logHops(log *slog.Logger) {
	log.Info("slowest hops", "unread", i.slowestHops[HopUnread], "queued", i.slowestHops[HopQueued], "sent", i.slowestHops[HopSent],
		"returned", i.slowestHops[HopReturned], "answered", i.slowestHops[HopAnswered], "for_processor", i.slowestHops[HopProcessor])
}
