package agent

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
	"example.org/ryeloft/internal/inbound"
	"example.org/ryeloft/internal/stream"
	"example.org/ryeloft/internal/upstream"
)

// startStreaming starts an agent with one server, which runs the handler.
func startStreaming(t *testing.T, handler http.HandlerFunc) *testAgent {
	t.Helper()
	return start(t, streamingConfig(t, agenttest.Settings, handler))
}

// streamingConfig starts a server that runs the handler, and returns the configuration of an agent with this server.
func streamingConfig(t *testing.T, settings string, handler http.HandlerFunc) *config.Config {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("s", s.Listener.Addr().String(), "Ready", 0)))
	return agenttest.Config(t, l.Listener.Addr().String(), settings)
}

// Request and response bodies of any length and framing are forwarded unchanged.
func TestBodiesPassUnchanged(t *testing.T) {
	a := startStreaming(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("reading the request body: %v", err)
		}
		switch form := r.URL.Query().Get("form"); form {
		case "length":
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		case "close":
			conn, _, _ := w.(http.Hijacker).Hijack()
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
			conn.Write(body)
			conn.Close()
			return
		case "hints":
			w.WriteHeader(http.StatusEarlyHints)
		case "trailers":
			w.Header().Set("Trailer", "X-Sum")
			defer w.Header().Set("X-Sum", "7")
		}
		for part := body; len(part) > 0; {
			n := min(len(part), 50_000)
			w.Write(part[:n])
			w.(http.Flusher).Flush()
			part = part[n:]
		}
	})
	for _, size := range []int{0, 1, stream.MaxBufferedBytes, stream.MaxBufferedBytes + 1, 700_000} {
		body := agenttest.Pattern(size)
		for _, form := range []string{"length", "chunks", "close", "hints", "trailers"} {
			for _, framing := range []string{"length", "chunks", "expect"} {
				req := a.request("unsafe", "15000m")
				req.URL.RawQuery = "form=" + form
				req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
				switch framing {
				case "chunks":
					req.ContentLength = -1
					req.Trailer = http.Header{"X-Sum": {"8"}}
				case "expect":
					req.Header.Set("Expect", "100-continue")
				}
				if status, got := a.do(t, req); status != 200 || got != string(body) {
					t.Fatalf("%d bytes sent with %s, returned with %s: got status %d and %d bytes", size, framing, form, status, len(got))
				}
			}
		}
	}
}

// The first bytes of a long response are forwarded before the rest has arrived, whatever its framing, and a pause
// within the response is harmless.
func TestLongResponseIsStreamed(t *testing.T) {
	for _, length := range []string{"", "200000"} {
		proceed := make(chan struct{})
		body := agenttest.Pattern(200_000)
		a := startStreaming(t, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			for _, n := range []int{1000, 2000} { // each pause is longer than the agent buffers a response
				w.Write(body[n-1000 : n])
				w.(http.Flusher).Flush()
				time.Sleep(2 * upstream.MaxBufferTime)
			}
			<-proceed
			w.Write(body[2000:])
		})
		release := sync.OnceFunc(func() { close(proceed) })
		t.Cleanup(release) // a handler that still waits after a failure would block closing the server
		resp, err := a.client.Do(a.request("safe", "15000m"))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		first := make([]byte, 2000)
		if _, err := io.ReadFull(resp.Body, first); err != nil {
			t.Fatal(err)
		}
		release()
		if rest, err := io.ReadAll(resp.Body); err != nil || string(first)+string(rest) != string(body) {
			t.Errorf("length %q: got %d more bytes, error %v, want the rest of the body", length, len(rest), err)
		}
	}
}

