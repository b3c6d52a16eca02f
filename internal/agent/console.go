package agent

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
	mostCallers = 8               // connections to the console at once
	callTime    = 2 * time.Second // for a call, from connecting to the last byte of its answer
	maxCallLine = 256             // bytes
)

// console answers the operators' calls, one line to a connection. It has connections of its own and asks neither the
// loop nor admission, so that it answers while both are at their limits.
type console struct {
	listener net.Listener
	calls    map[string]func(io.Writer) error // an error is answered with fail and why

	mu      sync.Mutex
	callers []net.Conn // the longest here first
}

func listenConsole(ctx context.Context, addr string, calls map[string]func(io.Writer) error) (*console, error) {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("the console: %w", err)
	}
	return &console{listener: l, calls: calls}, nil
}

// serve answers calls until the console is closed.
func (c *console) serve() {
	for {
		caller, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors are short: the next caller may find one
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.admit(caller)
		go func() {
			defer c.leave(caller)
			caller.SetDeadline(time.Now().Add(callTime))
			c.answer(caller)
		}()
	}
}

func (c *console) close() { c.listener.Close() }

// admit makes room for a caller. Danger: callers that connect and say nothing would keep all others out.
func (c *console) admit(caller net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers = append(c.callers, caller)
	if len(c.callers) > mostCallers {
		c.callers[0].Close()
		c.callers = c.callers[1:]
	}
}

func (c *console) leave(caller net.Conn) {
	caller.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.callers {
		if o == caller {
			c.callers = append(c.callers[:i:i], c.callers[i+1:]...)
			return
		}
	}
}

// answer reads a call and answers it.
func (c *console) answer(caller net.Conn) {
	line, err := bufio.NewReaderSize(caller, maxCallLine).ReadSlice('\n')
	out := bufio.NewWriter(caller)
	defer out.Flush()
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		fmt.Fprintf(out, "fail a call has at most %d bytes\n", maxCallLine)
		return
	case err != nil:
		fmt.Fprintln(out, "fail no whole line came")
		return
	}
	name := strings.TrimSpace(string(line))
	call := c.calls[name]
	if call == nil {
		fmt.Fprintf(out, "fail unknown call %q\n", name)
		return
	}
	var text strings.Builder // an answer is known whole before its first word
	if err := call(&text); err != nil {
		fmt.Fprintf(out, "fail %v\n", err)
		return
	}
	fmt.Fprintf(out, "ok\n%s", text.String())
}
