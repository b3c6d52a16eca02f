package control

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"example.org/ryeloft/internal/scale/scenario"
)

// startRelay plays a relay of so many agents in this process, at one of control's addresses.
func startRelay(t *testing.T, above, state string, agents int) (*RelayService, []string) {
	t.Helper()
	s, addrs := new(RelayService), addresses(t, agents)
	var reply StartReply
	if err := s.Start(RelayArgs{Name: "r", Discovery: above, State: state, Addrs: addrs, FullListsPerSecond: 1000}, &reply); err != nil || reply.Ready != agents {
		t.Fatalf("%+v, %v", reply, err)
	}
	return s, addrs
}

// A change comes to agents through a relay, and the relay reports when they acknowledged it and what it cost; agents that
// are partitioned get nothing, and are reset when the partition ends.
func TestRelayService(t *testing.T) {
	const agents = 3
	c, above := startControl(t, agents+1, scenario.Control{Log: 16})
	s, addrs := startRelay(t, above[agents], t.TempDir(), agents)
	if err := s.Start(RelayArgs{}, &StartReply{}); !errors.Is(err, errAlreadyStarted) {
		t.Errorf("a second start: %v", err)
	}
	if err := s.Begin(struct{}{}, nil); err != nil {
		t.Fatal(err)
	}
	first := int64(0)
	callAll(t, addrs, func(agent int, a *caller) error {
		status, l, err := a.call("")
		if err != nil {
			return err
		}
		if status != 200 || !l.Complete || *l.Revision != 41 {
			return fmt.Errorf("status %d, revision %v", status, l.Revision)
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
	first = made.At
	callAll(t, addrs, func(agent int, a *caller) error {
		status, l, err := a.call("?after=41&wait_ms=20000")
		if err != nil {
			return err
		}
		if status != 200 || *l.Revision != made.Revision {
			return fmt.Errorf("status %d, %+v", status, l)
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
		t.Errorf("%+v", m)
	}
	for agent, marks := range stats.Acknowledgements {
		last := marks[len(marks)-1]
		if last.Revision != made.Revision || last.At < first || last.At > time.Now().UnixNano() {
			t.Errorf("agent %d: %+v, made %+v", agent, marks, made)
		}
	}
	if err := s.Partition(PartitionArgs{Agents: []int{agents}, Partitioned: true}, nil); err == nil {
		t.Error("an agent that there is not can be partitioned")
	}
	silent := dial(t, addrs[1])
	if _, _, err := silent.call("?after=42"); err != nil {
		t.Fatal(err)
	}
	if err := s.Partition(PartitionArgs{Agents: []int{1}, Partitioned: true}, nil); err != nil {
		t.Fatal(err)
	}
	if err := silent.send("?after=42"); err != nil {
		t.Fatal(err)
	}
	if err := s.Partition(PartitionArgs{Agents: []int{1}}, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, err := silent.readResponse(); err == nil {
		t.Error("a connection that was silent is answered")
	}
}

// Before its start a relay says so, and one whose address is taken does not start.
func TestRelayServiceFails(t *testing.T) {
	s := new(RelayService)
	for name, err := range map[string]error{
		"Begin": s.Begin(struct{}{}, nil), "Partition": s.Partition(PartitionArgs{}, nil), "Stats": s.Stats(struct{}{}, &RelayStats{}),
	} {
		if !errors.Is(err, errNotStarted) {
			t.Errorf("%s: %v", name, err)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := s.Start(RelayArgs{State: t.TempDir(), Discovery: "127.0.0.1:1", Addrs: []string{l.Addr().String()}, FullListsPerSecond: 1}, &StartReply{}); err == nil {
		t.Error("it starts at an address that is taken")
	}
}

func TestCPULoad(t *testing.T) {
	begun := time.Now()
	at := func(second int, cpu float64) usage {
		return usage{at: begun.Add(time.Duration(second) * time.Second), cpu: time.Duration(cpu * float64(time.Second))}
	}
	var l cpuLoad
	l.reset(at(0, 1))
	for i, cpu := range []float64{1, 1, 2, 3, 4, 4} { // seconds of processor time by then
		l.sample(at(i+1, cpu))
	}
	if got, want := l.worst6s(), 3.0/6; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("worst %v of six seconds, want %v", got, want)
	}
	l.sample(at(6, 9)) // no time has passed
	l.sample(at(7, 10))
	if got, want := l.worst6s(), 9.0/6; got < want-1e-9 || got > want+1e-9 {
		t.Errorf("worst %v, want %v", got, want)
	}
	l.reset(at(7, 10))
	if got := l.worst6s(); got != 0 {
		t.Errorf("worst %v at the begin", got)
	}
}
