package handover

import (
	"bufio"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/config"
)

// await waits until a condition is true.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(start) > agenttest.Timeout {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// answersClaims reports whether an older process has confirmed that it answers claims.
func (h *Handover) answersClaims() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if !p.newer && p.answersClaims {
			return true
		}
	}
	return false
}

// Two processes must never both accept a request with the same id, whichever accepts one first. When the older process
// ends, the newer one knows all ids that the older one had accepted.
func TestRequestIDClaimedOnce(t *testing.T) {
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	path := filepath.Join(t.TempDir(), "l")
	olderIDs, newerIDs := &fakeIDs{}, &fakeIDs{}
	older := Join(path, quotasFor(cfg), olderIDs, &fakeProcessor{}, agenttest.DiscardLogger)
	if err := older.Announce(); err != nil {
		t.Fatal(err)
	}
	newer := Join(path, quotasFor(cfg), newerIDs, &fakeProcessor{}, agenttest.DiscardLogger)
	defer newer.Close()
	await(t, "the older process answers claims", newer.answersClaims)
	const first, last = 1, 100
	for id := uint64(first); id <= last; id++ {
		olderIDs.Add(id)
	}
	if newer.Claim(first) || newer.Claim(last) {
		t.Error("the newer process accepts an id that the older one has accepted")
	}
	if !newer.Claim(last+1) || olderIDs.Claim(last+1) {
		t.Error("the newer process cannot claim a free id, or the older one accepts an id that the newer one has claimed")
	}
	if !older.Claim(last + 2) {
		t.Error("the older process does not accept a free id")
	}
	older.Close()
	await(t, "the newer process knows the ids of the older", func() bool { return newerIDs.has(first) && newerIDs.has(last) })
	if !newer.Claim(last + 3) {
		t.Error("a claim of a free id fails after the older process has ended")
	}
}

// The older process must drop the claims of a newer process that has ended, or their ids would stay taken.
func TestClaimsDroppedWhenNewerProcessEnds(t *testing.T) {
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	path := filepath.Join(t.TempDir(), "l")
	ids := &fakeIDs{}
	older := Join(path, quotasFor(cfg), ids, &fakeProcessor{}, agenttest.DiscardLogger)
	defer older.Close()
	if err := older.Announce(); err != nil {
		t.Fatal(err)
	}
	newer := Join(path, quotasFor(cfg), &fakeIDs{}, &fakeProcessor{}, agenttest.DiscardLogger)
	newer.Close()
	await(t, "the claims are dropped", func() bool {
		ids.mu.Lock()
		defer ids.mu.Unlock()
		return ids.dropped == 1
	})
}

// A process of an earlier release is asked once whether it answers claims, and is sent nothing else. A process that
// confirms it but does not answer delays only one request, by a limited time.
func TestClaimsWithOtherReleases(t *testing.T) {
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	for name, c := range map[string]struct {
		sends    string
		receives []string // after the first line
	}{
		"an earlier release": {"pass 0 0\ny", nil},
		"does not answer":    {"pass 0 0\nclaims\ny", []string{"claim 0000000000000007"}},
		"invalid lines":      {"claims\ntaken\nfree x\ntaken 0000000000000009\nseen\nseen -\n", []string{"claim 0000000000000007"}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "l")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			newer := Join(path, quotasFor(cfg), &fakeIDs{}, &fakeProcessor{}, agenttest.DiscardLogger)
			other, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			lines := bufio.NewScanner(other)
			if !lines.Scan() || lines.Text() != "claims" {
				t.Fatalf("got first line %q, want %q", lines.Text(), "claims")
			}
			if _, err := other.Write([]byte(c.sends)); err != nil {
				t.Fatal(err)
			}
			if len(c.receives) > 0 {
				await(t, "the older process answers claims", newer.answersClaims)
			}
			start := time.Now()
			for id := range uint64(3) {
				if !newer.Claim(id + 7) {
					t.Errorf("id %d: got taken, want free", id+7)
				}
			}
			if took := time.Since(start); took > agenttest.Timeout/2 {
				t.Errorf("claims took %v, want at most %v", took, agenttest.Timeout/2)
			}
			newer.Close()
			var got []string
			for lines.Scan() {
				got = append(got, lines.Text())
			}
			if strings.Join(got, "|") != strings.Join(c.receives, "|") {
				t.Errorf("older process received %q, want %q", got, c.receives)
			}
		})
	}
}
