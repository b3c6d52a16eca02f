// Package role starts the parts of a scale run as processes of their own, so that the cost of each can be measured, and
// calls them by net/rpc over their standard input and output. All parts end with the process that started them. The
// package knows nothing of what a part does.
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

// Env names the part that a process is to be; a program that finds it set calls Serve before anything else.
const Env = "SCALE_ROLE"

// The parts, by the names that Env, printed results and errors have for them.
const (
	Control         = "control"
	Relay           = "relay"
	SimulatedAgents = "hollow"
)

// stopTimeout is how long a part may take to end after its input, before it is killed.
const stopTimeout = 2 * time.Second

// Child is a part that runs. A goroutine waits for the process; mu guards how it ended.
type Child struct {
	Role  string
	cmd   *exec.Cmd
	rpc   *rpc.Client
	stdin io.Closer
	done  chan struct{}
	mu    sync.Mutex
	err   error // how it ended
}

// Start runs this program again as a part. It is killed if the starter dies, however that comes.
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
	go func() { // ends with the process
		err := cmd.Wait()
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(c.done)
	}()
	return c, nil
}

// PID is the process's number.
func (c *Child) PID() int { return c.cmd.Process.Pid }

// Done is closed when the part has ended.
func (c *Child) Done() <-chan struct{} { return c.done }

// Call calls a method such as "Control.Change" and waits for its reply, for as long as the context lasts.
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

// Kill ends the part at once, as a crash of its machine would.
func (c *Child) Kill() {
	_ = c.cmd.Process.Kill() // it fails only for a process that has ended
	<-c.done
}

// Close ends the part's input, by which it ends, and waits for that; one that does not is killed.
func (c *Child) Close() error {
	_ = c.stdin.Close() // closed already where the process has ended
	select {
	case <-c.done:
	case <-time.After(stopTimeout):
		c.Kill()
		return fmt.Errorf("%s did not end within %v", c.Role, stopTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var exit *exec.ExitError
	if errors.As(c.err, &exit) {
		return fmt.Errorf("%s: %w", c.Role, c.err)
	}
	return nil
}

// Serve is the part's side: it offers a receiver's methods under a name until the standard input ends. What the part
// prints for people goes to standard error.
func Serve(name string, receiver any) error {
	s := rpc.NewServer()
	if err := s.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("serving %s: %w", name, err)
	}
	s.ServeConn(stdio{os.Stdin, os.Stdout})
	return nil
}

// stdio joins two one-way streams.
type stdio struct {
	io.ReadCloser
	io.WriteCloser
}

// Close closes both streams.
func (p stdio) Close() error { return errors.Join(p.WriteCloser.Close(), p.ReadCloser.Close()) }
