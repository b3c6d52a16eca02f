package realagent

import (
	"context"
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/parallel"
)

// Restart restarts those of the world's agents that are of this fleet, all at once, as the platform does at a planned
// restart: SIGTERM, and then another process under the same name and address, with a cached list (in discovery's form;
// nil: none) and the newest configuration. Calls to an agent wait meanwhile. It returns when all are up, or with the names
// of those that are not.
func (f *Fleet) Restart(ctx context.Context, agents []int, cached []byte) error {
	var own []*agent
	for _, a := range f.agents {
		if slices.Contains(agents, a.position) {
			own = append(own, a)
		}
	}
	return parallel.ForEach(own, maxAgents, func(a *agent) error {
		took, err := f.restart(ctx, a, cached)
		if err != nil {
			return err
		}
		a.restarts.Add(1)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.startupTimes.AddDuration(took)
		return nil
	})
}

// restart replaces one agent's process and returns how long the new one took to be up.
func (f *Fleet) restart(ctx context.Context, a *agent, cached []byte) (time.Duration, error) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	p := a.currentProcess()
	if p == nil {
		return 0, a.errorf("does not run: it is not restarted")
	}
	if err := a.stop(p); err != nil {
		return 0, err
	}
	a.mu.Lock()
	a.cachedEndpoints = cached
	a.mu.Unlock()
	if err := a.writeConfig(a.configText(f.options.Config)); err != nil {
		return 0, err
	}
	return f.startAndAwaitUp(ctx, a)
}
