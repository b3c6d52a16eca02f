// Package control stands in for the platform's control plane in a scale run. Service is the discovery service: it
// serves the endpoint list to each agent at a separate address and simulates the configured costs of its work as
// delays. RelayService runs a relay between the discovery service and the agents. Both can be partitioned from agents
// and measure their own resource usage.
//
// Each service runs in a separate process, which package role starts and calls. One method runs at a time under the
// service's mutex; state that agents' calls change (notifications, the work queue, the ports) has its own mutexes. The
// package makes no decisions for agents and serves no list that agents could not have received from the platform.
package control

import (
	"fmt"
	"net/http"
	"time"

	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/role"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Control"

// These are the methods of Service by the names that role.Child.Call takes.
const (
	MethodStart     = ServiceName + ".Start"
	MethodChange    = ServiceName + ".Change"
	MethodDown      = ServiceName + ".Down"
	MethodPartition = ServiceName + ".Partition"
	MethodBegin     = ServiceName + ".Begin"
	MethodStats     = ServiceName + ".Stats"
)

// Main runs a process with the role "control": it serves a Service until standard input ends.
func Main() error { return role.Serve(ServiceName, new(Service)) }

// Service is the discovery service. Its zero value is ready for Start; all other methods fail before Start.
type Service struct {
	machine
	store         *lists.Store
	http          *http.Server
	lists         *lists.Server
	queue         *workQueue
	notifications *notificationLog
	down          bool
}

// Start opens and serves a listener for each agent.
func (s *Service) Start(args StartArgs, reply *StartReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		return errAlreadyStarted
	}
	if len(args.Addrs) != len(args.Agents) {
		return fmt.Errorf("starting control: got %d addresses for %d agents", len(args.Addrs), len(args.Agents))
	}
	now, err := currentUsage()
	if err != nil {
		return err
	}
	s.store = lists.NewStore(args.Costs.Log)
	s.store.Reset(args.Revision, args.Members)
	s.usageAtStart = now
	s.ports = newAgentPorts(args.Addrs, now.at)
	s.queue = newWorkQueue(args.Costs, now.at)
	s.notifications = newNotificationLog(len(args.Addrs))
	s.lists = &lists.Server{
		Store: s.store, Limiter: s.queue, OnAcknowledge: s.notifications.acknowledge, OnCallDone: s.notifications.callDone,
	}
	s.http = s.lists.HTTP()
	if err := s.ports.serve(s.http, s.lists.Listener); err != nil {
		s.ports.close()
		return err
	}
	s.started = true
	reply.Ready = len(args.Addrs)
	return nil
}

// Change publishes the next revision and notifies the watches. It also works while the service is down; agents then
// receive the revision when they can call again.
func (s *Service) Change(args ChangeArgs, reply *ChangeReply) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	revision := s.store.Revision() + 1
	at, err := s.notifications.addChange(revision, len(args.Members))
	if err != nil {
		return err
	}
	if err := s.store.Apply(revision, args.Members); err != nil {
		return err
	}
	*reply = ChangeReply{revision, at.UnixNano()}
	return nil
}

// Down takes the service down or brings it back up at the same addresses. Taking it down resets the connections of
// agents that are not partitioned and drops the planned work.
func (s *Service) Down(args DownArgs, _ *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if args.Down == s.down {
		return nil
	}
	if args.Down {
		s.ports.close()
		s.queue.dropPlanned()
	} else if err := s.ports.serve(s.http, s.lists.Listener); err != nil {
		s.ports.close()
		return err
	}
	s.down = args.Down
	return nil
}

// Begin resets all counts to 0 and discards the recorded changes.
func (s *Service) Begin(struct{}, *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	now, err := s.beginMeasurement()
	if err != nil {
		return err
	}
	s.queue.reset(now.at)
	s.notifications.reset()
	return nil
}

// Stats returns what was measured since Begin, or since Start before it.
func (s *Service) Stats(_ struct{}, reply *StatsReply) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	in, out, err := s.measure(role.Control, "control", &reply.Machine)
	if err != nil {
		return err
	}
	reply.In = in
	reply.Out = out
	s.notifications.fill(reply)
	s.queue.stats(time.Now(), &reply.Machine)
	return nil
}
