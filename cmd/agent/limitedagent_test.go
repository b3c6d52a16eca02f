package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// limitedConfigText is the configuration of an agent whose memory and descriptors are limited. Its class read is
// idempotent, write is not.
const limitedConfigText = `{"name":"n1","listen":%q,"discovery":%q,"console":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},
 "settings":{"categories":[{"name":"read","aim":3000,"deadline":6000,"credit":1,"effect":"pure"},
   {"name":"write","aim":3000,"deadline":6000,"credit":1,"effect":"side_effect"}],"replicasOfMe":1,"discovery":"automatic",
  "limits":{"maxAttempts":3,"connectTimeout":1000,"secondCopies":true,"cancel":true,"idleClose":15000},
  "rules":{"coldFrom":0.5,"overloadFactor":2}}}`

// builtAgentDir is the directory that buildAgent has created, which TestMain removes.
var builtAgentDir string

// buildAgent builds the agent without the race detector, which multiplies the memory.
var buildAgent = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "agent")
	if err != nil {
		return "", err
	}
	builtAgentDir = dir
	binary := filepath.Join(dir, "agent")
	out, err := exec.Command("go", "build", "-tags=nethttpomithttp2", "-ldflags=-linkmode=external", "-o", binary, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// limits are the limits in an agent's configuration.
type limits struct{ memoryMB, sockets int }

// limitedAgent is a running agent process with its limits, its servers and what was measured of it.
type limitedAgent struct {
	t       *testing.T
	limits  limits
	listen  string
	console string
	tmp     string // its TMPDIR
	cmd     *exec.Cmd
	start   func() *exec.Cmd // starts another process of the same agent

	mostAnonymousKB, mostResidentKB, mostDescriptors int

	sound soundAnswers
}

// soundAnswers counts the answers that sound clients got, and keeps the slowest.
type soundAnswers struct {
	ok, rejected, failed, none atomic.Int64
	mu                         sync.Mutex
	slowest                    time.Duration
}

func (s *soundAnswers) String() string {
	return fmt.Sprintf("sound clients: %d ok, %d rejected, %d failed, %d without an answer, slowest %v",
		s.ok.Load(), s.rejected.Load(), s.failed.Load(), s.none.Load(), s.slowest.Round(time.Millisecond))
}

// startLimitedAgent starts an agent with the given limits and endpoint list service, and waits until it is ready.
func startLimitedAgent(t *testing.T, l limits, discovery string) *limitedAgent {
	t.Helper()
	return startLimitedAgentWith(t, l, limitedConfigText, discovery)
}

// startLimitedAgentWith is startLimitedAgent with the text of a configuration.
func startLimitedAgentWith(t *testing.T, l limits, configuration, discovery string) *limitedAgent {
	t.Helper()
	binary, err := buildAgent()
	if err != nil {
		t.Fatal(err)
	}
	a := &limitedAgent{t: t, limits: l, listen: uniqueAddr(t), tmp: shortTempDir(t)}
	a.start = func() *exec.Cmd {
		console := uniqueAddr(t)
		cmd, stderr, _ := newAgentCommand(t, fmt.Sprintf(configuration, a.listen, discovery, console, l.memoryMB, l.sockets))
		cmd.Path = binary
		cmd.Env = append(cmd.Env, "TMPDIR="+a.tmp)
		a.console = console
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		go copyLog(t, stderr)
		t.Cleanup(func() {
			_ = cmd.Process.Kill() // fails if the agent has ended
			_ = cmd.Wait()
		})
		for started := time.Now(); consoleCall(console, "check") != "ok\n"; time.Sleep(5 * time.Millisecond) {
			if time.Since(started) > testTimeout {
				t.Fatalf("check: got %q after %v, want ok", consoleCall(console, "check"), testTimeout)
			}
		}
		return cmd
	}
	a.cmd = a.start()
	return a
}

// shortTempDir returns a directory whose path is short enough for the path of a Unix socket in it.
func shortTempDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) }) // what is left stays in the machine's temporary directory
	return dir
}

// copyLog discards the agent's log, or prints it if AGENT_TEST_LOG is set.
func copyLog(t *testing.T, log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if os.Getenv("AGENT_TEST_LOG") != "" {
			fmt.Fprintln(os.Stderr, t.Name(), lines.Text())
		}
	}
}

// measure samples the processes until the context ends, and keeps the most of what they held together. They share the pages
// of their program.
func (a *limitedAgent) measure(ctx context.Context, processes ...*exec.Cmd) {
	for ctx.Err() == nil {
		anonymous, program, descriptors := 0, 0, 0
		for _, cmd := range processes {
			anonymous += statusKB(cmd.Process.Pid, "RssAnon:")
			program = max(program, statusKB(cmd.Process.Pid, "RssFile:"))
			fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)) // none once the process has ended
			descriptors += len(fds)
		}
		a.mostAnonymousKB = max(a.mostAnonymousKB, anonymous)
		a.mostResidentKB = max(a.mostResidentKB, anonymous+program)
		a.mostDescriptors = max(a.mostDescriptors, descriptors)
		time.Sleep(3 * time.Millisecond)
	}
}

