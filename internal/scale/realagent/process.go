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
	upTimeout      = 20 * time.Second // less than the 30 s after which the platform's clients come
	upPollInterval = 20 * time.Millisecond
	stopTimeout    = 8 * time.Second // more than the platform's longest deadline of 3 s, as the cores are shared
	// stderrGrace bounds the wait for standard error behind the end of a process: nobody else holds it.
	stderrGrace = time.Second
)

// process is one incarnation of an agent. A goroutine waits for it.
type process struct {
	cmd           *exec.Cmd
	startedAt     time.Time
	done          chan struct{} // closed when it has ended, its log is read and err is set
	err           error
	stopRequested atomic.Bool
}

// startProcess starts a process on the configuration that is in place. It is killed when the context ends, and with the
// process that started it, however that comes. onExit is called before its done is closed.
func (a *agent) startProcess(ctx context.Context, program string, onExit func(*process)) (*process, error) {
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = []string{ // no more than the platform gives
		"GW_CONFIG=" + a.configPath(), "GW_NAME=" + a.name, "GW_LISTEN=" + a.listen, "GW_DISCOVERY=" + a.discovery,
		"TMPDIR=" + filepath.Join(a.dir, "tmp"),
	}
	cmd.Dir = a.dir
	cmd.Stderr = &lineWriter{onLine: a.onLogLine}
	cmd.WaitDelay = stderrGrace
	// A process group of its own, as a terminal's interrupt is the parent's to pass on.
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

// currentProcess is the present process, or nil.
func (a *agent) currentProcess() *process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.process
}

// awaitUp waits until the agent takes clients, for a bounded time, and returns how long that took from the process's start.
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

// queryUp asks an agent whether it takes clients and returns its status, or why there is none.
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

// stop asks a process to end, and kills it if it does not in time.
func (a *agent) stop(p *process) error {
	p.stopRequested.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it fails only for a process that has ended
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill() // likewise
		<-p.done
		return a.errorf("did not end within %v of SIGTERM", stopTimeout)
	}
	if p.err != nil {
		return a.errorf("ended badly after SIGTERM: %w", p.err)
	}
	return nil
}

// errExitStatusZero is the end of a process without an error, where it should not have ended.
var errExitStatusZero = errors.New("exit status 0")

func exitError(err error) error {
	if err == nil {
		return errExitStatusZero
	}
	return err
}
