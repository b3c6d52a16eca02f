package realagent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	upTimeout      = 20 * time.Second // less than the 30 s after which the platform's clients start
	upPollInterval = 20 * time.Millisecond
	stopTimeout    = 8 * time.Second // more than the platform's longest deadline of 3 s, because the processes share the cores
	// stderrGrace bounds the wait for the end of standard error after a process has ended. It is short because no other
	// process has it open.
	stderrGrace = time.Second
)

// process is one incarnation of an agent. A goroutine waits for its exit.
type process struct {
	cmd           *exec.Cmd
	startedAt     time.Time
	done          chan struct{} // closed when the process has ended, its log is read and err is set
	err           error
	stopRequested atomic.Bool
}

// startProcess starts a process with the current configuration file. The process is killed when ctx ends or this
// process ends for any reason. onExit is called before done is closed.
func (a *agent) startProcess(ctx context.Context, program string, onExit func(*process)) (*process, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = []string{ // only what the platform sets
		"GW_CONFIG=" + a.configPath(), "GW_NAME=" + a.name, "GW_LISTEN=" + a.listen, "GW_DISCOVERY=" + a.discovery,
		"TMPDIR=" + filepath.Join(a.dir, "tmp"),
	}
	cmd.Dir = a.dir
	cmd.Stderr = &lineWriter{onLine: a.onLogLine}
	cmd.WaitDelay = stderrGrace
	// The process gets a separate process group, so that an interrupt from the terminal reaches only the parent.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p := &process{cmd: cmd, startedAt: time.Now(), done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting agent %s: %w", a.name, err)
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
		onExit(p)
		close(p.done)
	}()
	return p, nil
}

// currentProcess returns the running process, or nil.
func (a *agent) currentProcess() *process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process
}

// awaitUp waits until the agent accepts clients, for at most upTimeout, and returns the time since the process started.
func (a *agent) awaitUp(ctx context.Context, p *process) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, upTimeout)
	defer cancel()
	poll := time.NewTicker(upPollInterval)
	defer poll.Stop()
	status := "nothing"
	for {
		select {
		case <-p.done:
			return 0, a.errorf("ended before it was up: %w", exitError(p.err))
		case <-ctx.Done():
			return 0, a.errorf("not up after %v (/up: %s): %w", time.Since(p.startedAt).Round(time.Millisecond), status, ctx.Err())
		case <-poll.C:
		}
		status = queryUp(ctx, a.listen)
		if status == upStatus {
			return time.Since(p.startedAt), nil
		}
	}
}

const upStatus = "200"

// queryUp sends a request for /up and returns the status that shows whether the agent accepts clients, or the error
// text.
func queryUp(ctx context.Context, addr string) string {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	response, err := newHTTPConn(c).roundTrip([]byte("GET /up HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n"))
	if err != nil {
		return err.Error()
	}
	if response.status == http.StatusOK {
		return upStatus
	}
	return fmt.Sprintf("%d %s", response.status, bytes.TrimSpace(response.body))
}

// stop sends SIGTERM to a process, and kills it if it does not end within stopTimeout.
func (a *agent) stop(p *process) error {
	p.stopRequested.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has ended
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill() // fails only if the process has ended
		<-p.done
		return a.errorf("did not end within %v of SIGTERM", stopTimeout)
	}
	if p.err != nil {
		return a.errorf("exited with an error after SIGTERM: %w", p.err)
	}
	return nil
}

// errExitStatusZero is reported when a process that should still run has exited without an error.
var errExitStatusZero = errors.New("exit status 0")

func exitError(err error) error {
	if err == nil {
		return errExitStatusZero
	}
	return err
}
