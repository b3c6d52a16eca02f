// Package control stands in for the platform's control side in a scale run: Service for discovery, which serves the list
// to every agent at an address of its own and plays the stated costs of its work in time, and RelayService for relays
// between it and the agents. Both can be partitioned from agents and measure themselves.
//
// Each service is a process of its own, called by role. One method runs at a time under the service's mutex; what calls of
// agents change (notifications, the work queue, the ports) has mutexes of its own. The package never decides anything for
// agents, and keeps no list that agents could not have got from the platform.
package control

import (
	"fmt"
	"net/http"
	"time"

	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/role"
)

// ServiceName is the name by which the part's methods are called.
const ServiceName = "Control"

// The methods of Service, as role.Child calls them.
const (
	MethodStart     = ServiceName + ".Start"
	MethodChange    = ServiceName + ".Change"
	MethodDown      = ServiceName + ".Down"
	MethodPartition = ServiceName + ".Partition"
	MethodBegin     = ServiceName + ".Begin"
	MethodStats     = ServiceName + ".Stats"
)

// Main is the program of the part "control": it serves a Service until its input ends.
func Main() error { return role.Serve(ServiceName, new(Service)) }

// Service holds the methods of the part. Its zero value is ready for Start; all other methods fail before that.
type Service struct {
	machine
	store         *lists.Store
	http          *http.Server
	lists         *lists.Server
	queue         *workQueue
	notifications *notificationLog
	down          bool
}

// Start listens for all agents.
func (s *Service) Start(args StartArgs, reply *StartReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started {
		return errAlreadyStarted
	}
	if len(args.Addrs) != len(args.Agents) {
		return fmt.Errorf("starting control: %d agents have %d addresses", len(args.Agents), len(args.Addrs))
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

// Change makes the next revision and notifies the watches. It does so while control is down as well; agents get it when
// they can call again.
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

// Down takes control down, which resets all connections that can be reset and drops the work that waits, or brings it
// back at the same addresses.
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

// Begin starts all counts from 0, and forgets the changes before.
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

// Stats sums up what was measured.
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
