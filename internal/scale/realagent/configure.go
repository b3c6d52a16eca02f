package realagent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// reloadTimeout is how long an agent may take to say what it made of a new configuration.
const reloadTimeout = 15 * time.Second

// ConfigChange is one change of configuration.
type ConfigChange struct {
	Revision int
	At       int64   // unix ns: when the source began to hand it out
	InForce  []int64 // unix ns by agent, in the order of Options.Agents; 0: not
}

// Configure hands a revision of the configuration to all agents, one each push, as the source does that spends so long on
// each: it writes the new file, puts it in the old one's place and sends SIGHUP. It waits until each agent has said what it
// made of it; one that rejects it, says nothing in time or dies is an error with its name. An agent that is being restarted
// gets it afterwards. Changes come in turn.
func (f *Fleet) Configure(ctx context.Context, revision int, push time.Duration) error {
	f.configureMu.Lock()
	defer f.configureMu.Unlock()
	begun := time.Now()
	change := ConfigChange{Revision: revision, At: begun.UnixNano(), InForce: make([]int64, len(f.agents))}
	errs := make([]error, len(f.agents))
	var all sync.WaitGroup
	for i, a := range f.agents {
		all.Go(func() {
			if errs[i] = pause(ctx, time.Until(begun.Add(time.Duration(i)*push))); errs[i] != nil {
				return
			}
			var at time.Time
			if at, errs[i] = f.configure(ctx, a, revision); errs[i] == nil {
				change.InForce[i] = at.UnixNano()
			}
		})
	}
	all.Wait()
	f.recordChange(change)
	return errors.Join(errs...)
}

// configure hands a revision to one agent and returns when it said that it is in force.
func (f *Fleet) configure(ctx context.Context, a *agent, revision int) (time.Time, error) {
	a.processMu.RLock()
	defer a.processMu.RUnlock()
	p := a.running()
	if p == nil {
		return time.Time{}, a.errorf("does not run: configuration %d is not handed out", revision)
	}
	a.mu.Lock()
	old := a.revision
	a.revision = revision
	a.mu.Unlock()
	if err := a.writeConfig(a.config(f.options.Config)); err != nil {
		return time.Time{}, err
	}
	told := a.expectReload()
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return time.Time{}, a.errorf("configuration %d: %w", revision, err)
	}
	at, err := a.reloaded(ctx, p, told)
	if err != nil {
		a.mu.Lock()
		a.revision = old // what it goes on with
		a.mu.Unlock()
		return time.Time{}, a.errorf("configuration %d: %w", revision, err)
	}
	return at, nil
}

// reloaded waits for the agent's line on a reload.
func (a *agent) reloaded(ctx context.Context, p *process, told <-chan reloadResult) (time.Time, error) {
	late := time.NewTimer(reloadTimeout)
	defer late.Stop()
	select {
	case r := <-told:
		return r.at, r.err
	case <-p.done:
		return time.Time{}, fmt.Errorf("it died: %w", exitError(p.err))
	case <-late.C:
		return time.Time{}, fmt.Errorf("no word on it within %v", reloadTimeout)
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// recordChange takes a change of configuration into the figures.
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

// Restart restarts those of the world's agents that are of this fleet, all at once, as the platform does at a planned one:
// SIGTERM, and as soon as the process has ended the next, under the same name and address, with the list that it is known to
// have had (in discovery's form; nil: none) and the newest configuration. Calls to an agent wait meanwhile. It returns when
// all are up, or with the names of those that are not.
func (f *Fleet) Restart(ctx context.Context, agents []int, known []byte) error {
	var ours []*agent
	for _, a := range f.agents {
		if slices.Contains(agents, a.position) {
			ours = append(ours, a)
		}
	}
	return f.forEachAgent(ours, maxAgents, func(a *agent) error {
		took, err := f.restart(ctx, a, known)
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
func (f *Fleet) restart(ctx context.Context, a *agent, known []byte) (time.Duration, error) {
	a.processMu.Lock()
	defer a.processMu.Unlock()
	p := a.running()
	if p == nil {
		return 0, a.errorf("does not run: it is not restarted")
	}
	if err := a.stop(p); err != nil {
		return 0, err
	}
	a.mu.Lock()
	a.cachedEndpoints = known
	a.mu.Unlock()
	if err := a.writeConfig(a.config(f.options.Config)); err != nil {
		return 0, err
	}
	return f.run(ctx, a)
}

// pause waits for a time, or for the end of the context, which is an error.
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
