package simagent

import (
	"testing"
	"time"
)

// An agent that is slow to take a configuration in does not hold up those that come after it at the source.
func TestSlowAgentDoesNotDelayRollout(t *testing.T) {
	w := tinyWorld(t, nil)
	f, _ := startFleet(t, w, func(o *Options) { o.Shards = 2 })
	f.Begin()
	slow, goesOn, held := f.agents[0].shard, make(chan struct{}), make(chan struct{})
	slow.doAsync(func() { close(held); <-goesOn })
	<-held
	f.Configure(1, time.Millisecond)
	others := func(c ConfigChange) (have, of int) {
		for _, a := range f.agents {
			if a.shard != slow {
				of++
				if c.At[a.position] != 0 {
					have++
				}
			}
		}
		return have, of
	}
	waitFor(t, "the other shard's agents have the configuration", func() bool {
		c := f.configSource.changesSince(0)
		if len(c) == 0 {
			return false
		}
		have, of := others(c[0])
		return have == of
	})
	if c := f.configSource.changesSince(0)[0]; c.At[f.agents[0].position] != 0 {
		t.Error("the slow agent has it too")
	}
	close(goesOn)
	waitFor(t, "all agents have it", func() bool { return f.Stats().Control.ConfigInForce.N == int64(len(w.Agents)) })
}

// A configuration that an agent takes in after a newer one does not replace that, and has been in force with it.
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
		t.Errorf("deadline %v, revision %d, want %v and 2", got, a.configRevision, newer)
	}
	for _, c := range f.configSource.changesSince(0) {
		if c.At[a.position] == 0 || c.Rejected != 0 {
			t.Errorf("%+v", c)
		}
	}
}
