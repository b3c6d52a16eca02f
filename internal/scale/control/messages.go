package control

import (
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// The types in this file are sent by net/rpc. gob encodes them by field name. All times are Unix times in nanoseconds.

// StartArgs configures a Service.
type StartArgs struct {
	Costs    scenario.Control
	Agents   []string // names
	Addrs    []string // to listen on, by agent
	Members  []discovery.Member
	Revision uint64
}

// StartReply reports how many agents can call.
type StartReply struct{ Ready int }

// ChangeArgs holds the changed list entries, including removed ones.
type ChangeArgs struct{ Members []discovery.Member }

// ChangeReply reports the revision of the change and the time at which it was made.
type ChangeReply struct {
	Revision uint64
	At       int64
}

// DownArgs selects whether the service is down.
type DownArgs struct{ Down bool }

// PartitionArgs selects agents and whether they are partitioned from the machine.
type PartitionArgs struct {
	Agents      []int
	Partitioned bool
}

// StatsReply holds what a Service measured since Begin, or since Start before it.
type StatsReply struct {
	Machine           result.ControlMachine
	In, Out           [][]int64 // bytes by agent and second
	Changes           []ChangeNotification
	LateNotifications int // changes written to a waiting watch later than the queue and the configured costs explain
}

// ChangeNotification records when a change was made and when each agent received it.
type ChangeNotification struct {
	Revision       uint64
	At             int64
	AcknowledgedAt []int64 // by agent: when its next call acknowledged this revision or a newer one; 0: not yet
	WrittenAt      []int64 // by agent: when this revision or a newer one had been written to it; 0: not yet
	Entries        int     // entries that changed
}

// RelayArgs configures a RelayService.
type RelayArgs struct {
	Name               string
	Discovery          string   // address of the discovery service for this relay
	State              string   // directory from which a restarted relay loads its list
	Addrs              []string // to listen on, by agent
	FullListsPerSecond float64  // limit of full lists sent per second
}

// RelayStats holds what a relay measured since Begin, or since Start before it.
type RelayStats struct {
	Machine          result.ControlMachine
	In, Out          [][]int64           // bytes by agent and second
	Acknowledgements [][]Acknowledgement // by agent, in ascending order of revision
}

// Acknowledgement records when an agent first acknowledged a revision at a relay.
type Acknowledgement struct {
	Revision uint64
	At       int64
}
