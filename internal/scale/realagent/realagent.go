// Package realagent runs real agents as processes alongside the simulated agents of a scale run, for comparison with
// them: some dozens, each with its own files and loopback address. It measures the cost of control traffic for these
// agents and the latency that they add to a call.
//
// A Fleet owns the agents. Its mutex guards the measurements, and each agent's mutexes guard its process and
// configuration. A goroutine waits for each process. The package controls an agent only by its configuration file and
// by signals.
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
	maxInForceMillis = 120_000 // the histograms' upper bound; longer times count as this
)

// Options configures a Fleet: which agents are real, and the addresses that they use.
type Options struct {
	// Config renders the configuration of an agent of the world, such as (*world.World).Config.
	Config func(agent int, o world.ConfigOptions) []byte
	Agents []int // positions in the world
	// Busy is the number of agents that receive the calls of MeasureAdded, counted from the first; 0: half of them,
	// rounded up. The others are idle, so that their cost is that of control traffic alone.
	Busy            int
	Echo            []string   // addresses of the echo servers, for direct calls
	Program         string     // path of the agent binary
	Dir             string     // parent of the fleet's temporary directory; empty: the system's default
	Discovery       []string   // addresses by position in the world
	Relays          [][]string // addresses by position in the world; nil: none
	CachedEndpoints []byte     // the list with which the agents start, in discovery's format; nil: none
	Log             *slog.Logger
}

// validate returns an error if the options are invalid.
func (o *Options) validate() error {
	if n := len(o.Agents); n == 0 || n > maxAgents {
		return fmt.Errorf("%d real agents: must be from 1 to %d", n, maxAgents)
	}
	if o.Busy < 0 || o.Busy > len(o.Agents) {
		return fmt.Errorf("%d busy agents of %d real agents", o.Busy, len(o.Agents))
	}
	for i, a := range o.Agents {
		if a < 0 || a >= len(o.Discovery) || o.Relays != nil && a >= len(o.Relays) {
			return fmt.Errorf("real agent %d has no address for discovery or relays", a)
		}
		if slices.Contains(o.Agents[:i], a) {
			return fmt.Errorf("real agent %d is given twice", a)
		}
	}
	return nil
}

// Fleet runs the real agents of a scale run.
type Fleet struct {
	options   Options
	dir       string
	agents    []*agent
	ctx       context.Context // of the processes
	cancel    context.CancelFunc
	closeOnce func() error

	configureMu sync.Mutex // serializes configuration changes

	mu            sync.Mutex // guards the fields below
	closing       bool
	err           error
	failed        chan struct{}
	startedAt     time.Time // start of the measurement period, from which the fields below count
	configInForce *result.Histogram
	changes       []ConfigChange
	startupTimes  *result.Histogram
}

// Start starts the agents and waits until all are up. If an agent does not come up, Start ends all of them and returns
// an error with its name and last log lines. All processes end when ctx is done or this process ends for any reason.
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
		return nil, fmt.Errorf("creating the real agents' directory: %w", err)
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

// start prepares all agents and starts them, startConcurrency at a time.
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

// prepare creates an agent's directory, finds its address and writes its configuration.
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

// freeAddr returns an agent's separate loopback address with a port that is currently free, because the configuration
// must name a port.
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

// onExit handles the exit of a process. An exit that was not requested is recorded as the fleet's error.
func (f *Fleet) onExit(a *agent, p *process) {
	if p.stopRequested.Load() || f.ctx.Err() != nil {
		return
	}
	err := a.errorf("died during the run: %w", exitError(p.err))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil || f.closing {
		return
	}
	f.err = err
	close(f.failed)
	f.options.Log.Error("real agent died", "agent", a.name, "error", err)
}

// Err returns the error of the first process that exited without a request, with the agent's name and last log lines,
// or nil.
func (f *Fleet) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Failed returns a channel that is closed when Err is set.
func (f *Fleet) Failed() <-chan struct{} { return f.failed }

// Close stops all agents, kills those that do not end in time, and removes their files. Its errors name the agents that
// did not end cleanly. Further calls return the same error.
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
