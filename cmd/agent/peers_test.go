package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// asPeers is the environment variable that makes the test binary run peers instead of the tests. It has the address of
	// the agent, the number of peers and the names of their ways to send, separated by bars.
	asPeers = "AGENT_TEST_AS_PEERS"
	// peersProcessors is how many processors the process of the peers uses.
	peersProcessors = 3
	// maxPeersTime is when the process of the peers ends by itself.
	maxPeersTime = 30 * time.Second
	// pipelineBytes is about how much a peer sends at a time.
	pipelineBytes = 32 << 10
)

// peerWay is a way to send at full speed. use does it over one connection, until that ends or breaks.
type peerWay struct {
	name string
	use  func(c *net.TCPConn)
}

// peerWays are the ways of clients. None of them makes the agent wait for anything, as far as the agent permits that.
var peerWays = []peerWay{
	{"readiness checks", pipelined(func() string { return "GET /up HTTP/1.1\r\nHost: x\r\n\r\n" })},
	{"requests without time", pipelined(func() string {
		return strings.Replace(requestHead("POST", "write", "quick", "Content-Length: 0\r\n\r\n"), "5000m", "1u", 1)
	})},
	{"small requests", pipelined(func() string { return requestHead("POST", "write", "now", "Content-Length: 2\r\n\r\nhi") })},
	{"bodies of one byte a chunk", pipelined(func() string {
		return requestHead("POST", "write", "now", "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat("1\r\na\r\n", 5000) + "0\r\n\r\n"
	})},
	{"long bodies of one byte a chunk", pipelined(func() string {
		return requestHead("POST", "write", "now", "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat("1\r\na\r\n", 100_000) + "0\r\n\r\n"
	})},
	{"bodies written a byte at a time", func(c *net.TCPConn) {
		discard(c)
		for {
			if _, err := io.WriteString(c, requestHead("POST", "write", "now", "Content-Length: 2000\r\n\r\n")); err != nil {
				return
			}
			for range 2000 {
				if _, err := c.Write([]byte("b")); err != nil {
					return
				}
			}
		}
	}},
	{"large heads", pipelined(func() string {
		return "GET /up HTTP/1.1\r\nHost: x\r\n" + longFields(490) + "\r\n"
	})},
	{"large heads that are unsound", oneRequest(func() string {
		return requestHead("POST", "no-class", "quick", longFields(490)+"\r\n")
	})},
	{"trailers", pipelined(func() string {
		return requestHead("POST", "write", "now", "Transfer-Encoding: chunked\r\n\r\n0\r\n") + longFields(490) + "\r\n"
	})},
	{"new classes", oneRequest(func() string { return requestHead("POST", fmt.Sprintf("class-%d", nextRequestID.Load()), "1", "\r\n") })},
	{"no requests", oneRequest(func() string { return "\x00\r\n\r\n" })},
	{"connections left at once", func(c *net.TCPConn) {}},
	{"connections reset at once", func(c *net.TCPConn) { c.SetLinger(0) }},
	{"requests left at once", func(c *net.TCPConn) {
		_, _ = io.WriteString(c, requestHead("POST", "write", "now", "Content-Length: 0\r\n\r\n"))
	}},
	{"readiness checks reset at once", func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
		c.SetLinger(0)
	}},
}

// consoleWays are the ways of callers of the console.
var consoleWays = []peerWay{
	{"console calls", oneRequest(func() string { return "vars\n" })},
	{"console calls that are unknown", oneRequest(func() string { return "unknown\n" })},
	{"console connections left at once", func(c *net.TCPConn) {}},
	{"console lines without end", func(c *net.TCPConn) {
		for {
			if _, err := io.WriteString(c, strings.Repeat("x", pipelineBytes)); err != nil {
				return
			}
		}
	}},
}

// serverFloods are the ways of servers to answer. Each writes a beginning, and then more again and again.
var serverFloods = []struct{ name, begin, more string }{
	{"informational responses", "", "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"},
	{"chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"bodies without end", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("b", 1000)},
	{"fields without end", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	{"second responses", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"},
}

// serverWays are the ways of clients that ask for these answers.
func serverWays() (ways []peerWay) {
	for i, flood := range serverFloods {
		ways = append(ways, peerWay{flood.name, func(c *net.TCPConn) {
			if _, err := io.WriteString(c, requestHead("GET", "read", fmt.Sprintf("flood%d", i), "\r\n")); err == nil {
				_, _ = io.Copy(io.Discard, c)
			}
		}})
	}
	return ways
}

// discard reads and discards what arrives on a connection until it ends.
func discard(c net.Conn) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
}

// pipelined returns a way that sends one request after the other without waiting for responses.
func pipelined(text func() string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		discard(c)
		var block strings.Builder
		for {
			block.Reset()
			for block.Len() < pipelineBytes {
				block.WriteString(text())
			}
			if _, err := io.WriteString(c, block.String()); err != nil {
				return
			}
		}
	}
}

// oneRequest returns a way that sends one request over each connection and waits for its end.
func oneRequest(text func() string) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		if _, err := io.WriteString(c, text()); err == nil {
			awaitClose(c, time.Second)
		}
	}
}

// runPeers is the program of the process of the peers.
func runPeers(arguments string) {
	runtime.GOMAXPROCS(peersProcessors)
	addr, arguments, _ := strings.Cut(arguments, " ")
	count, names, _ := strings.Cut(arguments, " ")
	peers, err := strconv.Atoi(count)
	if err != nil {
		panic(err)
	}
	var ways []peerWay
	for _, way := range slices.Concat(peerWays, consoleWays, serverWays()) {
		if strings.Contains(names, "|"+way.name+"|") {
			ways = append(ways, way)
		}
	}
	nextRequestID.Store(int64(os.Getpid()) << 32)
	for i := range peers {
		go func() {
			for n := i; ; n += peers {
				useOnce(fmt.Sprintf("127.0.1.%d", i+1), addr, ways[n%len(ways)])
			}
		}()
	}
	time.Sleep(maxPeersTime)
}

// mixedConnTime is how long a peer uses a connection before it takes the next way.
const mixedConnTime = 300 * time.Millisecond

// dialFrom connects from a host of the loopback network.
func dialFrom(host, addr string) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}, Timeout: waitLimit}
	return dialer.Dial("tcp", addr)
}

// useOnce sends over one new connection from a host.
func useOnce(host, addr string, way peerWay) {
	c, err := dialFrom(host, addr)
	if err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	defer c.Close()
	defer time.AfterFunc(mixedConnTime, func() { c.SetDeadline(time.Now()) }).Stop()
	way.use(c.(*net.TCPConn))
}

// peers starts a process of peers that send at full speed until the context ends.
func startPeers(ctx context.Context, t *testing.T, addr string, peers int, ways []peerWay) {
	t.Helper()
	names := "|"
	for _, way := range ways {
		names += way.name + "|"
	}
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d %s", asPeers, addr, peers, names))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Wait() }) // killed at the end of the context
}
