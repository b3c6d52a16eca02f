package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"example.org/ryeloft/internal/admin"
	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/inbound"
	"example.org/ryeloft/internal/protocol"
)

// freeAddr returns an address that was free when it was checked.
func freeAddr(t *testing.T) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// startWithConsole starts an agent with a console and the given servers. It returns the address of the console.
func startWithConsole(t *testing.T, servers ...*agenttest.Server) (*testAgent, string) {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir()) // the directory of the handover sockets
	var members []string
	for i, b := range servers {
		members = append(members, agenttest.Member(fmt.Sprintf("s-%d", i), b.Addr, "Ready", i))
	}
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, members...))
	cfg := agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings)
	cfg.AdminAddr = freeAddr(t)
	return start(t, cfg), cfg.AdminAddr
}

// consoleCall sends a text to the console and returns the complete reply.
func consoleCall(t *testing.T, console, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", console)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(agenttest.Timeout))
	io.WriteString(c, text)
	if !strings.HasSuffix(text, "\n") {
		c.(*net.TCPConn).CloseWrite()
	}
	reply, _ := io.ReadAll(c)
	return string(reply)
}

func TestConsoleCalls(t *testing.T) {
	_, console := startWithConsole(t, agenttest.NewServer(t, agenttest.Serve))
	for _, c := range []struct{ call, want string }{
		{"check\n", "ok\n"},
		{"check\r\n", "ok\n"},
		{"drain-off\n", "ok\n"},
		{"\n", `fail unknown call ""`},
		{"reboot\n", `fail unknown call "reboot"`},
		{"check", "fail no whole line"},
		{"", "fail no whole line"},
		{strings.Repeat("x", admin.MaxLineBytes+1) + "\n", "fail a call has at most"},
	} {
		if got := consoleCall(t, console, c.call); !strings.HasPrefix(got, c.want) {
			t.Errorf("%.20q: got %q, want %q", c.call, got, c.want)
		}
	}
	if got := consoleCall(t, console, "vars\n"); !strings.HasPrefix(got, "ok\ngw_responses_total{") || !strings.HasSuffix(got, "\neof\n") {
		t.Errorf("vars: got %q, want ok, the metrics and eof", got)
	}
}

func TestConsoleAddressInUse(t *testing.T) {
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	cfg.AdminAddr = inUse.Addr().String()
	if err := Run(t.Context(), cfg, nil, agenttest.DiscardLogger); err == nil || !strings.Contains(err.Error(), cfg.AdminAddr) {
		t.Errorf("got error %v, want one with the address %s", err, cfg.AdminAddr)
	}
}

// During a drain by the console, /up and check report that the agent is not ready, responses close their connections,
// idle connections are closed, and requests in flight are served. drain-off restores the previous state.
func TestConsoleDrain(t *testing.T) {
	proceed := make(chan struct{}, 2)
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return agenttest.OKResponse, false
	})
	a, console := startWithConsole(t, b)
	up := func() int {
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get(a.url + protocol.PathReady)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	unused, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	inFlight := make(chan *http.Response, 1)
	go func() {
		resp, err := a.client.Do(a.request("unsafe", "15000m"))
		if err != nil {
			t.Error(err)
		}
		inFlight <- resp
	}()
	agenttest.Receive(t, "request", b.Requests)
	for range 2 { // the second call has no effect
		if got := consoleCall(t, console, "drain-on\n"); got != "ok\n" {
			t.Fatalf("drain-on: got %q, want ok", got)
		}
	}
	if status, reply := up(), consoleCall(t, console, "check\n"); status == 200 || !strings.HasPrefix(reply, "fail") {
		t.Errorf("during the drain: got /up status %d, check %q, want neither ready", status, reply)
	}
	started := time.Now()
	unused.SetReadDeadline(started.Add(agenttest.Timeout))
	if _, err := unused.Read(make([]byte, 1)); err != io.EOF || time.Since(started) > inbound.IdleGrace+time.Second { //nolint:errorlint // io.EOF itself is wanted
		t.Errorf("idle connection: got error %v after %v, want EOF within %v", err, time.Since(started), inbound.IdleGrace+time.Second)
	}
	proceed <- struct{}{}
	if resp := agenttest.Receive(t, "response", inFlight); resp == nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("request in flight: got %v, want 200 with close", resp)
	}
	if got := consoleCall(t, console, "drain-off\n"); got != "ok\n" || up() != 200 {
		t.Errorf("drain-off: got %q, then /up %d, want ok and 200", got, up())
	}
	proceed <- struct{}{}
	if resp, err := a.client.Do(a.request("unsafe", "15000m")); err != nil || resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: got %v, error %v, want 200 without close", resp, err)
	}
}

// Slow clients have 4 s from the start of a console drain: a request that is complete by then gets a response, and the
// connection of a request that never completes is closed.
func TestDrainClosesSlowClients(t *testing.T) {
	proceed := make(chan struct{})
	defer close(proceed)
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) {
		<-proceed
		return agenttest.OKResponse, false
	})
	a, console := startWithConsole(t, b)
	head := "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 15000m\r\nContent-Length: 0\r\n\r\n"
	slowly := func(id string, begins, ends time.Duration) (response string, took time.Duration) {
		started := time.Now()
		time.Sleep(begins)
		c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		c.SetDeadline(started.Add(agenttest.Timeout))
		text := fmt.Sprintf(head, id)
		io.WriteString(c, text[:30])
		time.Sleep(ends - begins)
		io.WriteString(c, text[30:])
		got, _ := io.ReadAll(c)
		return string(got), time.Since(started)
	}
	if got := consoleCall(t, console, "drain-on\n"); got != "ok\n" {
		t.Fatalf("drain-on: got %q, want ok", got)
	}
	var all sync.WaitGroup
	for id, ends := range map[string]time.Duration{"ends": 3 * time.Second, "endless": 10 * time.Second} {
		all.Go(func() {
			response, took := slowly(id, time.Second, min(ends, 4*time.Second))
			if want := id == "ends"; want != strings.HasPrefix(response, "HTTP/1.1 502 ") || want && took > 4*time.Second {
				t.Errorf("%s: got %.40q after %v, want a 502 within 4s: %v", id, response, took, want)
			}
		})
	}
	all.Wait()
	if n := len(b.Requests); n != 1 {
		t.Errorf("%d requests were forwarded, want 1", n)
	}
}
