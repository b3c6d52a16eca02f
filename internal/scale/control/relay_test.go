package control

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
)

// startRelay runs a relay in this process for the given number of agents. upstream is an address of the discovery
// service.
func startRelay(t *testing.T, upstream, state string, agents int) (*RelayService, []string) {
	t.Helper()
	s, addrs := new(RelayService), addresses(t, agents)
	var reply StartReply
	if err := s.Start(RelayArgs{Name: "r", Discovery: upstream, State: state, Addrs: addrs, FullListsPerSecond: 1000}, &reply); err != nil || reply.Ready != agents {
		t.Fatalf("Start: got %+v, %v, want %d agents ready", reply, err, agents)
	}
	return s, addrs
}

// TestRelayService checks that a change reaches agents through a relay, that the relay reports their acknowledgements
// and its own usage, and that a partitioned agent gets no response, only an error after the partition has ended.
func TestRelayService(t *testing.T) {
	const agents = 3
	c, upstream := startControl(t, agents+1, scenario.Control{Log: 16})
	s, addrs := startRelay(t, upstream[agents], t.TempDir(), agents)
	if err := s.Start(RelayArgs{}, &StartReply{}); !errors.Is(err, errAlreadyStarted) {
		t.Errorf("second Start: got %v, want %v", err, errAlreadyStarted)
	}
	if err := s.Begin(struct{}{}, nil); err != nil {
		t.Fatal(err)
	}
	callAll(t, addrs, func(agent int, a *caller) error {
		status, l, err := a.call("")
		if err != nil {
			return err
		}
		if status != 200 || !l.Complete || *l.Revision != 41 {
			return fmt.Errorf("got status %d, revision %v, want 200 and the full list of revision 41", status, l.Revision)
		}
		return nil
	})
	change := func() ChangeReply {
		var reply ChangeReply
		if err := c.Change(ChangeArgs{Members: members(1)}, &reply); err != nil {
			t.Fatal(err)
		}
		return reply
	}
	made := change()
	callAll(t, addrs, func(agent int, a *caller) error {
		status, l, err := a.call("?after=41&wait_ms=20000")
		if err != nil {
			return err
		}
		if status != 200 || *l.Revision != made.Revision {
			return fmt.Errorf("got status %d, %+v, want 200 and revision %d", status, l, made.Revision)
		}
		_, _, err = a.call(fmt.Sprintf("?after=%d", made.Revision))
		return err
	})
	var stats RelayStats
	if err := s.Stats(struct{}{}, &stats); err != nil {
		t.Fatal(err)
	}
	m := stats.Machine
	if m.Role != "relay" || m.Name != "r" || m.FullLists != agents || m.Calls < 3*agents || m.BytesOut == 0 || m.CPUPercent <= 0 || m.RSSBytes == 0 {
		t.Errorf("got %+v, want %d full lists, at least %d calls and nonzero usage", m, agents, 3*agents)
	}
	for agent, acknowledgements := range stats.Acknowledgements {
		last := acknowledgements[len(acknowledgements)-1]
		if last.Revision != made.Revision || last.At < made.At || last.At > time.Now().UnixNano() {
			t.Errorf("agent %d: got acknowledgements %+v, want the last one for %+v", agent, acknowledgements, made)
		}
	}
	if err := s.Partition(PartitionArgs{Agents: []int{agents}, Partitioned: true}, nil); err == nil {
		t.Error("Partition of an unknown agent: got no error")
	}
	partitioned := dial(t, addrs[1])
	if _, _, err := partitioned.call("?after=42"); err != nil {
		t.Fatal(err)
	}
	if err := s.Partition(PartitionArgs{Agents: []int{1}, Partitioned: true}, nil); err != nil {
		t.Fatal(err)
	}
	if err := partitioned.send("?after=42"); err != nil {
		t.Fatal(err)
	}
	if err := s.Partition(PartitionArgs{Agents: []int{1}}, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, err := partitioned.readResponse(); err == nil {
		t.Error("got a response on a connection that was partitioned")
	}
}

// TestRelayServiceFails checks that calls before Start fail, and that Start fails if its address is in use.
func TestRelayServiceFails(t *testing.T) {
	s := new(RelayService)
	for name, err := range map[string]error{
		"Begin": s.Begin(struct{}{}, nil), "Partition": s.Partition(PartitionArgs{}, nil), "Stats": s.Stats(struct{}{}, &RelayStats{}),
	} {
		if !errors.Is(err, errNotStarted) {
			t.Errorf("%s: got %v, want %v", name, err, errNotStarted)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := s.Start(RelayArgs{State: t.TempDir(), Discovery: "127.0.0.1:1", Addrs: []string{l.Addr().String()}, FullListsPerSecond: 1}, &StartReply{}); err == nil {
		t.Error("Start at an address in use: got no error")
	}
}

func TestCPULoad(t *testing.T) {
	start := time.Now()
	at := func(second int, cpu float64) usage {
		return usage{at: start.Add(time.Duration(second) * time.Second), cpu: time.Duration(cpu * float64(time.Second))}
	}
	var l cpuLoad
	l.reset(at(0, 1))
	for i, cpu := range []float64{1, 1, 2, 3, 4, 4} { // total CPU seconds
		l.sample(at(i+1, cpu))
	}
	if got, want := l.worst6s(), 3.0/6; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("got worst %v after six seconds, want %v", got, want)
	}
	l.sample(at(6, 9)) // ignored: no time has passed
	l.sample(at(7, 10))
	if got, want := l.worst6s(), 9.0/6; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("got worst %v, want %v", got, want)
	}
	l.reset(at(7, 10))
	if got := l.worst6s(); got != 0 {
		t.Errorf("got worst %v after reset, want 0", got)
	}
}
