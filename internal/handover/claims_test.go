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

// await waits until something holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > agenttest.Timeout {
			t.Fatalf("never: %s", what)
		}
	}
}

// answersClaims says whether an older process has said that it answers claims.
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

// An id is one process's: what the older has taken the newer may not take, nor the older what the newer has. What the older has
// taken is known to the newer when the older has ended.
func TestIDsBelongToOneProcess(t *testing.T) {
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	path := filepath.Join(t.TempDir(), "l")
	olderIDs, newerIDs := &fakeIDs{}, &fakeIDs{}
	older := Join(path, quotasFor(cfg), olderIDs, agenttest.DiscardLogger)
	if err := older.Announce(); err != nil {
		t.Fatal(err)
	}
	newer := Join(path, quotasFor(cfg), newerIDs, agenttest.DiscardLogger)
	defer newer.Close()
	await(t, "the older process answers claims", newer.answersClaims)
	const first, last = 1, 100
	for id := uint64(first); id <= last; id++ {
		olderIDs.Add(id)
	}
	if newer.Claim(first) || newer.Claim(last) {
		t.Error("the newer process takes an id that the older has taken")
	}
	if !newer.Claim(last+1) || olderIDs.Claim(last+1) {
		t.Error("the older process takes an id that the newer has taken")
	}
	if !older.Claim(last + 2) {
		t.Error("the older process asks the newer")
	}
	older.Close()
	await(t, "the newer process knows the ids of the older", func() bool { return newerIDs.has(first) && newerIDs.has(last) })
	if !newer.Claim(last + 3) {
		t.Error("a process that has ended objects")
	}
}

// The end of a newer process ends its claims.
func TestClaimsEndWithTheirProcess(t *testing.T) {
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	path := filepath.Join(t.TempDir(), "l")
	ids := &fakeIDs{}
	older := Join(path, quotasFor(cfg), ids, agenttest.DiscardLogger)
	defer older.Close()
	if err := older.Announce(); err != nil {
		t.Fatal(err)
	}
	newer := Join(path, quotasFor(cfg), &fakeIDs{}, agenttest.DiscardLogger)
	newer.Close()
	await(t, "the claims are dropped", func() bool {
		ids.mu.Lock()
		defer ids.mu.Unlock()
		return ids.dropped == 1
	})
}

// A process of an earlier release is asked once whether it answers claims, and sent nothing else; one that does but is silent
// holds up one request, and for a bounded time.
func TestClaimsOfOtherReleases(t *testing.T) {
	cfg := &config.Config{MemoryMB: 1 << 20, Sockets: 384}
	for name, c := range map[string]struct {
		says string
		gets []string // after the first line
	}{
		"an earlier release": {"pass 0 0\ny", nil},
		"silent":             {"pass 0 0\nclaims\ny", []string{"claim 0000000000000007"}},
		"nonsense":           {"claims\ntaken\nfree x\ntaken 0000000000000009\nseen\nseen -\n", []string{"claim 0000000000000007"}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "l")
			l, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			k := Join(path, quotasFor(cfg), &fakeIDs{}, agenttest.DiscardLogger)
			other, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			lines := bufio.NewScanner(other)
			if !lines.Scan() || lines.Text() != "claims" {
				t.Fatalf("begins with %q", lines.Text())
			}
			if _, err := other.Write([]byte(c.says)); err != nil {
				t.Fatal(err)
			}
			if len(c.gets) > 0 {
				await(t, "it answers claims", k.answersClaims)
			}
			begun := time.Now()
			for id := range uint64(3) {
				if !k.Claim(id + 7) {
					t.Errorf("%d is taken", id)
				}
			}
			if took := time.Since(begun); took > agenttest.Timeout/2 {
				t.Errorf("held up for %v", took)
			}
			k.Close()
			var got []string
			for lines.Scan() {
				got = append(got, lines.Text())
			}
			if strings.Join(got, "|") != strings.Join(c.gets, "|") {
				t.Errorf("sent %q, want %q", got, c.gets)
			}
		})
	}
}
