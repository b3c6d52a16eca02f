package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/relay"
	"example.org/ryeloft/internal/scale/meter"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
)

// RelayMain is the process of the role "relay": it serves RelayService by the name of Relay until its input ends.
func RelayMain() error { return role.Serve("Relay", new(RelayService)) }

// RelayArgs say what one relay follows, and where it answers.
type RelayArgs struct {
	Name      string
	Discovery string   // the address of its own at control
	State     string   // its directory; one that starts again has the list in it
	Addrs     []string // to listen at, by agent
	Lists     float64  // whole lists a second that it hands out
}

// Acknowledgement says that an agent's call held a revision, for the first time at this relay.
type Acknowledgement struct {
	Revision uint64
	At       int64 // Unix time, nanoseconds
}

// RelayStats is what a relay measured since Begin, or since Start before it.
type RelayStats struct {
	Machine result.ControlMachine
	In, Out [][]int64           // bytes by agent and second
	Heard   [][]Acknowledgement // by agent, revisions rising
}

// RelayService holds the role's methods. Its zero value is ready for Start; all others fail before it.
type RelayService struct {
	mu            sync.Mutex
	name          string
	relay         *relay.Relay
	http          *http.Server
	meter         *meter.Meter
	ports         []*port
	usageAtStart  usage // of the process, when the measured part began
	countsAtStart relay.Metrics
	cpuLoad       cpuLoad

	acknowledgedMu sync.Mutex
	acknowledged   [][]Acknowledgement
}

// relayCallsPerAgent are the calls that a relay of a run holds at a time, for each agent that can call it.
const relayCallsPerAgent = 4

var errRelayNotStarted = errors.New("the relay has not been started")

// Start makes the relay, which reads the list that it had, and listens for all agents.
func (s *RelayService) Start(args RelayArgs, reply *StartReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relay != nil {
		return errAlreadyStarted
	}
	now, err := currentUsage()
	if err != nil {
		return err
	}
	r, err := relay.New(relay.Options{
		Name: args.Name, Discovery: args.Discovery, State: args.State, FullListsPerSecond: args.Lists, MaxCallers: relayCallsPerAgent * len(args.Addrs),
		Log: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})), OnAcknowledge: s.acknowledge,
	})
	if err != nil {
		return err
	}
	s.acknowledged = make([][]Acknowledgement, len(args.Addrs))
	s.meter, s.http = meter.New(len(args.Addrs), now.at), r.HTTP()
	for agent, addr := range args.Addrs {
		p := newPort(agent, addr)
		l, err := p.listen()
		if err != nil {
			s.http.Close()
			return err
		}
		s.ports = append(s.ports, p)
		go s.http.Serve(r.Listener(s.meter.Listener(l, agent), agent)) // until its port closes
	}
	s.name, s.usageAtStart, s.relay = args.Name, now, r
	s.cpuLoad.reset(now)
	go r.Run(context.Background()) // until the process ends
	go s.cpuLoad.run()
	reply.Ready = len(s.ports)
	return nil
}

// acknowledge notes when an agent first says that it holds a revision.
func (s *RelayService) acknowledge(agent int, revision uint64, at time.Time) {
	s.acknowledgedMu.Lock()
	defer s.acknowledgedMu.Unlock()
	marks := s.acknowledged[agent]
	if n := len(marks); n == 0 || marks[n-1].Revision < revision {
		s.acknowledged[agent] = append(marks, Acknowledgement{revision, at.UnixNano()})
	}
}

// lockStarted locks the service if it has been started.
func (s *RelayService) lockStarted() error {
	s.mu.Lock()
	if s.relay == nil {
		s.mu.Unlock()
		return errRelayNotStarted
	}
	return nil
}

// Cut makes agents' connections silent, new ones too, or ends that: silent ones are then reset.
func (s *RelayService) Cut(args PartitionArgs, _ *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	return setPartitioned(s.ports, args)
}

// Begin starts all counts from 0. What agents hold by then is known.
func (s *RelayService) Begin(struct{}, *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	now, err := currentUsage()
	if err != nil {
		return err
	}
	s.usageAtStart, s.countsAtStart = now, s.relay.Metrics()
	s.meter.Begin()
	s.cpuLoad.reset(now)
	return nil
}

// Stats sums up what was measured. A relay's cost is real processor time: no cost of it is stated.
func (s *RelayService) Stats(_ struct{}, reply *RelayStats) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	now, err := currentUsage()
	if err != nil {
		return err
	}
	reply.In, reply.Out = s.meter.Bins()
	s.acknowledgedMu.Lock()
	for _, marks := range s.acknowledged {
		reply.Heard = append(reply.Heard, slices.Clone(marks))
	}
	s.acknowledgedMu.Unlock()
	m, f := &reply.Machine, s.relay.Metrics()
	m.Role, m.Name = "relay", s.name
	m.Calls, m.WholeLists, m.Refused = f.Calls-s.countsAtStart.Calls, f.FullLists-s.countsAtStart.FullLists, f.Rejected-s.countsAtStart.Rejected
	m.BytesIn, m.BytesOut = sumBins(reply.In), sumBins(reply.Out)
	now.fill(m, s.usageAtStart)
	m.Busy = m.CPUPercent / 100
	m.Worst6s = s.cpuLoad.worst6s()
	return nil
}
