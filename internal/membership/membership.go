// Package membership holds the backends as discovery last told them and turns lists into the module's terms.
package membership

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/settings"
)

// Table numbers the backends by their names, the same in every life of the agent, and knows what discovery last said of
// each. It is one goroutine's.
type Table struct {
	ids     map[string]balancer.ServerID
	members map[balancer.ServerID]discovery.Member
	states  map[balancer.EndpointState]int // members
	starts  starts
}

// New makes an empty table. The clock tells the agent's time since 1970, to which starts of backends are brought; without one
// they stay as discovery tells them.
func New(clock func() time.Duration) *Table {
	return &Table{
		starts:  newStarts(clock),
		ids:     map[string]balancer.ServerID{},
		members: map[balancer.ServerID]discovery.Member{},
		states:  map[balancer.EndpointState]int{},
	}
}

// Endpoints notes the members of a list, or of changes, and returns an entry for each, in their order. One that is gone is
// noted too, until Forget: its number must not be another's before the module has heard.
func (t *Table) Endpoints(set *settings.Settings, members []discovery.Member) []balancer.Endpoint {
	entries := make([]balancer.Endpoint, 0, len(members))
	t.starts.see(members)
	for _, m := range members {
		e := balancer.Endpoint{
			ID:     t.of(m.ID),
			Zone:   slices.Index(set.ZoneNames, m.Zone),
			Kind:   slices.Index(set.KindNames, m.Kind),
			Cell:   m.Cell,
			State:  m.EndpointState(),
			Weight: m.Weight,
		}
		e.Start = t.starts.of(e.ID, m)
		old, known := t.members[e.ID]
		if known && old.State != m.State {
			t.states[old.EndpointState()]--
		}
		if !known || old.State != m.State {
			t.states[e.State]++
		}
		if old != m {
			t.members[e.ID] = m
		}
		entries = append(entries, e)
	}
	return entries
}

// RemoveGone frees the backends that a list has shown to be gone, by what Entries returned for it, and returns their numbers in
// no order. Changes cost what they name; a list, which is whole, also frees what it does not name. After PollFailed
// nothing is gone.
func (t *Table) RemoveGone(mode balancer.DiscoveryUpdate, entries []balancer.Endpoint) (gone []balancer.ServerID) {
	if mode.KeepsEndpoints() {
		return nil
	}
	t.starts.followed = t.starts.followed || mode != balancer.EndpointsCached
	if mode == balancer.EndpointsChanged {
		for _, e := range entries {
			if m, known := t.members[e.ID]; known && m.EndpointState() == balancer.Removed {
				t.free(e.ID)
				gone = append(gone, e.ID)
			}
		}
		return gone
	}
	stays := make(map[balancer.ServerID]bool, len(entries))
	for _, e := range entries {
		stays[e.ID] = e.State != balancer.Removed
	}
	for _, id := range t.ids {
		if !stays[id] {
			t.free(id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Members returns all members, in no order.
func (t *Table) Members() []discovery.Member {
	return slices.AppendSeq(make([]discovery.Member, 0, len(t.members)), maps.Values(t.members))
}

// Len counts the members.
func (t *Table) Len() int { return len(t.members) }

// Count counts the members that discovery says are in a state.
func (t *Table) Count(state balancer.EndpointState) int { return t.states[state] }

// Member returns what discovery last said of a backend, and whether it is in the table.
func (t *Table) Member(id balancer.ServerID) (discovery.Member, bool) {
	m, known := t.members[id]
	return m, known
}

// of returns the number of a name, and takes one for it if it is new. Names that would share a number are kept
// apart: the later one gets the next that is free.
func (t *Table) of(name string) balancer.ServerID {
	if id, ok := t.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := balancer.ServerID(hash.Sum32())
	for {
		if _, taken := t.members[id]; !taken {
			break
		}
		id++
	}
	t.ids[name] = id
	return id
}

// free forgets a name that has left the list.
func (t *Table) free(id balancer.ServerID) {
	m := t.members[id]
	t.states[m.EndpointState()]--
	delete(t.ids, m.ID)
	delete(t.members, id)
	delete(t.starts.known, id)
}
