package balancer

import "time"

// ServerID identifies a server. It stays the same when the server's process restarts.
type ServerID uint32

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID    ServerID
	Zone  int
	Kind  int
	Cell  int
	State EndpointState
	// Weight is the server's relative capacity; not above 0 it is not known.
	Weight float64
	// Start is when the server's process started; 0 is long ago.
	Start time.Duration
}

// LoadReport is what a server reports of its own load. A field that is negative or NaN is absent, and all of them are
// unless Known.
type LoadReport struct {
	Known bool
	// InFlight counts the requests that the server holds, Queue those of them that wait.
	InFlight float64
	Queue    float64
	// ServiceTime is the time that recent requests took, without waiting.
	ServiceTime time.Duration
}
