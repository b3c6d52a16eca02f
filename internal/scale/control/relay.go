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

// RelayServiceName is the net/rpc name of RelayService.
const RelayServiceName = "Relay"

// These are the methods of RelayService by the names that role.Child.Call takes.
const (
	RelayMethodStart     = RelayServiceName + ".Start"
	RelayMethodPartition = RelayServiceName + ".Partition"
	RelayMethodBegin     = RelayServiceName + ".Begin"
	RelayMethodStats     = RelayServiceName + ".Stats"
)

// RelayMain runs a process with the role "relay": it serves a RelayService until standard input ends.
func RelayMain() error { return role.Serve(RelayServiceName, new(RelayService)) }

// RelayService runs one relay. Its zero value is ready for Start; all other methods fail before Start.
type RelayService struct {
	machine
	name           string
	relay          *relay.Relay
	http           *http.Server
	metricsAtStart relay.Metrics
	cpuLoad        cpuLoad

	acknowledgedMu sync.Mutex          // guards acknowledged, to which agents' calls append
	acknowledged   [][]Acknowledgement // by agent
}

// relayCallsPerAgent, times the number of agents that can call a relay, bounds its concurrent calls.
const relayCallsPerAgent = 4

// Start creates the relay, which loads the list that it stored before a restart, and opens a listener for each agent.
// The relay's goroutines run until the process ends.
func (s *RelayService) Start(args RelayArgs, reply *StartReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		return errAlreadyStarted
	}
	now, err := currentUsage()
	if err != nil {
		return err
	}
	r, err := relay.New(relay.Options{
		Name: args.Name, Discovery: args.Discovery, State: args.State, FullListsPerSecond: args.FullListsPerSecond,
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
	s.started = true
	s.cpuLoad.reset(now)
	go r.Run(context.Background())
	go s.cpuLoad.run()
	reply.Ready = len(args.Addrs)
	return nil
}

// acknowledge records the time at which an agent first acknowledges a revision.
func (s *RelayService) acknowledge(agent int, revision uint64, at time.Time) {
	s.acknowledgedMu.Lock()
	defer s.acknowledgedMu.Unlock()
	earlier := s.acknowledged[agent]
	if n := len(earlier); n == 0 || earlier[n-1].Revision < revision {
		s.acknowledged[agent] = append(earlier, Acknowledgement{revision, at.UnixNano()})
	}
}

// Begin resets all counts to 0. It keeps earlier acknowledgements.
func (s *RelayService) Begin(struct{}, *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	now, err := s.beginMeasurement()
	if err != nil {
		return err
	}
	s.metricsAtStart = s.relay.Metrics()
	s.cpuLoad.reset(now)
	return nil
}

// Stats returns what was measured since Begin, or since Start before it. A relay has no configured costs: its busy
// share is its real CPU usage.
func (s *RelayService) Stats(_ struct{}, reply *RelayStats) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	m := &reply.Machine
	in, out, err := s.measure(role.Relay, s.name, m)
	if err != nil {
		return err
	}
	reply.In = in
	reply.Out = out
	s.acknowledgedMu.Lock()
	for _, acknowledgements := range s.acknowledged {
		reply.Acknowledgements = append(reply.Acknowledgements, slices.Clone(acknowledgements))
	}
	s.acknowledgedMu.Unlock()
	counts := s.relay.Metrics()
	m.Calls = counts.Calls - s.metricsAtStart.Calls
	m.FullLists = counts.FullLists - s.metricsAtStart.FullLists
	m.Rejected = counts.Rejected - s.metricsAtStart.Rejected
	m.Busy = m.CPUPercent / 100
	m.Worst6s = s.cpuLoad.worst6s()
	return nil
}
