package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/settings"
)

func ready(id string) discovery.Member {
	return discovery.Member{ID: id, Address: "10.0.0.1:80", State: "Ready"}
}

func TestServerIDsWithEqualHash(t *testing.T) {
	table, set := New(nil), &settings.Settings{}
	both := table.Endpoints(set, []discovery.Member{ready("costarring"), ready("liquid")}) // one hash
	x, y := both[0].ID, both[1].ID
	if x+1 != y || table.Endpoints(set, []discovery.Member{ready("costarring")})[0].ID != x {
		t.Errorf("got %d and %d", x, y)
	}
	left := table.Endpoints(set, []discovery.Member{ready("liquid")})
	if gone := table.RemoveGone(balancer.EndpointsReplaced, left); !slices.Equal(gone, []balancer.ServerID{x}) {
		t.Errorf("gone are %d, want %d", gone, x)
	}
	if table.Endpoints(set, []discovery.Member{ready("liquid")})[0].ID != y {
		t.Error("the second name's number has changed with the first gone")
	}
}

// An endpoint says in the balancer's terms what discovery reported; what the settings do not name is at no position.
func TestEndpoints(t *testing.T) {
	set := &settings.Settings{ZoneNames: []string{"a", "b"}, KindNames: []string{"m1"}}
	m := discovery.Member{ID: "x", Address: "10.0.0.1:80", Zone: "b", Kind: "m2", Cell: 4, State: "Terminating", Weight: 2, StartedAtMillis: 1.5}
	table := New(nil)
	e := table.Endpoints(set, []discovery.Member{m})[0]
	want := balancer.Endpoint{ID: e.ID, Zone: 1, Kind: -1, Cell: 4, State: balancer.Draining, Weight: 2, Start: 1500 * time.Microsecond}
	if e != want {
		t.Errorf("got %+v, want %+v", e, want)
	}
	if got, known := table.Member(e.ID); !known || got != m {
		t.Errorf("the table has %+v, %v", got, known)
	}
	if _, known := table.Member(e.ID + 1); known {
		t.Error("the table has an endpoint that nobody reported")
	}
}

// Whatever comes of lists, changes and failures, the table has those who were reported and are not gone, each at its number, and
// returns each that goes once.
func TestTableFollowsLists(t *testing.T) {
	set := &settings.Settings{}
	r := rand.New(rand.NewPCG(1, 2))
	states := []string{"Ready", "Ready", "Terminating", "Gone"}
	table := New(nil)
	want := map[string]string{} // states by name
	ids := map[string]balancer.ServerID{}
	for step := range 3000 {
		update := []balancer.DiscoveryUpdate{balancer.EndpointsChanged, balancer.EndpointsChanged, balancer.EndpointsReplaced, balancer.EndpointsCached, balancer.PollFailed}[r.IntN(5)]
		var members []discovery.Member
		if update != balancer.PollFailed {
			for _, i := range r.Perm(40)[:r.IntN(40)] {
				m := ready(fmt.Sprint("s-", i))
				m.State = states[r.IntN(len(states))]
				members = append(members, m)
			}
		}
		var gone []string // as it has to be
		for name := range want {
			listed := slices.ContainsFunc(members, func(m discovery.Member) bool { return m.ID == name })
			if !listed && (update == balancer.EndpointsReplaced || update == balancer.EndpointsCached) {
				gone = append(gone, name)
			}
		}
		for _, m := range members {
			if want[m.ID] = m.State; m.State == "Gone" {
				gone = append(gone, m.ID)
			}
		}
		endpoints := table.Endpoints(set, members)
		for i, e := range endpoints {
			if id, known := ids[members[i].ID]; known && id != e.ID {
				t.Fatalf("step %d: %s had %d, has %d", step, members[i].ID, id, e.ID)
			}
			ids[members[i].ID] = e.ID
		}
		var wantGone []balancer.ServerID
		for _, name := range gone {
			wantGone = append(wantGone, ids[name])
			delete(want, name)
			delete(ids, name)
		}
		got := table.RemoveGone(update, endpoints)
		slices.Sort(got)
		slices.Sort(wantGone)
		if !slices.Equal(got, wantGone) {
			t.Fatalf("step %d, update %d: gone are %d, want %d", step, update, got, wantGone)
		}
		count := map[balancer.EndpointState]int{}
		for name, state := range want {
			if m, known := table.Member(ids[name]); !known || m.ID != name || m.State != state {
				t.Fatalf("step %d: %s is %+v", step, name, m)
			}
			member := discovery.Member{State: state}
			count[member.EndpointState()]++
		}
		for _, state := range []balancer.EndpointState{balancer.Removed, balancer.Ready, balancer.Draining} {
			if n := table.Count(state); n != count[state] {
				t.Fatalf("step %d: %d in state %d, want %d", step, n, state, count[state])
			}
		}
		if table.Len() != len(want) || len(table.ids) != len(want) || len(table.Members()) != len(want) {
			t.Fatalf("step %d: %d members, %d names, want %d", step, table.Len(), len(table.ids), len(want))
		}
	}
}

