// Package membership holds the endpoints as discovery last reported them and numbers them for the balancer. It neither calls
// discovery nor decides anything about endpoints.
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

// Table numbers the endpoints by their names, the same in every incarnation of the agent, and knows what discovery last
// reported of each. It belongs to one goroutine.
type Table struct {
	ids        map[string]balancer.ServerID
	members    map[balancer.ServerID]discovery.Member
	counts     map[balancer.EndpointState]int // of members
	startTimes startTimes
}

// New makes an empty table. The clock tells the agent's time since 1970, to which start times are converted; without one they stay
// as discovery reports them.
func New(clock func() time.Duration) *Table {
	return &Table{
		ids:        map[string]balancer.ServerID{},
		members:    map[balancer.ServerID]discovery.Member{},
		counts:     map[balancer.EndpointState]int{},
		startTimes: newStartTimes(clock),
	}
}

// Endpoints updates the table by the members of a list, or of changes, and returns an endpoint for each, in their order. One that
// is removed stays in the table until RemoveGone, as its number must not be another's before the balancer knows.
func (t *Table) Endpoints(set *settings.Settings, members []discovery.Member) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, 0, len(members))
	t.startTimes.observe(members)
	for _, m := range members {
		id := t.assignID(m.ID)
		endpoints = append(endpoints, balancer.Endpoint{
			ID:     id,
			Zone:   slices.Index(set.ZoneNames, m.Zone),
			Kind:   slices.Index(set.KindNames, m.Kind),
			Cell:   m.Cell,
			State:  m.EndpointState(),
			Weight: m.Weight,
			Start:  t.startTimes.startTimeOf(id, m),
		})
		t.put(id, m)
	}
	return endpoints
}

// put sets what is known of an endpoint.
func (t *Table) put(id balancer.ServerID, m discovery.Member) {
	old, known := t.members[id]
	if known && old == m {
		return
	}
	if known {
		t.counts[old.EndpointState()]--
	}
	t.counts[m.EndpointState()]++
	t.members[id] = m
}

// RemoveGone removes the endpoints that an update has shown to be gone, by what Endpoints returned for it, and returns their numbers
// in no order. Changes cost what they name; a full list also removes what it does not name. PollFailed removes nothing.
func (t *Table) RemoveGone(update balancer.DiscoveryUpdate, endpoints []balancer.Endpoint) (gone []balancer.ServerID) {
	if update.KeepsEndpoints() {
		return nil
	}
	if update != balancer.EndpointsCached {
		t.startTimes.synced = true
	}
	if update == balancer.EndpointsChanged {
		return t.removeChanged(endpoints)
	}
	return t.removeUnlisted(endpoints)
}

// removeChanged removes those of the endpoints that the table knows as removed.
func (t *Table) removeChanged(endpoints []balancer.Endpoint) (gone []balancer.ServerID) {
	for _, e := range endpoints {
		if m, known := t.members[e.ID]; known && m.EndpointState() == balancer.Removed {
			t.remove(e.ID)
			gone = append(gone, e.ID)
		}
	}
	return gone
}

// removeUnlisted removes all but the endpoints that a full list names and does not report as removed.
func (t *Table) removeUnlisted(endpoints []balancer.Endpoint) (gone []balancer.ServerID) {
	keep := make(map[balancer.ServerID]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = e.State != balancer.Removed
	}
	for _, id := range t.ids {
		if !keep[id] {
			t.remove(id)
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

// Count counts the members that discovery reports to be in a state.
func (t *Table) Count(state balancer.EndpointState) int { return t.counts[state] }

// Member returns what discovery last reported of an endpoint, and whether it is in the table.
func (t *Table) Member(id balancer.ServerID) (discovery.Member, bool) {
	m, known := t.members[id]
	return m, known
}

// assignID returns the number of a name, and assigns one if it is new: its hash, or the next number that is free, so that names with the
// same hash are kept apart.
func (t *Table) assignID(name string) balancer.ServerID {
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

// remove removes an endpoint, whose number may then be another's.
func (t *Table) remove(id balancer.ServerID) {
	m := t.members[id]
	t.counts[m.EndpointState()]--
	delete(t.ids, m.ID)
	delete(t.members, id)
	t.startTimes.remove(id)
}