// A long response that breaks off or has a bad chunk is incomplete for the client too, is not retried, and counts as an
// error.
func TestBrokenLongResponses(t *testing.T) {
	for what, response := range map[string]string{
		"breaks off":        "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 70000),
		"breaks off chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\n",
		"bad chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("x", 70000) + "\r\nzz\r\n",
	} {
		b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return response, true })
		a, console := startWithConsole(t, b)
		resp, err := a.client.Do(a.request("keyed", "15000m"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%s: got a complete response, want an error", what)
		}
		if n := len(b.Requests); n != 1 {
			t.Errorf("%s: got %d attempts, want 1", what, n)
		}
		for started := time.Now(); !strings.Contains(consoleCall(t, console, "vars\n"), `{kind="keyed",result="errors"} 1`); {
			if time.Since(started) > agenttest.Timeout {
				t.Fatalf("%s: not counted as an error", what)
			}
		}
	}
}

// The first bytes of a long response are forwarded even if other long responses use all buffers, whether they arrive
// together with the head or later. They were once held back until another response had ended, beyond the client's
// timeout.
func TestLongResponsesDoNotWaitForBuffers(t *testing.T) {
	const pieceBytes, responses = 1000, 5
	for name, beginning := range map[string]struct {
		bytes int
		pause time.Duration // after the head
	}{
		"long beginning":  {stream.MaxBufferedBytes + pieceBytes, 0},
		"short beginning": {pieceBytes, 0},
		"head only":       {pieceBytes, 2 * upstream.MaxBufferTime},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := streamingConfig(t, agenttest.Settings, func(w http.ResponseWriter, r *http.Request) {
				w.(http.Flusher).Flush()
				time.Sleep(beginning.pause)
				w.Write(make([]byte, beginning.bytes))
				w.(http.Flusher).Flush()
				for r.Context().Err() == nil { // so that the response neither ends nor pauses
					time.Sleep(100 * time.Millisecond)
					w.Write(make([]byte, pieceBytes))
					w.(http.Flusher).Flush()
				}
			})
			cfg.MemoryMB = 1 // two buffers
			a := start(t, cfg)
			client := &http.Client{Transport: a.client.Transport} // without a timeout, which would end the earlier responses
			for i := range responses {
				firstBytes := make(chan error, 1)
				go func() {
					resp, err := client.Do(a.request("safe", "15000m"))
					if err == nil {
						t.Cleanup(func() { resp.Body.Close() })
						_, err = io.ReadFull(resp.Body, make([]byte, pieceBytes))
					}
					firstBytes <- err
				}()
				if err := agenttest.Receive(t, "first bytes", firstBytes); err != nil {
					t.Fatalf("response %d: %v", i, err)
				}
			}
		})
	}
}

// A long response that breaks off before any of it was forwarded is a failed attempt and is retried.
func TestLongResponseBrokenEarly(t *testing.T) {
	for _, framing := range []string{"Content-Length: 200000", "Transfer-Encoding: chunked"} {
		b := agenttest.NewServer(t, func(n int, _ *http.Request) (string, bool) {
			if n == 0 {
				return "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n4\r\nha", true
			}
			return agenttest.OKResponse, false
		})
		a := startWith(t, agenttest.Settings, b)
		if status, body := a.do(t, a.request("keyed", "15000m")); status != 200 || body != "served" || len(b.Requests) != 2 {
			t.Errorf("%s: got %d %.20q after %d attempts, want 200 %q after 2", framing, status, body, len(b.Requests), "served")
		}
	}
}

// A long request body is never sent again once part of it has been consumed, even if the class allows retries.
func TestLongBodyIsSentOnce(t *testing.T) {
	var got atomic.Int64
	script := func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		io.CopyN(io.Discard, r.Body, 100_000)
		conn, _, _ := w.(http.Hijacker).Hijack()
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	x, y := httptest.NewServer(http.HandlerFunc(script)), httptest.NewServer(http.HandlerFunc(script))
	defer x.Close()
	defer y.Close()
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", x.Listener.Addr().String(), "Ready", 0), agenttest.Member("y", y.Listener.Addr().String(), "Ready", 1)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	for _, size := range []int64{-1, 5_000_000} {
		got.Store(0)
		req := a.request("keyed", "15000m")
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(agenttest.Pattern(5_000_000))), size
		resp, err := a.client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode < 400 || got.Load() != 1 {
			t.Errorf("length %d: got response %v, error %v, %d attempts, want a failure after 1", size, resp, err, got.Load())
		}
	}
}

