// Package role starts the child processes of a scale run, one per role, so that the cost of each can be measured, and
// calls them by net/rpc over their standard input and output. All child processes end with the process that started
// them. The package does not depend on what a role does.
package role

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Env is the environment variable with the role of a child process. A program that finds it set must call Serve before
// it does anything else.
const Env = "SCALE_ROLE"

// These are the roles, as they appear in Env, printed results and errors.
const (
	Control         = "control"
	Relay           = "relay"
	SimulatedAgents = "hollow"
)

// stopTimeout is how long a child process may run after its standard input is closed, before it is killed.
const stopTimeout = 2 * time.Second

// Child is a child process. A goroutine waits for the process to end; mu guards err.
type Child struct {
	Role  string
	cmd   *exec.Cmd
	rpc   *rpc.Client
	stdin io.Closer
	done  chan struct{}
	mu    sync.Mutex
	err   error // from exec.Cmd.Wait; set before done is closed
}

// Start runs this program again as a child process with the given role. The child is killed when ctx is done or when
// the process that started it dies for any reason.
func Start(ctx context.Context, role string, stderr io.Writer) (*Child, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	cmd := exec.CommandContext(ctx, exe)
	cmd.Env = append(os.Environ(), Env+"="+role)
	cmd.Stderr = stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", role, err)
	}
	c := &Child{Role: role, cmd: cmd, stdin: stdin, done: make(chan struct{})}
	c.rpc = rpc.NewClient(stdio{stdout, stdin})
	go func() { // returns when the process ends
		err := cmd.Wait()
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(c.done)
	}()
	return c, nil
}

// PID returns the process ID.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (c *Child) Done() <-chan struct{} { return c.done }

// Call calls a method such as "Control.Change" and waits for its reply or until ctx is done.
func (c *Child) Call(ctx context.Context, method string, args, reply any) error {
	call := c.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return fmt.Errorf("%s: %w", method, call.Error)
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%s: %w", method, ctx.Err())
	}
}

// Kill kills the process, which simulates a crash of its machine, and waits until it has ended.
func (c *Child) Kill() {
	_ = c.cmd.Process.Kill() // fails only if the process has already ended
	<-c.done
}

// Close closes the standard input of the process, which makes it end, and waits for that. If the process is still
// running after stopTimeout, Close kills it and returns an error. Close also returns an error if the process exited
// unsuccessfully.
func (c *Child) Close() error {
	_ = c.stdin.Close() // fails only if it is already closed because the process has ended
	select {
	case <-c.done:
	case <-time.After(stopTimeout):
		c.Kill()
		return fmt.Errorf("%s did not exit within %v after its standard input was closed", c.Role, stopTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var exit *exec.ExitError
	if errors.As(c.err, &exit) {
		return fmt.Errorf("%s: %w", c.Role, c.err)
	}
	return nil
}

// Serve runs in the child process. It serves the methods of receiver under a net/rpc name until standard input ends.
// The child must print its own output to standard error, because standard output carries the replies.
func Serve(name string, receiver any) error {
	s := rpc.NewServer()
	if err := s.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("serving %s: %w", name, err)
	}
	s.ServeConn(stdio{os.Stdin, os.Stdout})
	return nil
}

// stdio combines two one-way streams into an io.ReadWriteCloser.
type stdio struct {
	io.ReadCloser
	io.WriteCloser
}

// Close closes both streams.
func (p stdio) Close() error { return errors.Join(p.WriteCloser.Close(), p.ReadCloser.Close()) }
