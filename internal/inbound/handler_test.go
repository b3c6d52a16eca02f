package inbound

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/dispatch"
	"example.org/ryeloft/internal/metrics"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/settings"
	"example.org/ryeloft/internal/stream"
)

// countingDispatcher counts what it is given and answers nothing.
type countingDispatcher struct {
	settings *settings.Settings
	calls    atomic.Int64
}

func (d *countingDispatcher) Settings() *settings.Settings { return d.settings }
func (d *countingDispatcher) Now() time.Duration           { return 0 }
func (d *countingDispatcher) Ready() bool                  { return true }
func (d *countingDispatcher) Submit(*dispatch.Request)     { d.calls.Add(1) }
func (d *countingDispatcher) Abandon(*dispatch.Request)    { d.calls.Add(1) }

// A long body that finds no buffer is rejected and never sent.
func TestLongBodyWithoutBufferIsRejected(t *testing.T) {
	cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
	dispatcher := &countingDispatcher{settings: &cfg.Settings}
	counters := &metrics.Metrics{}
	counters.AddClasses(cfg.Settings.ClassNames)
	none := stream.NewBuffers(0)
	none.TryGet()
	none.TryGet()
	s := New(Options{
		Dispatcher: dispatcher, Metrics: counters, Buffers: none, MaxRequests: 10, Log: agenttest.DiscardLogger, Done: t.Context().Done(),
	})
	s.Listener().Resize(10, 10)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.Serve(tcp.(*net.TCPListener))
	defer s.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+tcp.Addr().String()+"/unsafe/1", bytes.NewReader(agenttest.Pattern(100_000)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(protocol.HeaderRequestID, "c")
	req.Header.Set(protocol.HeaderClass, "unsafe")
	req.Header.Set(protocol.HeaderTenant, "acme")
	req.Header.Set(protocol.HeaderBudget, "15000m")
	client := &http.Client{Transport: &http.Transport{}, Timeout: agenttest.Timeout}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != protocol.StatusRejected || dispatcher.calls.Load() > 0 {
		t.Errorf("answered %d with %d calls of the dispatcher", resp.StatusCode, dispatcher.calls.Load())
	}
}
