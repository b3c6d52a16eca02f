package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// runLog records when servers have begun to run each request.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

// handler returns a server's handler that records each request and answers it after the given time.
func (l *runLog) handler(serviceTime time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // fails if the agent breaks the connection
		l.mu.Lock()
		id := r.Header.Get("X-Call-Id")
		l.runs[id] = append(l.runs[id], time.Now())
		l.mu.Unlock()
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "served")
	}
}

// runsOf returns when the requests whose ids begin with the prefix have run.
func (l *runLog) runsOf(prefix string) (runs []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.runs {
		if strings.HasPrefix(id, prefix) {
			runs = append(runs, at...)
		}
	}
	return runs
}

// awaitRun waits until the request with an id has begun to run.
func (l *runLog) awaitRun(t *testing.T, id string) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); len(l.runsOf(id)) == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not run within %v", id, testTimeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// startRecordedAgent starts an agent whose servers record what they run, with a crowd of sound clients if it is to be busy.
func startRecordedAgent(t *testing.T, busy bool) (*limitedAgent, *runLog) {
	t.Helper()
	log := &runLog{runs: map[string][]time.Time{}}
	a := startLimitedAgent(t, limits{32, 256}, newListService(t, newServersWith(t, 4, log.handler(50*time.Millisecond))))
	if busy {
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go crowd(ctx, a.listen, 40, sendQuickly)
	}
	return a, log
}

// sendWithID sends a request that is not idempotent, with the given id, over a connection of its own.
func sendWithID(t *testing.T, addr, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: write\r\nX-Budget: 5000m\r\nContent-Length: 0\r\n\r\n", id)
	return c
}

// statusOf returns the status of the response on a connection, or 0 if there is none, and closes the connection.
func statusOf(c net.Conn) int {
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against requests that are sent on after their client has left with much of what it sent still unread: an attempt
// begun 0.1 s after the close is lost.
func TestNothingSentForClientThatLeft(t *testing.T) {
	const requests, sentLimit = 60, 100 * time.Millisecond
	for name, leave := range map[string]func(c *net.TCPConn){
		"closes":                  func(c *net.TCPConn) { c.Close() },
		"resets":                  func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
		"closes after a response": func(c *net.TCPConn) { _, _ = c.Read(make([]byte, 1000)); c.Close() },
	} {
		for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 3000\r\n\r\n" + strings.Repeat("b", 3000), "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s/%.10s%d", name, body, len(body)), func(t *testing.T) {
				t.Parallel()
				a, log := startRecordedAgent(t, false)
				c, err := net.Dial("tcp", a.listen)
				if err != nil {
					t.Fatal(err)
				}
				for i := range requests {
					fmt.Fprintf(c, "POST /write/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: left-%d\r\nX-Call-Class: write\r\nX-Budget: 5000m\r\n%s", i, body)
				}
				time.Sleep(120 * time.Millisecond)
				leave(c.(*net.TCPConn))
				left := time.Now()
				time.Sleep(time.Second)
				runs := log.runsOf("left-")
				for _, at := range runs {
					if at.Sub(left) > sentLimit {
						t.Errorf("a request ran %v after its client had left, want at most %v", at.Sub(left), sentLimit)
					}
				}
				if len(runs) == 0 || len(runs) == requests {
					t.Errorf("%d requests ran, want some, and fewer than the %d sent", len(runs), requests)
				}
			})
		}
	}
}

// Guards against an id that runs twice: it comes again while the first request is open, or after its client has left, or at
// the other process of an upgrade. Other clients send many requests meanwhile.
func TestIDRunsOnce(t *testing.T) {
	for _, again := range []time.Duration{0, 300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("again after %v/busy %v", again, busy), func(t *testing.T) {
				t.Parallel()
				a, log := startRecordedAgent(t, busy)
				c := sendWithID(t, a.listen, "twice")
				log.awaitRun(t, "twice")
				c.Close()
				time.Sleep(again)
				status := statusOf(sendWithID(t, a.listen, "twice"))
				if runs := log.runsOf("twice"); len(runs) != 1 || status != http.StatusConflict {
					t.Errorf("the id ran %d times, and got status %d the second time, want once and %d", len(runs), status, http.StatusConflict)
				}
			})
		}
	}
	for _, end := range []bool{false, true} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("at the other process/older ends %v/busy %v", end, busy), func(t *testing.T) {
				t.Parallel()
				a, log := startRecordedAgent(t, busy)
				ids := sendManyIDs(t, a.listen)
				old := a.cmd
				a.cmd = a.start()
				if end {
					endProcess(t, old)
				}
				for _, id := range ids { // the kernel gives some to each process
					statusOf(sendWithID(t, a.listen, id))
				}
				for _, id := range ids {
					if runs := log.runsOf(id); len(runs) > 1 {
						t.Errorf("%s ran %d times, %v apart, want once", id, len(runs), runs[1].Sub(runs[0]))
					}
				}
			})
		}
	}
}

// sendQuickly sends small requests over a connection one after the other.
func sendQuickly(c net.Conn) {
	conn := &soundConn{Conn: c, in: bufio.NewReader(c)}
	for {
		if status, err := conn.request(); err != nil || status == 0 {
			return
		}
	}
}

// sendManyIDs sends requests whose clients leave, and returns their ids.
func sendManyIDs(t *testing.T, addr string) (ids []string) {
	t.Helper()
	for i := range 30 {
		id := fmt.Sprintf("many-%02d", i)
		ids = append(ids, id)
		c := sendWithID(t, addr, id)
		time.Sleep(5 * time.Millisecond)
		c.Close()
	}
	return ids
}

// endProcess ends a process as an upgrade does.
func endProcess(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	sendSignal(t, cmd, syscall.SIGTERM)
	_ = cmd.Wait()
}
