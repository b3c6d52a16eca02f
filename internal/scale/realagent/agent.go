package realagent

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// The agent's log messages about a reload, by which a configuration is known to be in force.
const (
	reloadedMessage       = "configuration reloaded"
	reloadRejectedMessage = "configuration reload rejected"
)

// agent is one real agent: its files, its log and the process that runs now.
type agent struct {
	position  int // in the world
	name      string
	dir       string
	listen    string
	discovery string
	relays    []string
	busy      bool // it gets calls

	calls    atomic.Int64 // since Begin, as the restarts
	restarts atomic.Int64

	// processMu is held for writing while the process is replaced, and for reading while it must stay: clients stop with
	// their agent, and a SIGHUP would end a process that has only just begun.
	processMu sync.RWMutex

	mu              sync.Mutex // guards what follows
	process         *process
	revision        int
	cachedEndpoints []byte
	exitedCPU       time.Duration // processor time of processes that have ended
	cpuAtStart      time.Duration // processor time when the measured part began
	tail            logTail
	reloadWaiter    chan reloadResult // holds one; nil: nobody waits
}

// reloadResult is what an agent logged of a new configuration.
type reloadResult struct {
	at  time.Time // when the line came
	err error     // it was rejected
}

// configText is the agent's whole configuration as of now, with a fresh seed.
func (a *agent) configText(render func(int, world.ConfigOptions) []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return render(a.position, world.ConfigOptions{
		Listen: a.listen, Discovery: a.discovery, Relays: a.relays,
		Revision: a.revision, CachedEndpoints: a.cachedEndpoints, Echo: true, Seed: rand.Uint64(),
	})
}

// writeConfig replaces the configuration file in one step, so that no reload reads half of it.
func (a *agent) writeConfig(text []byte) error {
	path := a.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("writing the configuration of agent %s: %w", a.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("replacing the configuration of agent %s: %w", a.name, err)
	}
	return nil
}

func (a *agent) configPath() string { return filepath.Join(a.dir, "config.json") }

// agentName reads the agent's name out of its configuration.
func agentName(text []byte) (string, error) {
	var head struct{ Name string }
	if err := json.Unmarshal(text, &head); err != nil {
		return "", fmt.Errorf("reading the name in a configuration: %w", err)
	}
	return head.Name, nil
}

// errorf makes an error that names the agent and carries its last log lines.
func (a *agent) errorf(format string, args ...any) error {
	err := fmt.Errorf("agent %s "+format, append([]any{a.name}, args...)...)
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.tail.text(); last != "" {
		return fmt.Errorf("%w; its last lines:\n%s", err, last)
	}
	return fmt.Errorf("%w; it has logged nothing", err)
}

// onLogLine takes in a line of the agent's log, and hands what it says of a reload to who waits for that.
func (a *agent) onLogLine(at time.Time, line string) {
	fields := logFields(line)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tail.add(line)
	if a.reloadWaiter == nil {
		return
	}
	r := reloadResult{at: at}
	message := fields["msg"]
	switch message {
	case reloadedMessage:
	case reloadRejectedMessage:
		r.err = fmt.Errorf("%s: %s", message, fields["error"])
	default:
		return
	}
	a.reloadWaiter <- r
	a.reloadWaiter = nil
}

// expectReload returns a channel to which the next result of a reload is sent.
func (a *agent) expectReload() <-chan reloadResult {
	results := make(chan reloadResult, 1)
	a.mu.Lock()
	a.reloadWaiter = results
	a.mu.Unlock()
	return results
}