// BenchmarkUpdate is what a list event costs the table: one change, or the full list again.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		var all []discovery.Member
		for i := range n {
			m := ready(fmt.Sprint("server-", i))
			m.Zone, m.Kind = "a", "m1"
			all = append(all, m)
		}
		for name, c := range map[string]struct {
			update  balancer.DiscoveryUpdate
			members []discovery.Member
		}{"change": {balancer.EndpointsChanged, all[:1]}, "full": {balancer.EndpointsReplaced, all}} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				set := &settings.Settings{ZoneNames: []string{"a"}, KindNames: []string{"m1"}}
				table := New(nil)
				table.RemoveGone(balancer.EndpointsReplaced, table.Endpoints(set, all))
				b.ReportAllocs()
				for b.Loop() {
					table.RemoveGone(c.update, table.Endpoints(set, c.members))
				}
			})
		}
	}
}

// Endpoints are as cold as the agent's own experience says, whatever its wall clock was wrong by when it started.
func TestStartTimesWithWrongClock(t *testing.T) {
	const second = time.Second
	up := func(id string, at time.Duration) discovery.Member {
		return discovery.Member{ID: id, Address: "10.0.0.1:80", State: "Ready", StartedAtMillis: float64(at.Milliseconds())}
	}
	for name, wrong := range map[string]time.Duration{"right": 0, "an hour ahead": time.Hour, "5 s ahead": 5 * second, "5 s behind": -5 * second, "an hour behind": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			const start = 1_000_000 * second // Unix time, by a right clock
			now := start
			table, set := New(func() time.Duration { return now + wrong }), &settings.Settings{}
			// ages are how old the members of a list are taken for.
			ages := func(update balancer.DiscoveryUpdate, members ...discovery.Member) (ages []time.Duration) {
				endpoints := table.Endpoints(set, members)
				for _, e := range endpoints {
					ages = append(ages, now+wrong-e.Start)
				}
				table.RemoveGone(update, endpoints)
				return ages
			}
			expect := func(what string, got, least, most time.Duration) {
				t.Helper()
				if got < least || got > most {
					t.Errorf("%s is taken for %v old, want %v to %v", what, got, least, most)
				}
			}
			first := ages(balancer.EndpointsReplaced, up("old", start-time.Hour), up("cold", start-second), up("long ago", 0))
			switch {
			case wrong == 0:
				expect("a cold one of the first list", first[1], second, second)
			case wrong < 0: // the latest start is taken for now
				expect("a cold one of the first list", first[1], 0, second)
				expect("an old one", first[0], time.Hour-second, time.Hour)
			}
			if e := table.Endpoints(set, []discovery.Member{up("long ago", 0)})[0]; e.Start != 0 {
				t.Errorf("one that is up since long ago started at %v", e.Start)
			}
			now += 10 * second
			added := up("new", now-second)
			expect("a new one", ages(balancer.EndpointsChanged, added)[0], 0, second)
			now += 2 * second
			expect("the same later", ages(balancer.EndpointsChanged, added)[0], 2*second, 3*second)
			expect("one that was restarted", ages(balancer.EndpointsChanged, up("old", now))[0], 0, second)
			now += 20 * second
			late := ages(balancer.EndpointsChanged, up("late", now-3*second), up("back", start-time.Hour), up("newer", now-second/2))
			expect("one that is reported late", late[0], 2*second, 3*second)
			expect("one that was away", late[1], time.Hour, time.Hour+time.Minute)
			expect("one that is reported sooner", late[2], 0, second/2)
		})
	}
}
