// Package world draws the fleet of a scenario from its seed: services, servers, zones, the call graph, the configurations
// of the agents and the steps of the events. The same scenario draws the same world in every process. A World is immutable
// after Generate and AddEcho, and may be read by several goroutines; the package runs nothing.
package world

import (
	"time"

	"example.org/ryeloft/internal/scale/scenario"
)

// Service is one of the fleet's services. Its name is its servers' kind in lists and settings.
//
// Services of layer 0 are the front, where calls begin and which nobody calls: a root call is one of an agent beside a
// front server, to one of the service's Calls, whose chances add up to 1. Services of layer d call those of layer d+1
// only, so that a call to layer d is d deep.
type Service struct {
	Name    string
	Class   int           // position among the scenario's classes
	Layer   int           // how deep below the root it stands, from 1; 0: the front, and the echo service
	Servers []int         // positions among the world's servers
	Calls   []Call        // what one request of it calls, in turn; for the front: what a root call may call
	Work    time.Duration // mean, at speed 1
}

// Call is one edge of the call graph.
type Call struct {
	Service int
	Chance  float64 // that a request makes it
}

// Server is one counter server, with its agent beside it.
type Server struct {
	ID      string
	Addr    string // host and port; nobody listens there unless it is an echo server
	Service int
	Region  int
	Zone    int     // in all
	Rack    int     // in its zone
	Speed   float64 // as its size in lists
	Slots   int
	Start   time.Duration // Unix time of its process; 0: long ago. Steps start later ones
}

// Agent is one agent, beside a server.
type Agent struct {
	Name               string
	Server             int     // its position
	RootCallsPerSecond float64 // above 0 for the simulated agents of the front
	Real               bool
}

// World is what a scenario draws.
type World struct {
	Scenario *scenario.Scenario
	Zones    []string
	Services []Service // by layer; the last one is the echo service where there are echo servers
	Servers  []Server  // one of each service first, by layer, then the others, then the echo servers
	Agents   []Agent
	Deepest  int // the service that the event fail hits: the largest one of the deepest layer

	callingAgent []int // by server; below 0: none
}