// statusKB returns a figure of a process's status file, or 0 if the process has ended.
func statusKB(pid int, field string) (kB int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(status), field)
	_, _ = fmt.Sscan(text, &kB) // stays 0 for a process that is ending
	return kB
}

var nextRequestID atomic.Int64

// requestHead returns the head of a request up to the end of its required headers, without the empty line.
func requestHead(method, class, path, more string) string {
	return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: x\r\nX-Call-Id: m%d\r\nX-Call-Class: %s\r\nX-Budget: 5000m\r\n%s",
		method, class, path, nextRequestID.Add(1), class, more)
}

// soundClients has clients send one small request after another, each over a connection of its own, until the context
// ends. A client whose connection was closed between two requests sends the request once more over a new one.
func (a *limitedAgent) soundClients(ctx context.Context, clients int) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			var conn *soundConn
			for ctx.Err() == nil {
				began := time.Now()
				status, err := 0, error(nil)
				for range 3 {
					if conn == nil {
						if conn, err = dialSound(a.listen); err != nil {
							continue
						}
					}
					if status, err = conn.request(); err == nil {
						break
					}
					conn.Close()
					conn = nil
				}
				a.sound.record(status, err, time.Since(began))
				time.Sleep(10 * time.Millisecond)
			}
			if conn != nil {
				conn.Close()
			}
		})
	}
	all.Wait()
}

func (s *soundAnswers) record(status int, err error, took time.Duration) {
	switch {
	case err != nil:
		s.none.Add(1)
	case status == http.StatusOK:
		s.ok.Add(1)
	case status == http.StatusServiceUnavailable:
		s.rejected.Add(1)
	default:
		s.failed.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowest = max(s.slowest, took)
}

// soundConn is a sound client's connection.
type soundConn struct {
	net.Conn
	in *bufio.Reader
}

func dialSound(addr string) (*soundConn, error) {
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		return nil, err
	}
	return &soundConn{Conn: c, in: bufio.NewReader(c)}, nil
}

// request sends a request and returns its status.
func (c *soundConn) request() (status int, err error) {
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, requestHead("POST", "write", "quick", "Content-Length: 5\r\n\r\nhello")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && string(body) != "served" {
		return 0, errors.New("wrong body")
	}
	if resp.Close {
		c.Close() // the next request fails and is sent over another connection
	}
	return resp.StatusCode, err
}

const longResponseBytes = 4 << 20

// newServers starts servers and returns their entries of an endpoint list. The path decides how they answer: after 300 ms
// if it ends in slow, with longResponseBytes if it ends in long.
func newServers(t *testing.T, n int) string {
	long := make([]byte, longResponseBytes)
	return newServersWith(t, n, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // fails if the agent breaks the connection
		switch {
		case strings.HasSuffix(r.URL.Path, "hang"):
			<-r.Context().Done()
		case strings.HasSuffix(r.URL.Path, "slow"):
			time.Sleep(300 * time.Millisecond)
		case strings.HasSuffix(r.URL.Path, "long"):
			_, _ = w.Write(long)
			return
		}
		_, _ = io.WriteString(w, "served")
	})
}

func newServersWith(t *testing.T, n int, handler http.HandlerFunc) string {
	var members []string
	for i := range n {
		s := httptest.NewServer(handler)
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		members = append(members, fmt.Sprintf(`{"id":"s%d","host_port":%q,"phase":"Ready"}`, i, s.Listener.Addr().String()))
	}
	return strings.Join(members, ",")
}

// newListService starts a discovery service whose list never changes.
func newListService(t *testing.T, members string) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[%s]}`, members)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// crowd runs n clients until the context ends. Each dials, and calls use with the connection, again and again.
func crowd(ctx context.Context, addr string, n int, use func(c net.Conn)) {
	crowdOver(ctx, "tcp", addr, n, use)
}

// crowdOver is crowd with connections of a network.
func crowdOver(ctx context.Context, network, addr string, n int, use func(c net.Conn)) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			for ctx.Err() == nil {
				c, err := net.DialTimeout(network, addr, testTimeout)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Now()) })
				use(c)
				stop()
				c.Close()
			}
		})
	}
	all.Wait()
}

// awaitClose reads until the agent closes the connection, at most for the given time.
func awaitClose(c net.Conn, limit time.Duration) {
	c.SetReadDeadline(time.Now().Add(limit))
	_, _ = io.Copy(io.Discard, c)
}
