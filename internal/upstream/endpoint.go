package upstream

import (
	"context"
	"time"
)

// Endpoint is one server process at an address, with the idle connections to it. Connections are not pooled by address,
// because another process may start at the same address and must not reuse them. The pool's mutex guards the fields.
type Endpoint struct {
	addr    string
	start   time.Duration
	idle    []*conn // the most recently used last
	retired bool    // connections are closed when they are returned

	draining context.Context // cancelled when the process starts to drain; no new request is sent after that
	drain    context.CancelFunc
}

// Is reports whether the endpoint is the process at addr with the given start time.
func (e *Endpoint) Is(addr string, start time.Duration) bool {
	return e.addr == addr && e.start == start
}

// Drain stops new requests to the endpoint, including those of attempts that are waiting for a connection.
func (e *Endpoint) Drain() { e.drain() }

// Draining reports whether Drain was called.
func (e *Endpoint) Draining() bool { return e.draining.Err() != nil }
