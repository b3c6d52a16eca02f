package upstream

import (
	"context"
	"time"
)

// Endpoint is one process of a server at an address, with the idle connections to it. Connections are not kept by address,
// because another process may start at the same address and must not share them. The pool's mutex guards it.
type Endpoint struct {
	addr    string
	start   time.Duration
	idle    []*conn // the most recently used last
	retired bool    // no connection is put back

	draining context.Context // ends when the process begins to drain: nothing new is sent from then on
	drain    context.CancelFunc
}

// Is says whether the endpoint is the process that started then at an address.
func (e *Endpoint) Is(addr string, start time.Duration) bool {
	return e.addr == addr && e.start == start
}

// Drain has nothing new sent to the endpoint, also by an attempt that waits for its connection.
func (e *Endpoint) Drain() { e.drain() }

// Draining says whether Drain was called.
func (e *Endpoint) Draining() bool { return e.draining.Err() != nil }
