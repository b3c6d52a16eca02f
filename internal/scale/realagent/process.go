package realagent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

const (
	upTimeout      = 20 * time.Second // for an agent to be up; the platform's clients come after 30 s
	upPollInterval = 20 * time.Millisecond
	stopTimeout    = 8 * time.Second // after SIGTERM: the longest deadline that the platform counts is 3 s, and the cores are shared
	// stderrGrace is how long the end of a process may be behind it: nobody else holds its standard error.
	stderrGrace  = time.Second
	tailLines    = 12       // of each agent's log
	maxLineBytes = 64 << 10 // bytes; of a longer line only so many are kept
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

	// processMu is held for writing while the process is replaced, and for reading by who needs it to run: clients stop and start
	// with their agent, and a SIGHUP would end a process that has only just begun.
	processMu sync.RWMutex

	mu              sync.Mutex
	process         *process
	revision        int
	cachedEndpoints []byte
	exitedCPU       time.Duration // of processor time, by processes that have ended
	cpuAtStart      time.Duration // of processor time, at Begin
	tail            logTail
	reloadWaiter    chan reloadResult // who waits for the outcome of a SIGHUP
}

// process is one life of an agent.
type process struct {
	cmd           *exec.Cmd
	startedAt     time.Time
	done          chan struct{} // closed when it has ended, its log is read and err is set
	err           error
	stopRequested atomic.Bool // to end
}

// reloadResult is what an agent said of a new configuration.
type reloadResult struct {
	at  time.Time // when its line came
	err error     // it was rejected
}

// config is the agent's whole configuration text as of now, with a fresh seed.
func (a *agent) config(text func(int, world.ConfigOptions) []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return text(a.position, world.ConfigOptions{
		Listen: a.listen, Discovery: a.discovery, Relays: a.relays,
		Revision: a.revision, CachedEndpoints: a.cachedEndpoints, Echo: true, Seed: rand.Uint64(),
	})
}

// writeConfig puts a configuration in the place of the old one in one step, so that no reload sees half of it.
func (a *agent) writeConfig(text []byte) error {
	path := a.configPath()
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("agent %s: %w", a.name, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("agent %s: %w", a.name, err)
	}
	return nil
}

func (a *agent) configPath() string { return filepath.Join(a.dir, "config.json") }

// agentName reads the agent's name out of its configuration.
func agentName(text []byte) (string, error) {
	var head struct{ Name string }
	if err := json.Unmarshal(text, &head); err != nil {
		return "", fmt.Errorf("the configuration to be handed out: %w", err)
	}
	return head.Name, nil
}

// startProcess starts a process on the configuration that is in place. It is killed when the context ends, and with the process
// that started it, however that comes. What is to be done at its end is called before its done is closed.
func (a *agent) startProcess(ctx context.Context, bin string, ended func(*process)) (*process, error) {
	cmd := exec.CommandContext(ctx, bin)
	cmd.Env = []string{ // no more than the platform gives
		"GW_CONFIG=" + a.configPath(), "GW_NAME=" + a.name, "GW_LISTEN=" + a.listen, "GW_DISCOVERY=" + a.discovery,
		"TMPDIR=" + filepath.Join(a.dir, "tmp"),
	}
	cmd.Dir = a.dir
	cmd.Stderr = &lineWriter{each: a.onLogLine}
	cmd.WaitDelay = stderrGrace
	// A group of its own: a terminal's interrupt is the parent's to pass on.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p := &process{cmd: cmd, startedAt: time.Now(), done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("agent %s: %w", a.name, err)
	}
	a.mu.Lock()
	a.process = p
	a.mu.Unlock()
	go func() {
		p.err = cmd.Wait()
		a.mu.Lock()
		a.exitedCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		a.process = nil
		a.mu.Unlock()
		ended(p)
		close(p.done)
	}()
	return p, nil
}

// running is the present process, or nil.
func (a *agent) running() *process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process
}

