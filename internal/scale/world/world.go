// Package world draws the fleet of a scenario from its seed: services, servers, zones, the call graph, and what each
// agent is told. The same scenario draws the same world in every process.
package world

import (
	"time"

	"example.org/grebefork/internal/scale/scenario"
)

// Service is one of the fleet's services. Its name is its servers' kind in lists and settings.
type Service struct {
	Name    string
	Class   int           // position among the scenario's classes
	Layer   int           // from 1: how deep below the root it stands
	Servers []int         // positions among the world's servers
	Calls   []Call        // what one request of it calls, in turn
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
	Zone    int // in all
	Rack    int // in its zone
	Speed   float64
	Slots   int
	Start   time.Duration // Unix time of its process; 0 means long ago
}

// Agent is one agent, beside a server.
type Agent struct {
	Name   string
	Server int     // its position
	Roots  float64 // calls a second that begin here
	Real   bool
}

// World is what a scenario draws.
type World struct {
	Scenario *scenario.Scenario
	Zones    []string
	Services []Service // the last one is the echo service where there are echo servers
	Servers  []Server
	Agents   []Agent
	Deepest  int // the service that the event fail hits
}
