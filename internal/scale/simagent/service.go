package simagent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/world"
)

// ServiceName is the net/rpc service name of the simulated agents' process.
const ServiceName = "Hollow"

// The RPC method names for role.Child.Call.
const (
	MethodStart     = ServiceName + ".Start"
	MethodStep      = ServiceName + ".Step"
	MethodConfigure = ServiceName + ".Config"
	MethodBegin     = ServiceName + ".Begin"
	MethodStats     = ServiceName + ".Stats"
)

// The RPC messages follow. gob encodes them by field name.

// StartArgs are the arguments of Start. The world is generated from the scenario, as in every other process of the run.
type StartArgs struct {
	Scenario        scenario.Scenario
	Echo            []string // addresses of the echo servers
	Agents          []int    // the simulated agents, as indexes into the world's agents
	Discovery       []string // host and port, indexed by agent of the world
	Relays          [][]string
	Begin           int64  // Unix ns before which no root call begins; 0: as soon as the agent has the list
	CachedEndpoints []byte // the list that the agents start with, in discovery's format; nil: none
}

// StartReply is the reply of Start. Ready is the number of agents that have the endpoint list.
type StartReply struct{ Ready int }

// StepArgs are the arguments of Step: one step of the world's events.
type StepArgs struct{ Step world.Step }

// GobEncode encodes the step as JSON, because gob omits pointers to false, which a step uses to end a failure or
// partition.
func (a StepArgs) GobEncode() ([]byte, error) { return json.Marshal(a.Step) }

// GobDecode decodes the output of GobEncode.
func (a *StepArgs) GobDecode(text []byte) error { return json.Unmarshal(text, &a.Step) }

// ConfigArgs are the arguments of Config: a revision of the configuration and the time that the source needs per agent.
type ConfigArgs struct {
	Revision int
	PushMS   float64
}

// StatsArgs are the arguments of Stats.
type StatsArgs struct{}

var (
	// errNotStarted is returned by all methods but Start before a Start that succeeds.
	errNotStarted = errors.New("simulated agents are not started")
	// errAlreadyStarted is returned by Start after a Start that succeeded.
	errAlreadyStarted = errors.New("simulated agents are already started")
)

// Service serves a Fleet by RPC to the process that started this one. The zero value is ready for Start; all other
// methods fail before Start. mu guards fleet.
type Service struct {
	mu    sync.Mutex
	fleet *Fleet
}

// Main is the main function of the simulated agents' process. It serves a Service until standard input ends.
func Main() error {
	s := new(Service)
	err := role.Serve(ServiceName, s)
	if f, startErr := s.startedFleet(); startErr == nil {
		err = errors.Join(err, f.Close())
	}
	return err
}

func (s *Service) startedFleet() (*Fleet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet == nil {
		return nil, errNotStarted
	}
	return s.fleet, nil
}

// Start starts the agents and returns when all have the endpoint list, or after a minute. It fails if the agents
// are already started.
func (s *Service) Start(args StartArgs, reply *StartReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet != nil {
		return errAlreadyStarted
	}
	w, err := world.Generate(&args.Scenario)
	if err != nil {
		return err
	}
	if len(args.Echo) > 0 {
		w.AddEcho(args.Echo)
	}
	s.fleet, err = Start(context.Background(), Options{
		World: w, Agents: args.Agents, Discovery: args.Discovery, Relays: args.Relays, RootCallsFrom: args.Begin,
		CachedEndpoints: args.CachedEndpoints,
	})
	if err != nil {
		return err
	}
	*reply = StartReply{Ready: s.fleet.countReady()}
	return nil
}

// Step applies one step. It returns when the agents that it restarts are up, without waiting until they have the
// endpoint list.
func (s *Service) Step(args StepArgs, _ *struct{}) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	return f.Step(args.Step)
}

// Config queues the rollout of a revision to each agent in turn. It does not wait for the rollout.
func (s *Service) Config(args ConfigArgs, _ *struct{}) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	f.Configure(args.Revision, time.Duration(args.PushMS*float64(time.Millisecond)))
	return nil
}

// Begin begins the measurement period and resets all counts.
func (s *Service) Begin(_ struct{}, _ *struct{}) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	f.Begin()
	return nil
}

// Stats returns the measurements since Begin.
func (s *Service) Stats(_ StatsArgs, reply *StatsReply) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	*reply = f.Stats()
	return nil
}
