// Package world draws the fleet of a scenario from its seed: services, servers, zones, the call graph, and what each
// agent is told. The same scenario draws the same world in every process.
package world

import (
	"time"

	"example.org/ryeloft/internal/scale/scenario"
)

// Service is one of the fleet's services. Its name is its servers' kind in lists and settings.
//
// Those of layer 0 are the front, where calls begin and which nobody calls: a root is one call of an agent beside a
// front server, to one of the service's Calls, whose chances make 1. Services of layer d call those of layer d+1 only,
// so that a call to layer d is d deep.
type Service struct {
	Name    string
	Class   int           // position among the scenario's classes
	Layer   int           // how deep below the root it stands, from 1; 0: the front, and the echo service
	Servers []int         // positions among the world's servers
	Calls   []Call        // what one request of it calls, in turn; of the front: what a root may call
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
	Start   time.Duration // Unix time of its process; 0 means long ago. Steps tell of later ones
}

// Agent is one agent, beside a server.
type Agent struct {
	Name               string
	Server             int     // its position
	RootCallsPerSecond float64 // calls a second that begin here; above 0 for the front's agents that are modelled
	Real               bool
}

// World is what a scenario draws. It is not changed but by AddEcho.
type World struct {
	Scenario *scenario.Scenario
	Zones    []string
	Services []Service // by layer; the last one is the echo service where there are echo servers
	Servers  []Server  // one of each service first, by layer, then the others, then the echo servers
	Agents   []Agent
	Deepest  int // the service that the event fail hits: the largest one of the deepest layer

	callingAgent []int // by server: the agent by which its requests call on; below 0: none
}
