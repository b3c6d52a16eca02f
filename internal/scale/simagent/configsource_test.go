package simagent

import (
	"testing"
	"time"
)

// A source that waited for each agent to reload would let one slow agent delay the rollout to all later ones.
func TestSlowAgentDoesNotDelayRollout(t *testing.T) {
	w := tinyWorld(t, nil)
	f, _ := startFleet(t, w, func(o *Options) { o.Shards = 2 })
	f.Begin()
	slow, release, blocked := f.agents[0].shard, make(chan struct{}), make(chan struct{})
	slow.doAsync(func() { close(blocked); <-release })
	<-blocked
	f.Configure(1, time.Millisecond)
	otherShards := func(c ConfigChange) (reloaded, total int) {
		for _, a := range f.agents {
			if a.shard != slow {
				total++
				if c.At[a.position] != 0 {
					reloaded++
				}
			}
		}
		return reloaded, total
	}
	waitFor(t, "configuration in force at the agents of the other shard", func() bool {
		c := f.configSource.changesSince(0)
		if len(c) == 0 {
			return false
		}
		reloaded, total := otherShards(c[0])
		return reloaded == total
	})
	if c := f.configSource.changesSince(0)[0]; c.At[f.agents[0].position] != 0 {
		t.Error("configuration is in force at the slow agent, want not yet")
	}
	close(release)
	waitFor(t, "configuration in force at all agents", func() bool { return f.Stats().Control.ConfigInForce.N == int64(len(w.Agents)) })
}

// Reloads run concurrently, so an older revision can reach an agent after a newer one. It must not replace the newer
// one, and counts as in force.
func TestOlderConfigurationIgnored(t *testing.T) {
	w := tinyWorld(t, nil)
	f, _ := startFleet(t, w, nil)
	a := f.agents[2]
	text := func(revision int) []byte { return w.Config(a.position, f.configOptions(a, revision)) }
	for _, revision := range []int{1, 2} {
		f.configSource.startRollout(revision, f.clock.Now())
	}
	f.reloadAgent(a, 2, text(2))
	newer := a.settings.Load().Balancer.Classes[0].Deadline
	f.reloadAgent(a, 1, text(1))
	if got := a.settings.Load().Balancer.Classes[0].Deadline; got != newer || a.configRevision != 2 {
		t.Errorf("got deadline %v and revision %d, want %v and 2", got, a.configRevision, newer)
	}
	for _, c := range f.configSource.changesSince(0) {
		if c.At[a.position] == 0 || c.Rejected != 0 {
			t.Errorf("got %+v, want it in force at agent %d and not rejected", c, a.position)
		}
	}
}
