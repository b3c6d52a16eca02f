package stream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// deadlineRecorder is a response writer whose writes never block.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

var _ http.ResponseWriter = deadlineRecorder{}

// pipeEnd is an end of a net.Pipe. Like a TCP connection, its deadline can be set after the other end has closed.
type pipeEnd struct{ net.Conn }

func (p pipeEnd) SetReadDeadline(at time.Time) error {
	if err := p.Conn.SetReadDeadline(at); !errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	return nil
}

// awaitEnd returns a channel that receives the error with which a download ends.
func awaitEnd(d *Download) <-chan error {
	ended := make(chan error, 1)
	d.OnEnd(func(err error) { ended <- err })
	return ended
}

// Guards against cutting off a response whose server pauses for seconds and then goes on. A server that never goes on is
// given up, so that it does not hold two connections forever.
func TestPauseWithinDownload(t *testing.T) {
	for _, pause := range []time.Duration{0, 2900 * time.Millisecond, 4 * time.Second, 10 * time.Second, 25 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			server, agent := net.Pipe()
			defer agent.Close()
			go func() {
				for range 3 {
					_, _ = server.Write([]byte("piece")) // fails if the download was given up
					time.Sleep(pause)
				}
				server.Close()
			}()
			client := deadlineRecorder{httptest.NewRecorder()}
			d := NewDownload(-1, []byte("first "), nil, agent, pipeEnd{agent}, func() { agent.Close() })
			ended := awaitEnd(d)
			if err := d.CopyTo(t.Context(), client, NewBuffers(1), nil); err != nil || client.Body.String() != "first piecepiecepiece" {
				t.Errorf("pauses of %v: got %q and error %v, want the whole response", pause, client.Body.String(), err)
			}
			if err := <-ended; err != nil {
				t.Errorf("pauses of %v: the attempt got error %v, want none", pause, err)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		server, agent := net.Pipe()
		go func() { _, _ = io.WriteString(server, "piece") }()
		start := time.Now()
		d := NewDownload(-1, nil, nil, agent, pipeEnd{agent}, func() { agent.Close() })
		err := d.CopyTo(t.Context(), deadlineRecorder{httptest.NewRecorder()}, NewBuffers(1), nil)
		if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took > time.Minute {
			t.Errorf("server hangs: got error %v after %v, want a timeout within a minute", err, took)
		}
	})
}

// Guards against counting a client that leaves during a long response as a reset by its server, which could get a healthy
// server ejected.
func TestClientThatLeavesIsNotServersFault(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			server, agent := net.Pipe()
			defer server.Close()
			ctx, leave := context.WithCancel(t.Context())
			go func() {
				_, _ = io.WriteString(server, "piece")
				time.Sleep(time.Second)
				if leaves {
					leave()
				} else {
					server.Close()
				}
			}()
			d := NewDownload(100, nil, nil, agent, agent, func() { agent.Close() })
			ended := awaitEnd(d)
			_ = d.CopyTo(ctx, deadlineRecorder{httptest.NewRecorder()}, NewBuffers(1), nil)
			if err := <-ended; err == nil || errors.Is(err, ErrNotRead) != leaves {
				t.Errorf("client leaves %v: the attempt got error %v", leaves, err)
			}
			leave()
			synctest.Wait()
		})
	}
}

// Guards against keeping the beginning of a long response for as long as its client takes to read the rest.
func TestBeginningIsDroppedOnceWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, agent := net.Pipe()
		used := int64(0)
		memory := NewMemory(1<<20, func(n int64) { used += n })
		reserved, _ := memory.TryReserve(64 << 10)
		d := NewDownload(-1, make([]byte, 64<<10), reserved, agent, pipeEnd{agent}, func() { agent.Close() })
		ended := make(chan error, 1)
		go func() { ended <- d.CopyTo(t.Context(), deadlineRecorder{httptest.NewRecorder()}, NewBuffers(1), nil) }()
		synctest.Wait() // until the rest is awaited
		if used != 0 || d.prefix != nil {
			t.Errorf("got %d bytes reserved and %d kept while the rest is awaited, want none", used, len(d.prefix))
		}
		server.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}
