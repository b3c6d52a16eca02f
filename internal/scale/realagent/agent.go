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

// The agent's log messages about a reload, which show whether a configuration is in force.
const (
	reloadedMessage       = "configuration reloaded"
	reloadRejectedMessage = "configuration reload rejected"
)

// agent is one real agent: its files, its log and its current process.
type agent struct {
	position  int // in the world
	name      string
	dir       string
	listen    string
	discovery string
	relays    []string
	busy      bool // it receives calls

	calls    atomic.Int64 // since Begin
	restarts atomic.Int64 // since Begin

	// processMu is locked for writing while the process is replaced, and for reading while it must not be: clients
	// pause while their agent restarts, and a SIGHUP would end a process that has only just started.
	processMu sync.RWMutex

	mu              sync.Mutex // guards the fields below
	process         *process
	revision        int
	cachedEndpoints []byte
	exitedCPU       time.Duration // CPU time of processes that have ended
	cpuAtStart      time.Duration // CPU time at Begin
	tail            logTail
	reloadWaiter    chan reloadResult // of capacity 1; nil if no caller waits
}

// reloadResult is the outcome of a reload, as the agent logged it.
type reloadResult struct {
	at  time.Time // when the log line was read
	err error     // why the configuration was rejected, or nil
}

// configText renders the agent's current configuration with a new random seed.
func (a *agent) configText(render func(int, world.ConfigOptions) []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return render(a.position, world.ConfigOptions{
		Listen: a.listen, Discovery: a.discovery, Relays: a.relays,
		Revision: a.revision, CachedEndpoints: a.cachedEndpoints, Echo: true, Seed: rand.Uint64(),
	})
}

// writeConfig replaces the configuration file atomically, so that no reload reads a partial file.
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

// agentName returns the agent's name from its configuration.
func agentName(text []byte) (string, error) {
	var head struct{ Name string }
	if err := json.Unmarshal(text, &head); err != nil {
		return "", fmt.Errorf("reading the name from a configuration: %w", err)
	}
	return head.Name, nil
}

// errorf returns an error with the agent's name and its last log lines.
func (a *agent) errorf(format string, args ...any) error {
	err := fmt.Errorf("agent %s "+format, append([]any{a.name}, args...)...)
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.tail.text(); last != "" {
		return fmt.Errorf("%w; last lines of its log:\n%s", err, last)
	}
	return fmt.Errorf("%w; it has logged nothing", err)
}

// onLogLine adds a line to the agent's log tail and sends the result of a reload to the caller that waits for it.
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

// expectReload returns a channel that receives the result of the next reload.
func (a *agent) expectReload() <-chan reloadResult {
	results := make(chan reloadResult, 1)
	a.mu.Lock()
	a.reloadWaiter = results
	a.mu.Unlock()
	return results
}
