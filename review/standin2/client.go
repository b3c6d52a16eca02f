package standin2

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a request of a client.
type Call struct {
	Class, Method string
	ID, Key       string
	Budget        time.Duration
	Body          []byte
}

// NewID returns a fresh id.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Bytes returns the request as it is sent.
func (c *Call) Bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n",
		c.Method, c.Class, NewID(), c.ID, c.Class, c.Budget.Milliseconds())
	if c.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.Key)
	}
	if c.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

// Answer is what a client got. Err is set if there was no whole answer.
type Answer struct {
	Status int
	Body   []byte
	Took   time.Duration
	Err    error
}

// ErrUnread is wrapped by the error of a connection that was closed or reset before any byte of an answer.
var ErrUnread = errors.New("closed without an answer")

// Client keeps connections to an agent, sends one request at a time on each, and opens more when all are busy. If a close
// crosses a request on a kept connection, it sends the request once more on a new one.
type Client struct {
	Addr string
	// Patience is how long a client waits for the rest of an answer that has begun; 0: half a second beyond its budget.
	Patience time.Duration

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// Dial opens a connection.
func (c *Client) Dial() (net.Conn, error) { return net.DialTimeout("tcp", c.Addr, time.Second) }

func (c *Client) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

// Do sends a request and waits for its answer, up to half a second beyond its budget.
func (c *Client) Do(call *Call) Answer {
	if conn := c.take(); conn != nil {
		answer := c.exchange(conn, call)
		if !errors.Is(answer.Err, ErrUnread) {
			return answer
		}
	}
	raw, err := c.Dial()
	if err != nil {
		return Answer{Err: err}
	}
	return c.exchange(&clientConn{raw, bufio.NewReader(raw)}, call)
}

func (c *Client) exchange(conn *clientConn, call *Call) Answer {
	start := time.Now()
	_ = conn.SetDeadline(start.Add(call.Budget + 500*time.Millisecond)) // fails only on a closed connection
	answer := c.exchangeOn(conn, call)
	answer.Took = time.Since(start)
	if answer.Err != nil || answer.Status < 0 {
		conn.Close()
		answer.Status = max(answer.Status, -answer.Status)
		return answer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
	return answer
}

// exchangeOn returns the negative status if the connection is to close.
func (c *Client) exchangeOn(conn *clientConn, call *Call) Answer {
	if _, err := conn.Write(call.Bytes()); err != nil {
		return Answer{Err: fmt.Errorf("%w: %w", ErrUnread, err)}
	}
	if _, err := conn.in.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return Answer{Err: err}
		}
		return Answer{Err: fmt.Errorf("%w: %w", ErrUnread, err)}
	}
	if c.Patience > 0 {
		_ = conn.SetDeadline(time.Now().Add(c.Patience)) // fails only on a closed connection
	}
	return ReadAnswer(conn.in)
}

// ReadAnswer reads one answer. The status is negative if the connection is to close.
func ReadAnswer(in *bufio.Reader) Answer {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Status: response.StatusCode, Body: body, Err: err}
	}
	if response.Close {
		return Answer{Status: -response.StatusCode, Body: body}
	}
	return Answer{Status: response.StatusCode, Body: body}
}