// A request whose body stalls gets an error or its connection is closed in time, and no server receives the complete
// body. A slow body that keeps the minimum pace is served.
func TestStalledBodies(t *testing.T) {
	complete := make(chan int, 10)
	a := startStreaming(t, func(_ http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil {
			complete <- len(body)
		}
	})
	head := "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\n%s\r\n"
	open := func(id, framing string) net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		fmt.Fprintf(c, head, id, framing)
		return c
	}
	for i, c := range []struct{ framing, sent string }{
		{"Content-Length: 100000\r\n", "some"},
		{"Transfer-Encoding: chunked\r\n", "5\r\nsome"},
		{"Transfer-Encoding: chunked\r\n", "11170\r\n" + strings.Repeat("x", 70000) + "\r\n7\r\n"},
	} {
		started := time.Now()
		conn := open(fmt.Sprint(i), c.framing)
		io.WriteString(conn, c.sent)
		response, _ := io.ReadAll(conn)
		if took := time.Since(started); took > 3*time.Second || len(response) > 0 && response[9] != '4' && response[9] != '5' {
			t.Errorf("%s: got %q after %v, want an error or a close within 3s", c.framing, response, took)
		}
	}
	slow := open("slow", "Content-Length: 100000\r\n")
	for range 10 { // 10 kB per 150 ms is a little over 64 kB/s
		slow.Write(make([]byte, 10_000))
		time.Sleep(150 * time.Millisecond)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(slow), nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("slow body: got %v, error %v, want 200", resp, err)
	}
	if n := agenttest.Receive(t, "body", complete); n != 100_000 || len(complete) > 0 {
		t.Errorf("got a complete body of %d bytes and %d more, want only one of 100000 bytes", n, len(complete))
	}
}

// A client that is rejected while it is still sending gets the response and no reset: the agent reads the body to its
// end before it closes the connection.
func TestRejectedWhileSending(t *testing.T) {
	l := agenttest.NewDiscovery(t, agenttest.List(1, true, agenttest.Member("x", "127.0.0.1:1", "Terminating", 0)))
	a := start(t, agenttest.Config(t, l.Listener.Addr().String(), agenttest.Settings))
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(agenttest.Timeout))
	const parts, part = 20, 50_000
	fmt.Fprintf(c, "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\n"+
		"X-Budget: 9000m\r\nContent-Length: %d\r\n\r\n", parts*part)
	for range parts {
		if _, err := c.Write(make([]byte, part)); err != nil {
			t.Fatalf("the connection was closed during the body: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	response, err := io.ReadAll(c)
	if err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 503 ") {
		t.Errorf("got %q, error %v, want a 503", response, err)
	}
}

// A connection is not idle once the first bytes of a request have arrived: a request that begins just before the idle
// timeout is not cut off.
func TestSlowHeadOnKeepAliveConnection(t *testing.T) {
	a := startWith(t, agenttest.Settings, agenttest.NewServer(t, agenttest.Serve))
	c, err := net.Dial("tcp", strings.TrimPrefix(a.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(agenttest.Timeout))
	head := "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\nX-Budget: 9000m\r\nContent-Length: 0\r\n\r\n"
	br := bufio.NewReader(c)
	for i := range 2 {
		text := fmt.Sprintf(head, i)
		if i > 0 {
			time.Sleep(inbound.IdleTimeout - 500*time.Millisecond)
			io.WriteString(c, text[:2])
			time.Sleep(time.Second) // beyond the idle timeout
			text = text[2:]
		}
		io.WriteString(c, text)
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: got %v, error %v, want 200", i, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}
