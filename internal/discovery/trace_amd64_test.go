package discovery

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// traceRecorder simulates a service and a balancer that behave at random, by a seed, and hashes all interactions of a
// client with them.
type traceRecorder struct {
	mu        sync.Mutex
	responses *rand.Rand // of the service
	waits     *rand.Rand // of the owner between polls
	began     time.Time
	trace     hash.Hash
	calls     int
	events    int
	poll      func()
}

func (r *traceRecorder) record(format string, args ...any) {
	fmt.Fprintf(r.trace, "%d ", time.Since(r.began).Nanoseconds())
	fmt.Fprintf(r.trace, format+"\n", args...)
}

// RoundTrip ends a call with a random outcome.
func (r *traceRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	due, _ := req.Context().Deadline()
	r.mu.Lock()
	r.calls++
	r.record("call %s until %d", req.URL, due.Sub(r.began).Nanoseconds())
	outcome := r.responses.IntN(16)
	delay := time.Duration(1 + r.responses.Int64N(int64(time.Second)>>r.responses.IntN(8)))
	revisionStep := r.responses.IntN(3)
	r.mu.Unlock()
	var after int
	_, err := fmt.Sscanf(req.URL.Query().Get("after"), "%d", &after)
	complete := err != nil || outcome == 0
	if outcome == 1 { // hangs
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	member := `{"id":"x","host_port":"10.0.0.1:80","phase":"Ready"}`
	text := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, after+revisionStep, complete, member)
	status, header := http.StatusOK, http.Header{}
	switch outcome {
	case 2:
		return nil, errors.New("reset")
	case 3:
		status = http.StatusServiceUnavailable
	case 4:
		status = http.StatusServiceUnavailable
		header.Set("Retry-After", fmt.Sprint(delay.Seconds()))
	case 5:
		status = http.StatusGone
	case 6:
		text = text[:len(text)/2]
	case 7:
		text = strings.Replace(text, fmt.Sprintf(`"revision":%d`, after+revisionStep), `"revision":0`, 1)
	case 8:
		text = fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[]}`, after, complete)
	}
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(strings.NewReader(text))}, nil
}

func (r *traceRecorder) notify(e WatchEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events++
	r.record("event %d members %d remaining %d rejected %v latency %d revision %d",
		e.Update, len(e.Members), e.Remaining, e.RejectedImmediately, e.PollLatency, e.Revision)
	if e.Update.KeepsEndpoints() {
		longest := min(max(e.Remaining, 200*time.Millisecond), 3*time.Second)
		time.AfterFunc(1+time.Duration(r.waits.Int64N(int64(longest))), r.poll)
	}
}

func (r *traceRecorder) onPoll(p PollResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record("poll wait %d took %d failed %v", p.Wait, p.Duration, p.Err != nil)
}

// recordTrace simulates ten minutes of one agent in poll mode, with migrations.
func recordTrace(t *testing.T, seed uint64) (calls, events int, trace string) {
	synctest.Test(t, func(t *testing.T) {
		random := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
		r := &traceRecorder{responses: random(1), waits: random(2), began: time.Now(), trace: sha256.New()}
		plan := random(3)
		agents := 1 + plan.IntN(60)
		set := &settings.Settings{Balancer: balancer.Settings{Agents: agents, Rank: plan.IntN(agents), PollEndpoints: true}}
		relays := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}[:plan.IntN(4)]
		d := New(Options{
			Addr: "10.0.0.9:1", Name: "a", Relays: relays, Settings: func() *settings.Settings { return set },
			Notify: r.notify, OnPoll: r.onPoll, Log: slog.New(slog.DiscardHandler),
		})
		d.SetTransport(r)
		r.poll = d.Poll
		ctx, stop := context.WithCancel(t.Context())
		migrations, ended := make(chan Target), make(chan struct{})
		go func() { d.Run(ctx, migrations); close(ended) }()
		d.Poll()
		for range 12 {
			time.Sleep(time.Duration(1 + plan.Int64N(int64(100*time.Second))))
			migrations <- Target{Addr: fmt.Sprintf("10.0.0.9:%d", 1+plan.IntN(3)), Relays: relays[:plan.IntN(len(relays)+1)]}
		}
		stop()
		<-ended
		synctest.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		calls, events, trace = r.calls, r.events, fmt.Sprintf("%x", r.trace.Sum(nil)[:8])
	})
	return calls, events, trace
}

// Every call for the list, its timeout, its result and every notification must occur at the same nanosecond as when
// these hashes were recorded, whatever the service and the owner do. A refactoring must not change the hashes.
func TestCallTrace(t *testing.T) {
	for seed, want := range []struct {
		calls, events int
		trace         string
	}{
		{862, 824, "169e4199a66bc19e"},
		{1255, 1169, "983a95cc21e1b7ce"},
		{1375, 1142, "ef2d6b0b236fc5b1"},
		{1577, 1282, "4b3b1f5f4ec62a90"},
		{1402, 1026, "30083efd491a2775"},
		{1096, 1002, "689c8194e5e3877d"},
		{574, 491, "bf760d76e64516f3"},
		{1152, 1078, "7cbd017205f186dc"},
		{1224, 1161, "d79ae6b457075a9c"},
		{819, 758, "e1f38087bf84d380"},
		{1426, 1144, "54f891a3c48c89b6"},
		{1156, 954, "fc718b96ef85c78f"},
		{926, 839, "9c758d0d4732394b"},
		{1156, 1090, "8ec5560748c13a9d"},
		{1101, 978, "1e56896abe5a6dd6"},
		{1485, 1185, "5c658d917c2b95de"},
		{1128, 996, "380401084467d463"},
		{1035, 823, "a74cffccb2a2cf89"},
		{1581, 1230, "3161bce1d5998f63"},
		{1289, 1013, "415d097f6908decc"},
		{1393, 1113, "c1cad8385b4b9b0c"},
		{1213, 908, "fe3bed890082554e"},
		{1200, 1060, "adf78dee69fea367"},
		{1287, 989, "b48dcc3cd31983ef"},
	} {
		if calls, events, trace := recordTrace(t, uint64(seed)); calls != want.calls || events != want.events || trace != want.trace {
			t.Errorf("seed %d: got {%d, %d, %q}, want %v", seed, calls, events, trace, want)
		}
	}
}
