package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// NewID returns a fresh id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Request is a request of the application.
type Request struct {
	ID     string
	Class  string
	Key    string
	Budget time.Duration
	Body   []byte
}

// Head returns the request line and the headers, without the empty line and without the framing of the body.
func (r *Request) Head() string {
	method := "POST"
	if r.Class == "plant-lookup" || r.Class == "price-check" {
		method = "GET"
	}
	head := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n",
		method, r.Class, r.Key, r.ID, r.Class, r.Budget.Milliseconds())
	if r.Class == "stock-hold" {
		head += fmt.Sprintf("Idempotency-Key: key%s\r\n", r.ID)
	}
	return head
}

// Encode returns the whole request.
func (r *Request) Encode() []byte {
	var text bytes.Buffer
	text.WriteString(r.Head())
	if r.Class == "stock-hold" || r.Class == "card-sale" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	text.WriteString("\r\n")
	text.Write(r.Body)
	return text.Bytes()
}

// Answer is what a client saw of the answer to a request.
type Answer struct {
	Status int // 0: no whole answer
	Body   []byte
	Err    error
	Took   time.Duration // from the request's last byte to the answer's last byte
}

// Client is a stand-in for the application: it keeps its connections and opens more when all are busy.
type Client struct {
	Addr string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in    *bufio.Reader
	since time.Time
}

// take returns the connection that was used last, unless it was closed, or a new one.
func (c *Client) take() (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		// A closed connection shows as an immediate end.
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		_, err := conn.in.Peek(1)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return conn, true, nil
		}
		conn.Close()
	}
	raw, err := net.DialTimeout("tcp", c.Addr, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: raw, in: bufio.NewReader(raw)}, false, nil
}

func (c *Client) put(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.since = time.Now()
	c.idle = append(c.idle, conn)
}

// Do sends a request and waits for its answer until half a second after its time. A request that crosses the close of a
// connection that was kept is sent once more on a new one.
func (c *Client) Do(r *Request) Answer {
	answer, again := c.try(r)
	if again {
		c.drop()
		answer, _ = c.try(r)
	}
	return answer
}

func (c *Client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func (c *Client) try(r *Request) (answer Answer, again bool) {
	conn, reused, err := c.take()
	if err != nil {
		return Answer{Err: err}, false
	}
	if _, err := conn.Write(r.Encode()); err != nil {
		conn.Close()
		return Answer{Err: err}, reused
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(r.Budget + 500*time.Millisecond))
	if _, err := conn.in.Peek(1); err != nil {
		conn.Close()
		timeout, ok := err.(net.Error)
		return Answer{Err: err, Took: time.Since(sent)}, reused && !(ok && timeout.Timeout())
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		conn.Close()
		return Answer{Err: err, Took: time.Since(sent)}, false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		conn.Close()
		return Answer{Err: err, Took: time.Since(sent)}, false
	}
	if resp.Close {
		conn.Close()
	} else {
		c.put(conn)
	}
	return Answer{Status: resp.StatusCode, Body: body, Took: time.Since(sent)}, false
}
