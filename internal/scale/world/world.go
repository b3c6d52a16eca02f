// Package world generates the fleet of a scenario from its seed: services, servers, zones, the call graph, the
// configurations of the agents and the steps of the events. The same scenario gives the same world in every process. A
// World is immutable after Generate and AddEcho and may then be read by several goroutines. The package starts no
// goroutines or processes.
//
// The same scenario also gives the same world on each kind of machine: a product that is added to something is converted
// to float64 explicitly, since some processors would fuse the two operations and round once instead of twice.
package world

import (
	"time"

	"example.org/ryeloft/internal/scale/scenario"
)

// Service is one service of the fleet. Its name is the kind of its servers in lists and settings.
//
// The services of layer 0 are the front services: calls begin there, and no service calls them. A root call is made by
// an agent colocated with a front server, to one of the front service's Calls, whose chances add up to 1. Services of
// layer d call only services of layer d+1, so a call to layer d has depth d.
type Service struct {
	Name    string
	Class   int           // position in Scenario.Classes
	Layer   int           // depth of the calls to it, from 1; 0: the front services and the echo service
	Servers []int         // positions in World.Servers
	Calls   []Call        // calls that a request may make, in this order; for a front service, the root calls
	Work    time.Duration // mean processing time of a request at speed 1
}

// Call is one edge of the call graph.
type Call struct {
	Service int     // position in World.Services
	Chance  float64 // probability that a request makes the call
}

// Server is one server of the fleet. It is simulated, unless it is an echo server, which is a real socket.
type Server struct {
	ID      string
	Addr    string // host and port; only echo servers listen on theirs
	Service int    // position in World.Services
	Region  int
	Zone    int           // position in World.Zones
	Rack    int           // number within its zone
	Speed   float64       // also its weight in lists
	Slots   int           // requests that it processes concurrently
	Start   time.Duration // Unix time of the first process start; 0: long before the run; see Steps for later starts
}

// Agent is one agent. It is colocated with a server.
type Agent struct {
	Name               string
	Server             int     // position in World.Servers
	RootCallsPerSecond float64 // positive only for simulated agents of front services
	Real               bool    // runs the agent's program; otherwise it is simulated
}

// World is the fleet of a scenario.
type World struct {
	Scenario *scenario.Scenario
	Zones    []string
	Services []Service // by layer; the echo service, if any, is last
	Servers  []Server  // first one server of each service, by layer, then the others, then the echo servers
	Agents   []Agent
	Deepest  int // position of the service that the event "fail" affects: the largest one of the deepest layer

	callingAgent []int // by server; negative: none
}
