package control

import (
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/scenario"
)

// The messages of the parts follow. gob sends them by the names of their fields. All times are Unix times in nanoseconds.

// StartArgs say what control is to serve.
type StartArgs struct {
	Costs    scenario.Control
	Agents   []string // names
	Addrs    []string // to listen at, by agent
	Members  []discovery.Member
	Revision uint64
}

// StartReply says how many agents can call.
type StartReply struct{ Ready int }

// ChangeArgs are the entries that change, removed ones among them.
type ChangeArgs struct{ Members []discovery.Member }

// ChangeReply says which revision the change became, and when.
type ChangeReply struct {
	Revision uint64
	At       int64
}

// DownArgs say whether control is down.
type DownArgs struct{ Down bool }

// PartitionArgs say which agents are partitioned from a machine, or no longer are.
type PartitionArgs struct {
	Agents      []int
	Partitioned bool
}

// StatsReply is what was measured since Begin, or since Start before it.
type StatsReply struct {
	Machine           result.ControlMachine
	In, Out           [][]int64 // bytes by agent and second
	Changes           []ChangeNotification
	LateNotifications int // changes that were written to a waiting watch later than queue and stated costs explain
}

// ChangeNotification says when a change was made and came to each agent.
type ChangeNotification struct {
	Revision       uint64
	At             int64
	AcknowledgedAt []int64 // by agent: when it acknowledged this revision or a newer one by its next call; 0: not yet
	WrittenAt      []int64 // by agent: when this revision or a newer one had been written to it; 0: not yet
	Entries        int     // entries that changed
}

// RelayArgs say what one relay follows, and where it answers.
type RelayArgs struct {
	Name               string
	Discovery          string   // the relay's own address at control
	State              string   // its directory, in which a restarted relay finds its list
	Addrs              []string // to listen at, by agent
	FullListsPerSecond float64  // full lists a second that it hands out
}

// RelayStats is what a relay measured since Begin, or since Start before it.
type RelayStats struct {
	Machine          result.ControlMachine
	In, Out          [][]int64           // bytes by agent and second
	Acknowledgements [][]Acknowledgement // by agent, revisions rising
}

// Acknowledgement says when an agent first acknowledged a revision at a relay.
type Acknowledgement struct {
	Revision uint64
	At       int64
}