// awaitUp waits until the agent takes clients, for a bounded time, and returns how long that took from the process's
// beginning.
func (a *agent) awaitUp(ctx context.Context, p *process) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, upTimeout)
	defer cancel()
	look := time.NewTicker(upPollInterval)
	defer look.Stop()
	said := "nothing"
	for {
		select {
		case <-p.done:
			return 0, a.errorf("ended before it was up: %w", exitError(p.err))
		case <-ctx.Done():
			return 0, a.errorf("not up after %v (/up: %s): %w", time.Since(p.startedAt).Round(time.Millisecond), said, ctx.Err())
		case <-look.C:
		}
		if said = queryUp(ctx, a.listen); said == upStatus {
			return time.Since(p.startedAt), nil
		}
	}
}

const upStatus = "200"

// queryUp asks an agent whether it takes clients and returns its status, or why there is none.
func queryUp(ctx context.Context, addr string) string {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	answer, err := newHTTPConn(c).roundTrip([]byte("GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"))
	if err != nil {
		return err.Error()
	}
	if answer.status == http.StatusOK {
		return upStatus
	}
	return fmt.Sprintf("%d %s", answer.status, bytes.TrimSpace(answer.body))
}

// stop asks a process to end, and kills it if it does not.
func (a *agent) stop(p *process) error {
	p.stopRequested.Store(true)
	p.cmd.Process.Signal(syscall.SIGTERM) // one that has ended is heard of by done
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.cmd.Process.Kill()
		<-p.done
		return a.errorf("did not end within %v of SIGTERM", stopTimeout)
	}
	if p.err != nil {
		return a.errorf("ended badly after SIGTERM: %w", p.err)
	}
	return nil
}

// errorf makes an error that names the agent and carries its last lines.
func (a *agent) errorf(format string, args ...any) error {
	err := fmt.Errorf("agent %s "+format, append([]any{a.name}, args...)...)
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.tail.text(); last != "" {
		return fmt.Errorf("%w; its last lines:\n%s", err, last)
	}
	return fmt.Errorf("%w; it has logged nothing", err)
}

// exitError names an end without an error.
func exitError(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// onLogLine takes in a line of the agent's log.
func (a *agent) onLogLine(at time.Time, line string) {
	fields := logFields(line)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tail.add(line)
	if a.reloadWaiter == nil {
		return
	}
	r := reloadResult{at: at}
	switch msg := fields["msg"]; {
	case msg == "reloaded":
	case strings.HasPrefix(msg, "not reloaded"):
		r.err = fmt.Errorf("%s: %s", msg, fields["error"])
	default:
		return
	}
	a.reloadWaiter <- r // it holds one
	a.reloadWaiter = nil
}

// expectReload has the next line on a reload sent to the channel it returns.
func (a *agent) expectReload() <-chan reloadResult {
	told := make(chan reloadResult, 1)
	a.mu.Lock()
	a.reloadWaiter = told
	a.mu.Unlock()
	return told
}

// logTail keeps the last lines of a log.
type logTail struct {
	lines [tailLines]string
	n     int // lines ever
}

func (r *logTail) add(line string) {
	r.lines[r.n%tailLines] = line
	r.n++
}

func (r *logTail) text() string {
	var b strings.Builder
	for i := max(0, r.n-tailLines); i < r.n; i++ {
		fmt.Fprintf(&b, "  %s\n", r.lines[i%tailLines])
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// lineWriter hands on what is written to it line by line, with the time at which it came. What follows the last line's end
// stays with it until the next write.
type lineWriter struct {
	each func(at time.Time, line string)
	rest []byte
}

func (l *lineWriter) Write(p []byte) (int, error) {
	at := time.Now()
	for rest := p; len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		l.rest = append(l.rest, line[:min(len(line), maxLineBytes-len(l.rest))]...)
		if ended {
			l.each(at, string(l.rest))
			l.rest = l.rest[:0]
		}
		rest = after
	}
	return len(p), nil
}

// logFields reads a line of slog's text form: key=value, values quoted where they need it. What has another form, a
// panic's say, has no fields.
func logFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			break
		}
		value, after := cutValue(rest)
		fields[key] = value
		line = strings.TrimPrefix(after, " ")
	}
	return fields
}

// cutValue cuts the value off the beginning of what follows a key.
func cutValue(text string) (value, rest string) {
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	if value, err = strconv.Unquote(quoted); err != nil {
		value = quoted
	}
	return value, text[len(quoted):]
}
