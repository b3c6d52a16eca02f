package realagent

import (
	"context"
	"slices"
	"time"

	"example.org/ryeloft/internal/scale/parallel"
)

// Restart restarts concurrently those of the given agents of the world that belong to this fleet, as the platform does
// in a planned restart: it sends SIGTERM and then starts another process with the same name and address, a cached list
// (in discovery's format; nil: none) and the newest configuration. Calls to an agent wait until its restart ends.
// Restart returns when all agents are up, or an error with the names of those that are not.
func (f *Fleet) Restart(ctx context.Context, agents []int, cached []byte) error {
	var selected []*agent
	for _, a := range f.agents {
		if slices.Contains(agents, a.position) {
			selected = append(selected, a)
		}
	}
	return parallel.ForEach(selected, maxAgents, func(a *agent) error {
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

// restart replaces one agent's process and returns the startup time of the new one.
func (f *Fleet) restart(ctx context.Context, a *agent, cached []byte) (time.Duration, error) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	p := a.currentProcess()
	if p == nil {
		return 0, a.errorf("does not run: cannot restart it")
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
