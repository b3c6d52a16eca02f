package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
)

// uploadDispatcher sends the upload of each request to a server, and does not cancel it if the request is abandoned, as
// settings that forbid to cancel attempts require.
type uploadDispatcher struct {
	countingDispatcher
	server   net.Conn
	attempts chan error // how the sending of each upload has ended
}

func (d *uploadDispatcher) Submit(r *dispatch.Request) {
	upload := r.Upstream.Upload()
	if !upload.Claim() {
		d.attempts <- stream.ErrBodyIncomplete
		return
	}
	go func() {
		d.attempts <- upload.SendTo(d.server)
		upload.Release()
	}()
}

// uploadFixture is a server whose only request has a long body that is being sent.
type uploadFixture struct {
	*Server
	client    net.Conn
	responses *bufio.Reader
	dispatch  *uploadDispatcher
	upstream  net.Conn // the server's side of its connection
}

// startUpload starts a server and connects a client and an upstream server to it.
func startUpload(t *testing.T, set *settings.Settings) *uploadFixture {
	t.Helper()
	sending, receiving := net.Pipe()
	t.Cleanup(func() { sending.Close(); receiving.Close() })
	dispatcher := &uploadDispatcher{countingDispatcher{settings: set}, sending, make(chan error, 1)}
	s, addr := newTestServer(t, dispatcher, &metrics.Metrics{}, stream.NewBuffers(0), 10)
	client, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	_ = client.SetDeadline(time.Now().Add(agenttest.Timeout))
	return &uploadFixture{s, client, bufio.NewReader(client), dispatcher, receiving}
}

// When a request has been answered as failed, nothing more of its body may reach its server. A server once got every
// other part of the rest, as the handler read the same body to discard it, and ran a request that no client had sent.
func TestFailedRequestSendsNoMoreOfItsBody(t *testing.T) {
	const partBytes, laterParts = 2 << 10, 100
	const chunkFraming = 100 // bytes that surround the chunks of the part sent before
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	first, later := strings.Repeat("f", stream.MaxBufferedBytes+1), strings.Repeat("l", partBytes)
	for name, c := range map[string]struct {
		prepare func(*Server)
		fail    func(*Server)
	}{
		"shutdown":    {func(*Server) {}, (*Server).FailOpenRequests},
		"drain limit": {startDrainNearLimit, func(*Server) {}},
	} {
		for _, framing := range agenttest.Framings(len(first) + laterParts*partBytes) {
			t.Run(name+"/"+framing.Name, func(t *testing.T) {
				t.Parallel()
				f := startUpload(t, &cfg.Settings)
				c.prepare(f.Server)
				fmt.Fprintf(f.client, "POST /unsafe/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: unsafe\r\nX-Caller: acme\r\n"+
					"X-Budget: 15000m\r\n%s\r\n\r\n%s", framing.Header, framing.Part(first))
				received := make([]byte, len(first))
				if _, err := io.ReadFull(f.upstream, received); err != nil {
					t.Fatalf("the body does not reach the server: %v", err)
				}
				more := make(chan int64, 1)
				go func() {
					n, _ := io.Copy(io.Discard, f.upstream)
					more <- n
				}()
				c.fail(f.Server)
				resp, err := http.ReadResponse(f.responses, nil)
				if err != nil || resp.StatusCode != protocol.StatusFailed {
					t.Fatalf("got response %v, error %v, want status %d", resp, err, protocol.StatusFailed)
				}
				for range laterParts {
					if _, err := io.WriteString(f.client, framing.Part(later)); err != nil {
						t.Fatalf("the rest of the body is not discarded: %v", err)
					}
				}
				_, _ = io.WriteString(f.client, framing.End)
				err = agenttest.Receive(t, "end of the attempt", f.dispatch.attempts)
				f.dispatch.server.Close()
				if n := agenttest.Receive(t, "rest of the body", more); err == nil || n > chunkFraming {
					t.Errorf("after its client was answered, the server received %d bytes, error %v; want none and an error", n, err)
				}
			})
		}
	}
}

// startDrainNearLimit starts a drain whose limit is about to be reached.
func startDrainNearLimit(s *Server) {
	const remaining = 200 * time.Millisecond
	s.drain.mu.Lock()
	defer s.drain.mu.Unlock()
	s.drain.drainSince = time.Now().Add(remaining - drainLimit)
}

// An attempt that starts just after its request has ended sends nothing of the body.
func TestEndedRequestCannotBeClaimed(t *testing.T) {
	for name, end := range map[string]func(*stream.Upload){
		"answered": (*stream.Upload).Revoke,
		"closed":   func(u *stream.Upload) { u.Close(noDeadlines{}) },
	} {
		buffers := stream.NewBuffers(0)
		free := buffers.Free()
		upload := stream.NewUpload(-1, nil, strings.NewReader("body"), &clientConn{})
		if !upload.Reserve(buffers) {
			t.Fatal("no buffer")
		}
		end(upload)
		if upload.Claim() {
			t.Errorf("%s: the body could be claimed", name)
		}
		upload.Close(noDeadlines{})
		if buffers.Free() != free {
			t.Errorf("%s: got %d free buffers, want %d", name, buffers.Free(), free)
		}
	}
}

// noDeadlines is a connection whose deadlines have no effect.
type noDeadlines struct{}

func (noDeadlines) SetReadDeadline(time.Time) error { return nil }

// A body's budget counts from the last bytes that a read had to wait for. Bytes that had arrived before do not show when
// the client sent them.
func TestLastArrivalIsThatOfAwaitedBytes(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	client, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	c, err := newClientConn(accepted.(*net.TCPConn), newListener(&metrics.Metrics{}, nil, 0, nil))
	if err != nil {
		t.Fatal(err)
	}
	c.raw = &sendWhenEmpty{RawConn: c.raw, send: func() {
		if _, err := io.WriteString(client, "firstother"); err != nil {
			t.Error(err)
		}
	}}
	read := func() {
		t.Helper()
		if n, err := c.Read(make([]byte, 5)); n != 5 || err != nil {
			t.Fatalf("read %d bytes, error %v, want 5", n, err)
		}
	}
	began := time.Now()
	read()
	arrival := c.LastArrival()
	if arrival.Before(began) || arrival.After(time.Now()) {
		t.Errorf("got an arrival %v after the read began, want one during the read", arrival.Sub(began))
	}
	read()
	if got := c.LastArrival(); got != arrival {
		t.Error("bytes that had arrived before the read count as awaited")
	}
}

// sendWhenEmpty is a connection that calls send once a read has found nothing.
type sendWhenEmpty struct {
	syscall.RawConn
	send func()
	sent bool
}

func (c *sendWhenEmpty) Read(f func(fd uintptr) bool) error {
	return c.RawConn.Read(func(fd uintptr) bool {
		if f(fd) {
			return true
		}
		if !c.sent {
			c.sent = true
			c.send()
		}
		return false
	})
}
