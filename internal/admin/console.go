// Package admin serves the operators' console. A command is one line of text, and its reply begins with ok or fail.
package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"example.org/ryeloft/internal/fairshare"
)

const (
	// MaxLineBytes is the maximum length of a command line, including the newline.
	MaxLineBytes = 256

	maxConns       = 8
	commandTimeout = 2 * time.Second // from accepting a connection to the last byte of its reply
	// acceptBackoff is the delay after a failed accept, which mostly fails for lack of file descriptors.
	acceptBackoff = 10 * time.Millisecond
)

// Command runs one command and writes its reply. If it returns an error, the reply is fail and the error's text.
type Command func(io.Writer) error

// Console serves commands, one per connection. It owns its listener and its connections. It shares no limit with client
// connections, so that it responds while the agent is overloaded.
type Console struct {
	listener net.Listener
	commands map[string]Command
	// scheduler shares the processor between the connections; nil if none waits for it.
	scheduler *fairshare.Scheduler

	mu    sync.Mutex
	conns []net.Conn // oldest first; guarded by mu
}

// Listen opens a console on a TCP address. It serves no commands before Serve is called.
func Listen(ctx context.Context, addr string, commands map[string]Command, scheduler *fairshare.Scheduler) (*Console, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("opening the console: %w", err)
	}
	return &Console{listener: l, commands: commands, scheduler: scheduler}, nil
}

// Addr returns the console's address.
func (c *Console) Addr() net.Addr { return c.listener.Addr() }

// Serve serves commands until the console is closed. It does not wait for commands that are still running then:
// commandTimeout bounds them, and their effects do not outlive the process.
func (c *Console) Serve() {
	account := c.scheduler.Accepting()
	for {
		account.Await()
		conn, err := c.listener.Accept()
		account.Start()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		caller := c.scheduler.Accepted()
		account.Pause()
		caller.AwaitFirst() // not in a goroutine of its own, of which there could be any number
		conn = fairshare.NewConn(conn, caller)
		c.add(conn)
		go func() {
			defer c.remove(conn)
			conn.SetDeadline(time.Now().Add(commandTimeout))
			c.handle(conn)
		}()
	}
}

// Close closes the listener, which ends Serve.
func (c *Console) Close() { c.listener.Close() }

// add registers a connection. If there are more than maxConns, it closes the oldest one, because callers that connect
// and send nothing would otherwise lock out all others.
func (c *Console) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	if len(c.conns) > maxConns {
		c.conns[0].Close()
		c.conns = c.conns[1:]
	}
}

func (c *Console) remove(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.conns {
		if other == conn {
			c.conns = append(c.conns[:i:i], c.conns[i+1:]...)
			return
		}
	}
}

// handle reads one command and writes its reply.
func (c *Console) handle(conn net.Conn) {
	line, err := bufio.NewReaderSize(conn, MaxLineBytes).ReadSlice('\n')
	// A write error needs no handling: a caller that does not read its reply sees the connection close.
	_, _ = io.WriteString(conn, c.reply(line, err))
}

// reply returns the complete reply to a line, or to the error from reading it.
func (c *Console) reply(line []byte, err error) string {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Sprintf("fail a call has at most %d bytes\n", MaxLineBytes)
	case err != nil:
		return "fail no whole line came\n"
	}
	name := strings.TrimSpace(string(line))
	command := c.commands[name]
	if command == nil {
		return fmt.Sprintf("fail unknown call %q\n", name)
	}
	var text strings.Builder
	if err := command(&text); err != nil {
		return fmt.Sprintf("fail %v\n", err)
	}
	return "ok\n" + text.String()
}
