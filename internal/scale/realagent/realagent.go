// Package realagent runs real agents as processes beside the simulated ones of a scale run: some dozens, each with its own
// files and loopback address, with which the simulated ones are compared. It measures what they cost for control and what
// they add to a call.
//
// A Fleet owns the agents; its mutex guards the measurements, each agent's mutexes its process and configuration. A
// goroutine waits for each process. The package changes nothing in an agent but by its configuration file and signals.
package realagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/ryeloft/internal/scale/parallel"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/world"
)

const (
	maxAgents        = 200
	startConcurrency = 16
	maxInForceMillis = 120_000 // longer times count as this
)

// Options say which agents are real and where they find the others.
type Options struct {
	// Config is the configuration of an agent of the world, such as (*world.World).Config.
	Config func(agent int, o world.ConfigOptions) []byte
	Agents []int // positions in the world
	// Busy of the agents, the first ones, get the calls of MeasureAdded; 0: half of them, rounded up. The others are idle:
	// what they cost is control's alone.
	Busy            int
	Echo            []string   // addresses of the echo servers, for direct calls
	Program         string     // the agent's program
	Dir             string     // a temporary directory is made in it; empty: the system's
	Discovery       []string   // address by position in the world
	Relays          [][]string // addresses by position in the world; nil: none
	CachedEndpoints []byte     // the list that the agents start with, in discovery's form; nil: none
	Log             *slog.Logger
}

// validate reports options that cannot be used.
func (o *Options) validate() error {
	if n := len(o.Agents); n == 0 || n > maxAgents {
		return fmt.Errorf("%d real agents: there may be 1 to %d", n, maxAgents)
	}
	if o.Busy < 0 || o.Busy > len(o.Agents) {
		return fmt.Errorf("%d busy ones of %d real agents", o.Busy, len(o.Agents))
	}
	for i, a := range o.Agents {
		if a < 0 || a >= len(o.Discovery) || o.Relays != nil && a >= len(o.Relays) {
			return fmt.Errorf("real agent %d has no address of discovery or relays", a)
		}
		if slices.Contains(o.Agents[:i], a) {
			return fmt.Errorf("real agent %d is given twice", a)
		}
	}
	return nil
}

// Fleet is the real agents of a run.
type Fleet struct {
	options   Options
	dir       string
	agents    []*agent
	ctx       context.Context // of the processes
	cancel    context.CancelFunc
	closeOnce func() error

	configureMu sync.Mutex // changes of configuration come in turn

	mu            sync.Mutex
	closing       bool
	err           error
	failed        chan struct{}
	startedAt     time.Time // the measured part, as what follows
	configInForce *result.Histogram
	changes       []ConfigChange
	startupTimes  *result.Histogram
}

// Start starts the agents and waits until all are up. An agent that does not come up is an error with its name and its last
// log lines, and then none is left. All processes end with the context, and with this process, however that comes.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	if o.Busy == 0 {
		o.Busy = (len(o.Agents) + 1) / 2
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	dir, err := os.MkdirTemp(o.Dir, "realagent-")
	if err != nil {
		return nil, fmt.Errorf("making the real agents' directory: %w", err)
	}
	f := &Fleet{options: o, dir: dir, failed: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.closeOnce = sync.OnceValue(f.close)
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	f.Begin()
	return f, nil
}

// start prepares all agents and brings them up, some at a time.
func (f *Fleet) start(ctx context.Context) error {
	for i, position := range f.options.Agents {
		a, err := f.prepare(i, position)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, a)
	}
	return parallel.ForEach(f.agents, startConcurrency, func(a *agent) error {
		took, err := f.startAndAwaitUp(ctx, a)
		if err == nil {
			f.options.Log.Debug("real agent up", "agent", a.name, "listen", a.listen, "took", took)
		}
		return err
	})
}

// prepare makes an agent's directory, finds its address and writes its configuration.
func (f *Fleet) prepare(i, position int) (*agent, error) {
	a := &agent{
		position: position, busy: i < f.options.Busy, cachedEndpoints: f.options.CachedEndpoints, discovery: f.options.Discovery[position],
		dir: filepath.Join(f.dir, strconv.Itoa(position)),
	}
	if f.options.Relays != nil {
		a.relays = f.options.Relays[position]
	}
	if err := os.MkdirAll(filepath.Join(a.dir, "tmp"), 0o700); err != nil {
		return nil, fmt.Errorf("preparing real agent %d: %w", position, err)
	}
	var err error
	a.listen, err = freeAddr(position)
	if err != nil {
		return nil, fmt.Errorf("preparing real agent %d: %w", position, err)
	}
	text := a.configText(f.options.Config)
	a.name, err = agentName(text)
	if err != nil {
		return nil, fmt.Errorf("preparing real agent %d: %w", position, err)
	}
	return a, a.writeConfig(text)
}

// freeAddr is an address of an agent's own with a port that was free just now, as its configuration has to name one.
func freeAddr(position int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.48.%d.%d:0", position/250, position%250+1))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startAndAwaitUp starts an agent's process and waits until it is up.
func (f *Fleet) startAndAwaitUp(ctx context.Context, a *agent) (time.Duration, error) {
	p, err := a.startProcess(f.ctx, f.options.Program, func(p *process) { f.onExit(a, p) })
	if err != nil {
		return 0, err
	}
	return a.awaitUp(ctx, p)
}

// onExit handles the end of a process. One whose end nobody requested makes the run fail.
func (f *Fleet) onExit(a *agent, p *process) {
	if p.stopRequested.Load() || f.ctx.Err() != nil {
		return
	}
	err := a.errorf("died in the run: %w", exitError(p.err))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil || f.closing {
		return
	}
	f.err = err
	close(f.failed)
	f.options.Log.Error("real agent died", "agent", a.name, "error", err)
}

// Err is the first end of a process that nobody requested, with the agent's name and its last lines, or nil.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Failed is closed when Err is set.
func (f *Fleet) Failed() <-chan struct{} { return f.failed }

// Close asks all agents to end, kills those that do not, and removes their files. Its errors name the agents that did not
// end well; it can be called again and says the same.
func (f *Fleet) Close() error { return f.closeOnce() }

func (f *Fleet) close() error {
	f.mu.Lock()
	f.closing = true
	f.mu.Unlock()
	err := parallel.ForEach(f.agents, maxAgents, func(a *agent) error {
		a.processMu.Lock()
		defer a.processMu.Unlock()
		p := a.currentProcess()
		switch {
		case p == nil:
			return nil
		case f.ctx.Err() != nil: // it is being killed
			<-p.done
			return nil
		}
		return a.stop(p)
	})
	f.cancel()
	if removeErr := os.RemoveAll(f.dir); removeErr != nil {
		err = errors.Join(err, fmt.Errorf("removing the real agents' directory: %w", removeErr))
	}
	return err
}
