// Package control stands in for the platform's discovery in a scale run: it serves the list to every agent at an address
// of its own, plays the stated costs of its work in time, can be down or cut off from agents, and measures itself.
package control

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
	"example.org/ryeloft/internal/scale/meter"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/scenario"
)

// Main is the process of the role "control": it serves Service by the name of Control until its input ends.
func Main() error { return role.Serve("Control", new(Service)) }

// StartArgs say what to serve.
type StartArgs struct {
	Costs    scenario.Control
	Agents   []string // names
	Addrs    []string // to listen at, by agent
	Members  []discovery.Member
	Revision uint64
}

// StartReply tells how many agents can call.
type StartReply struct{ Ready int }

// ChangeArgs are the entries that change, Gone ones among them.
type ChangeArgs struct{ Members []discovery.Member }

// ChangeReply says what the change became, and when.
type ChangeReply struct {
	Revision uint64
	At       int64 // Unix time, nanoseconds
}

// DownArgs say whether control is down.
type DownArgs struct{ Down bool }

// PartitionArgs say which agents cannot reach control, or can again.
type PartitionArgs struct {
	Agents []int
	Cut    bool
}

// StatsReply is what was measured since Begin, or since Start before it.
type StatsReply struct {
	Machine  result.ControlMachine
	In, Out  [][]int64 // bytes by agent and second
	Changes  []ChangeNotification
	LateTold int // of the changes, how many were written to a waiting watch later than queue and stated costs explain
}

// ChangeNotification is when a change was made and came to each agent. Times are Unix times in nanoseconds.
type ChangeNotification struct {
	Revision uint64
	At       int64
	Heard    []int64 // by agent: when a call of it said that it holds this revision or a newer one; 0: not yet
	Written  []int64 // by agent: when this revision or a newer one had been written to it; 0: not yet
	Lines    int     // entries that changed
}

var (
	errNotStarted     = errors.New("control has not been started")
	errAlreadyStarted = errors.New("control has been started before")
)

// Service holds the role's methods. Its zero value is ready for Start; all others fail before it.
type Service struct {
	mu            sync.Mutex // one change, or change of state, at a time
	store         *lists.Store
	http          *http.Server
	lists         *lists.Server
	meter         *meter.Meter
	queue         *workQueue
	notifications *notificationLog
	ports         []*port
	usageAtStart  usage // of the process, when the measured part began
	down          bool
}

// Start listens for all agents.
func (s *Service) Start(args StartArgs, reply *StartReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.store != nil:
		return errAlreadyStarted
	case len(args.Addrs) != len(args.Agents):
		return fmt.Errorf("%d agents have %d addresses", len(args.Agents), len(args.Addrs))
	}
	now, err := currentUsage()
	if err != nil {
		return err
	}
	store := lists.NewStore(args.Costs.Log)
	store.Reset(args.Revision, args.Members)
	s.usageAtStart, s.meter, s.queue, s.notifications = now, meter.New(len(args.Addrs), now.at), newWorkQueue(args.Costs, now.at), newNotificationLog(len(args.Addrs))
	s.lists = &lists.Server{Store: store, Limiter: s.queue, OnAcknowledge: s.notifications.acknowledge, OnCallDone: s.notifications.callDone}
	s.http = s.lists.HTTP()
	for agent, addr := range args.Addrs {
		s.ports = append(s.ports, newPort(agent, addr))
	}
	if err := s.listen(); err != nil {
		s.closePorts()
		s.ports = nil
		return err
	}
	s.store = store
	reply.Ready = len(s.ports)
	return nil
}

// listen opens all ports and serves them.
func (s *Service) listen() error {
	for _, p := range s.ports {
		l, err := p.listen()
		if err != nil {
			return err
		}
		go s.http.Serve(s.lists.Listener(s.meter.Listener(l, p.agent), p.agent)) // until its port closes
	}
	return nil
}

func (s *Service) closePorts() {
	for _, p := range s.ports {
		p.close()
	}
}

// lockStarted locks the service if it has been started.
func (s *Service) lockStarted() error {
	s.mu.Lock()
	if s.store == nil {
		s.mu.Unlock()
		return errNotStarted
	}
	return nil
}

// Change makes the next revision and tells the watches. It does so while control is down as well; agents hear of it
// when they can call again.
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
		s.closePorts()
		s.queue.dropPlanned()
	} else if err := s.listen(); err != nil {
		s.closePorts()
		return err
	}
	s.down = args.Down
	return nil
}

// Cut makes agents' connections silent, new ones too, or ends that: silent ones are then reset.
func (s *Service) Cut(args PartitionArgs, _ *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	return setPartitioned(s.ports, args)
}

func setPartitioned(ports []*port, args PartitionArgs) error {
	if i := slices.IndexFunc(args.Agents, func(a int) bool { return a < 0 || a >= len(ports) }); i >= 0 {
		return fmt.Errorf("agent %d of %d", args.Agents[i], len(ports))
	}
	for _, agent := range args.Agents {
		ports[agent].setPartitioned(args.Cut)
	}
	return nil
}

// Begin starts all counts from 0, and forgets the changes before.
func (s *Service) Begin(struct{}, *struct{}) error {
	if err := s.lockStarted(); err != nil {
		return err
	}
	defer s.mu.Unlock()
	now, err := currentUsage()
	if err != nil {
		return err
	}
	s.usageAtStart = now
	s.meter.Begin()
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
	now, err := currentUsage()
	if err != nil {
		return err
	}
	reply.In, reply.Out = s.meter.Bins()
	s.notifications.fill(reply)
	m := &reply.Machine
	m.Role, m.Name = "control", "control"
	m.BytesIn, m.BytesOut = sumBins(reply.In), sumBins(reply.Out)
	now.fill(m, s.usageAtStart)
	s.queue.stats(time.Now(), m)
	return nil
}

func sumBins(bins [][]int64) (sum int64) {
	for _, agent := range bins {
		for _, n := range agent {
			sum += n
		}
	}
	return sum
}
