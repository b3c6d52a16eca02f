// Package membership holds the endpoints that discovery last reported and assigns them IDs for the balancer. It neither
// calls discovery nor makes decisions about endpoints.
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

// Table assigns each endpoint an ID derived from its name, so that it is normally the same after a restart of the
// agent, and stores what discovery last reported of each. It is not safe for concurrent use.
type Table struct {
	ids        map[string]balancer.ServerID
	members    map[balancer.ServerID]discovery.Member
	counts     map[balancer.EndpointState]int // members per state
	startTimes startTimes
}

// New returns an empty table. The clock returns the agent's time since 1970, to which start times are converted. If it
// is nil, start times stay as discovery reports them.
func New(clock func() time.Duration) *Table {
	return &Table{
		ids:        map[string]balancer.ServerID{},
		members:    map[balancer.ServerID]discovery.Member{},
		counts:     map[balancer.EndpointState]int{},
		startTimes: newStartTimes(clock),
	}
}

// Endpoints updates the table with the members of a list, or of changes, and returns an endpoint for each, in the same
// order. A removed member stays in the table until RemoveGone, so that its ID is not reused before the balancer knows
// of the removal.
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

// Admit returns the members that may be passed to Endpoints: as many as there is room for, and all those that are in the
// table already. Changes could otherwise make the table grow without a bound. A full list has at most
// discovery.MaxMembers members itself.
func (t *Table) Admit(update balancer.DiscoveryUpdate, members []discovery.Member) []discovery.Member {
	room := discovery.MaxMembers - len(t.members)
	if update != balancer.EndpointsChanged || len(members) <= room {
		return members
	}
	admitted := make([]discovery.Member, 0, len(members))
	for _, m := range members {
		if _, known := t.ids[m.ID]; !known {
			if room <= 0 {
				continue
			}
			room--
		}
		admitted = append(admitted, m)
	}
	return admitted
}

// put stores the member of an endpoint.
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

// RemoveGone removes the endpoints that an update removes and returns their IDs in no particular order. The endpoints
// are those that Endpoints returned for the update. The cost of changes depends on their number alone; a full list also
// removes every endpoint that it does not contain. PollFailed removes nothing.
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

// removeChanged removes those of the endpoints whose last reported state is Removed.
func (t *Table) removeChanged(endpoints []balancer.Endpoint) (gone []balancer.ServerID) {
	for _, e := range endpoints {
		if m, known := t.members[e.ID]; known && m.EndpointState() == balancer.Removed {
			t.remove(e.ID)
			gone = append(gone, e.ID)
		}
	}
	return gone
}

// removeUnlisted removes every endpoint that a full list does not contain or reports as removed.
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

// Members returns all members in no particular order.
func (t *Table) Members() []discovery.Member {
	return slices.AppendSeq(make([]discovery.Member, 0, len(t.members)), maps.Values(t.members))
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.members) }

// Count returns the number of members that discovery reports in the given state.
func (t *Table) Count(state balancer.EndpointState) int { return t.counts[state] }

// Member returns what discovery last reported of an endpoint and whether the endpoint is in the table.
func (t *Table) Member(id balancer.ServerID) (discovery.Member, bool) {
	m, known := t.members[id]
	return m, known
}

// assignID returns the ID of a name. A new name gets its hash or, if that is in use by another name with the same hash,
// the next free ID.
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

// remove removes an endpoint. Its ID may then be reused.
func (t *Table) remove(id balancer.ServerID) {
	m := t.members[id]
	t.counts[m.EndpointState()]--
	delete(t.ids, m.ID)
	delete(t.members, id)
	t.startTimes.remove(id)
}
