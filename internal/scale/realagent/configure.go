package realagent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// reloadTimeout bounds the time in which an agent logs the result of a reload.
const reloadTimeout = 15 * time.Second

// ConfigChange records the rollout of one configuration.
type ConfigChange struct {
	Revision int
	At       int64   // when the rollout began, Unix ns
	InForce  []int64 // Unix ns by agent, in the order of Options.Agents; 0: not in force
}

// Configure distributes a revision of the configuration to all agents, one every perAgent, like a source that spends
// this time on each agent: it replaces the file and sends SIGHUP. It waits until each agent has logged the result of
// the reload. Its error names the agents that reject the configuration, do not log a result in time, or die. An agent
// that is being restarted gets the configuration afterwards. Concurrent calls run one after another.
func (f *Fleet) Configure(ctx context.Context, revision int, perAgent time.Duration) error {
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	startedAt := time.Now()
	change := ConfigChange{Revision: revision, At: startedAt.UnixNano(), InForce: make([]int64, len(f.agents))}
	errs := make([]error, len(f.agents))
	var rollouts sync.WaitGroup
	for i, a := range f.agents {
		rollouts.Go(func() {
			errs[i] = pause(ctx, time.Until(startedAt.Add(time.Duration(i)*perAgent)))
			if errs[i] != nil {
				return
			}
			var at time.Time
			at, errs[i] = f.configure(ctx, a, revision)
			if errs[i] == nil {
				change.InForce[i] = at.UnixNano()
			}
		})
	}
	rollouts.Wait()
	f.recordChange(change)
	return errors.Join(errs...)
}

// configure gives a revision to one agent and returns the time at which the agent logged that it is in force.
func (f *Fleet) configure(ctx context.Context, a *agent, revision int) (time.Time, error) {
	a.processMu.RLock()
	defer a.processMu.RUnlock()
	p := a.currentProcess()
	if p == nil {
		return time.Time{}, a.errorf("does not run: cannot apply configuration %d", revision)
	}
	a.mu.Lock()
	old := a.revision
	a.revision = revision
	a.mu.Unlock()
	if err := a.writeConfig(a.configText(f.options.Config)); err != nil {
		return time.Time{}, err
	}
	results := a.expectReload()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return time.Time{}, a.errorf("could not apply configuration %d: %w", revision, err)
	}
	at, err := awaitReload(ctx, p, results)
	if err != nil {
		a.mu.Lock()
		a.revision = old // the agent keeps the old configuration
		a.mu.Unlock()
		return time.Time{}, a.errorf("could not apply configuration %d: %w", revision, err)
	}
	return at, nil
}

// awaitReload waits for the result of a reload and returns the time at which the agent logged it.
func awaitReload(ctx context.Context, p *process, results <-chan reloadResult) (time.Time, error) {
	timeout := time.NewTimer(reloadTimeout)
	defer timeout.Stop()
	select {
	case r := <-results:
		return r.at, r.err
	case <-p.done:
		return time.Time{}, fmt.Errorf("process died: %w", exitError(p.err))
	case <-timeout.C:
		return time.Time{}, fmt.Errorf("no reload result logged within %v", reloadTimeout)
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// recordChange adds a configuration change to the measurements.
func (f *Fleet) recordChange(c ConfigChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, c)
	for _, at := range c.InForce {
		if at != 0 {
			f.configInForce.AddDuration(time.Duration(at - c.At))
		}
	}
}

// pause waits for d. It returns the context's error if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
