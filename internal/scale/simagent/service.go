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

// ServiceName is the name by which the part's methods are called.
const ServiceName = "Hollow"

// The part's methods, as role.Child calls them.
const (
	MethodStart     = ServiceName + ".Start"
	MethodStep      = ServiceName + ".Step"
	MethodConfigure = ServiceName + ".Config"
	MethodBegin     = ServiceName + ".Begin"
	MethodStats     = ServiceName + ".Stats"
)

// The messages of the part follow. gob sends them by the names of their fields.

// StartArgs say what the part runs. The world is drawn from the scenario, as in every other part.
type StartArgs struct {
	Scenario        scenario.Scenario
	Echo            []string // addresses of the echo servers
	Agents          []int    // positions in the world of the simulated agents
	Discovery       []string // host and port, by agent of the world
	Relays          [][]string
	Begin           int64  // Unix ns before which no root call begins; 0: as soon as its agent has the list
	CachedEndpoints []byte // the list that the agents start with, in discovery's form; nil: none
}

// StartReply says how many agents hold the list.
type StartReply struct{ Ready int }

// StepArgs hold one step of the world's events.
type StepArgs struct{ Step world.Step }

// GobEncode writes a step as JSON, as gob would leave out pointers to false, by which a step ends a failure or partition.
func (a StepArgs) GobEncode() ([]byte, error) { return json.Marshal(a.Step) }

// GobDecode reads what GobEncode wrote.
func (a *StepArgs) GobDecode(text []byte) error { return json.Unmarshal(text, &a.Step) }

// ConfigArgs hold one revision of the configuration and how long handing it to one agent takes the source.
type ConfigArgs struct {
	Revision int
	PushMS   float64
}

// StatsArgs ask for what was measured.
type StatsArgs struct{}

var (
	errNotStarted     = errors.New("simulated agents have not been started")
	errAlreadyStarted = errors.New("simulated agents have been started already")
)

// Service offers a Fleet to the process that started this one. Its zero value is ready for Start; all other methods fail
// before that. mu guards fleet.
type Service struct {
	mu    sync.Mutex
	fleet *Fleet
}

// Main is the part's program: it serves a Service until its input ends.
func Main() error {
	s := new(Service)
	err := role.Serve(ServiceName, s)
	if f, notStarted := s.startedFleet(); notStarted == nil {
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

// Start starts the agents, once, and returns when they hold the list, or after a minute.
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

// Step plays one step. It returns when the agents that it restarts are up, not when they hold the list.
func (s *Service) Step(args StepArgs, _ *struct{}) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	return f.Step(args.Step)
}

// Config has a revision handed to each agent in turn, and does not wait for that.
func (s *Service) Config(args ConfigArgs, _ *struct{}) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	f.Configure(args.Revision, time.Duration(args.PushMS*float64(time.Millisecond)))
	return nil
}

// Begin begins the measured part: all counts start from 0.
func (s *Service) Begin(_ struct{}, _ *struct{}) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	f.Begin()
	return nil
}

// Stats reports what was measured since Begin.
func (s *Service) Stats(_ StatsArgs, reply *StatsReply) error {
	f, err := s.startedFleet()
	if err != nil {
		return err
	}
	*reply = f.Stats()
	return nil
}
