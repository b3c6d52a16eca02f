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
	"example.org/ryeloft/internal/scale/role"
)

// RelayServiceName is the name by which the part's methods are called.
const RelayServiceName = "Relay"

// The methods of RelayService, as role.Child calls them.
const (
	RelayMethodStart     = RelayServiceName + ".Start"
	RelayMethodPartition = RelayServiceName + ".Cut"
	RelayMethodBegin     = RelayServiceName + ".Begin"
	RelayMethodStats     = RelayServiceName + ".Stats"
)

// RelayMain is the program of the part "relay": it serves a RelayService until its input ends.
func RelayMain() error { return role.Serve(RelayServiceName, new(RelayService)) }

// RelayService holds the methods of the part. Its zero value is ready for Start; all other methods fail before that.
type RelayService struct {
	mu            sync.Mutex // one method at a time
	name          string
	relay         *relay.Relay
	http          *http.Server
	ports         *agentPorts
	usageAtStart  usage // when the measured part began
	countsAtStart relay.Metrics
	cpuLoad       cpuLoad

	acknowledgedMu sync.Mutex // guards what calls of agents add
	acknowledged   [][]Acknowledgement
}

// relayCallsPerAgent bounds the calls that a relay of a run holds at a time, for each agent that can call it.
const relayCallsPerAgent = 4

var errRelayNotStarted = errors.New("the relay has not been started")

// Start makes the relay, which reads the list that it had, and listens for all agents. The relay's goroutines end with
// the process.
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
		Name: args.Name, Discovery: args.Discovery, State: args.State, FullListsPerSecond: args.Lists,
		MaxCallers:    relayCallsPerAgent * len(args.Addrs),
		Log:           slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})),
		OnAcknowledge: s.acknowledge,
	})
	if err != nil {
		return err
	}
	s.acknowledged = make([][]Acknowledgement, len(args.Addrs))
	s.ports = newAgentPorts(args.Addrs, now.at)
	s.http = r.HTTP()
	if err := s.ports.serve(s.http, r.Listener); err != nil {
		return errors.Join(err, s.http.Close())
	}
	s.name = args.Name
	s.usageAtStart = now
	s.relay = r
	s.cpuLoad.reset(now)
	go r.Run(context.Background())
	go s.cpuLoad.run()
	reply.Ready = len(args.Addrs)
	return nil
}

// acknowledge records when an agent first acknowledges a revision.
func (s *RelayService) acknowledge(agent int, revision uint64, at time.Time) {
	s.acknowledgedMu.Lock()
	defer s.acknowledgedMu.Unlock()
	earlier := s.acknowledged[agent]
	if n := len(earlier); n == 0 || earlier[n-1].Revision < revision {
		s.acknowledged[agent] = append(earlier, Acknowledgement{revision, at.UnixNano()})
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

// Cut partitions agents from the relay: their connections fall silent, new ones too. When that ends, these are reset.
func (s *RelayService) Cut(args PartitionArgs, _ *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	return s.ports.setPartitioned(args.Agents, args.Cut)
}

// Begin starts all counts from 0. Acknowledgements from before stay.
func (s *RelayService) Begin(struct{}, *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	now, err := currentUsage()
	if err != nil {
		return err
	}
	s.usageAtStart = now
	s.countsAtStart = s.relay.Metrics()
	s.ports.meter.Begin()
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
	s.acknowledgedMu.Lock()
	for _, ofAgent := range s.acknowledged {
		reply.Heard = append(reply.Heard, slices.Clone(ofAgent))
	}
	s.acknowledgedMu.Unlock()
	m := &reply.Machine
	m.Role = "relay"
	m.Name = s.name
	reply.In, reply.Out = s.ports.bytes(m)
	counts := s.relay.Metrics()
	m.Calls = counts.Calls - s.countsAtStart.Calls
	m.WholeLists = counts.FullLists - s.countsAtStart.FullLists
	m.Refused = counts.Rejected - s.countsAtStart.Rejected
	now.fill(m, s.usageAtStart)
	m.Busy = m.CPUPercent / 100
	m.Worst6s = s.cpuLoad.worst6s()
	return nil
}
