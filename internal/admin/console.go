// Package admin serves the operators' console: one line of text is a command, and its answer begins with ok or fail.
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
)

const (
	// MaxLineBytes is how long a line may be, its end included.
	MaxLineBytes = 256

	maxConns       = 8
	commandTimeout = 2 * time.Second // from accepting a connection to the last byte of its answer
	// acceptBackoff is how long to wait when no connection can be accepted, mostly for want of descriptors.
	acceptBackoff = 10 * time.Millisecond
)

// Command carries out one command and writes its answer. An error is answered with fail and its text.
type Command func(io.Writer) error

// Console answers commands, one to a connection. It owns its listener and its connections, which its mutex guards, and
// shares no limit with the clients' connections, so that it answers while the agent is overloaded.
type Console struct {
	listener net.Listener
	commands map[string]Command

	mu    sync.Mutex
	conns []net.Conn // the oldest first
}

// Listen opens a console. It answers once Serve runs.
func Listen(ctx context.Context, addr string, commands map[string]Command) (*Console, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("the console: %w", err)
	}
	return &Console{listener: l, commands: commands}, nil
}

// Addr is the console's address.
func (c *Console) Addr() net.Addr { return c.listener.Addr() }

// Serve answers commands until the console is closed. It does not wait for the commands that are being answered then:
// commandTimeout bounds them, and they change nothing that outlives the process.
func (c *Console) Serve() {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		c.add(conn)
		go func() {
			defer c.remove(conn)
			conn.SetDeadline(time.Now().Add(commandTimeout))
			c.handle(conn)
		}()
	}
}

// Close ends Serve.
func (c *Console) Close() { c.listener.Close() }

// add takes in a connection. The oldest one is closed if there are too many, because callers that connect and send
// nothing would otherwise keep all others out.
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

// handle reads a command and answers it.
func (c *Console) handle(conn net.Conn) {
	line, err := bufio.NewReaderSize(conn, MaxLineBytes).ReadSlice('\n')
	// A caller that does not read its answer sees the connection close.
	_, _ = io.WriteString(conn, c.answer(line, err))
}

// answer returns the complete answer to a line, or to the error of reading it.
func (c *Console) answer(line []byte, err error) string {
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
