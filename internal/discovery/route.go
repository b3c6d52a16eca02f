package discovery

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// maxRelays is how many silent relays an agent can go through in the part of NotifyBoundAfterFailure that a silent watch leaves: it
	// uses the first so many of its own order.
	maxRelays = 5
	// unresponsiveRelayPause is for how long a relay is passed over that did not respond, not even with a rejection.
	unresponsiveRelayPause = balancer.NotifyBoundAfterFailure
	// preferredRetryInterval is how often an agent that is not at its first relay tries to return there.
	preferredRetryInterval = 10 * balancer.NotifyBoundAfterFailure
)

// errReturnToPreferred ends a row of watches that were answered, so that the next call tries the first relay again.
var errReturnToPreferred = errors.New("returning to the preferred relay")

// noFallback says that a route has no address to fall back to.
const noFallback = -1

// route is the order in which an agent goes through the relays, and where in it the agent is. Discovery itself comes last; without
// relays it is all there is.
type route struct {
	candidates []candidate
	current    int
	// fallback is where the agent was before it tried its first relay again, to return to if that fails.
	fallback int
	// preferredTriedAt is when the first relay was left, or tried again.
	preferredTriedAt time.Time
	// discoveryAllowed says that it is this agent's turn to poll discovery itself.
	discoveryAllowed bool
	// discoveryAvoidedUntil is until when discovery itself is left alone.
	discoveryAvoidedUntil time.Time
}

// candidate is an address of a route.
type candidate struct {
	addr              string
	tried             bool      // since the last answer, or the round's begin
	retried           bool      // likewise: it was called again after its Retry-After
	unresponsiveSince time.Time // zero if it responded to the last call
}

func newRoute(name string, target Target) *route {
	ranked := rankRelays(name, target.Relays)
	ranked = ranked[:min(maxRelays, len(ranked))]
	r := &route{fallback: noFallback}
	for _, addr := range append(ranked, target.Addr) {
		r.candidates = append(r.candidates, candidate{addr: addr})
	}
	return r
}

// rankRelays orders relays for an agent by rendezvous hashing: its first relay stays its own whatever others come and go, and the
// agents of one that is lost spread over those that are left.
func rankRelays(name string, relays []string) []string {
	ranked := slices.Clone(relays)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(name, b), rendezvousScore(name, a)), cmp.Compare(a, b))
	})
	return ranked
}

// rendezvousScore is the same in every process. FNV alone hardly mixes the last letters, in which addresses differ, so the finalizer
// of MurmurHash3 spreads them over all bits.
func rendezvousScore(name, addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + addr))
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

func (r *route) addr() string { return r.candidates[r.current].addr }

// discoveryIndex is the place of discoveryIndex itself in the order.
func (r *route) discoveryIndex() int { return len(r.candidates) - 1 }

// atRelay says whether the present address is a relay's.
func (r *route) atRelay() bool { return r.current != r.discoveryIndex() }

// hasRelays says whether there is anything to call but discovery itself.
func (r *route) hasRelays() bool { return len(r.candidates) > 1 }

// avoidDiscovery has discovery itself left alone until a time.
func (r *route) avoidDiscovery(until time.Time) { r.discoveryAvoidedUntil = until }

// startRound starts a round of calls, in which it is this agent's turn to poll discovery itself, unless that is to be left alone.
func (r *route) startRound(now time.Time) {
	r.resetTries()
	r.discoveryAllowed = !now.Before(r.discoveryAvoidedUntil)
	r.fallback = noFallback
	r.current = r.firstUntried(now)
	if !r.atRelay() && !r.discoveryAllowed {
		r.current = 0
	}
}

func (r *route) resetTries() {
	for i := range r.candidates {
		r.candidates[i].tried = false
		r.candidates[i].retried = false
	}
}

// recordResponse notes an answer from the present address. It returns true, and has moved to the first relay, if that is to be tried
// again now.
func (r *route) recordResponse(now time.Time) (tryPreferred bool) {
	r.resetTries()
	r.discoveryAllowed = false
	r.fallback = noFallback
	r.candidates[r.current].unresponsiveSince = time.Time{}
	if r.current == 0 {
		r.preferredTriedAt = now
		return false
	}
	if now.Sub(r.preferredTriedAt) < preferredRetryInterval {
		return false
	}
	r.preferredTriedAt = now
	r.fallback = r.current
	r.current = 0
	return true
}

// firstUntried is the first relay that has not been tried and was not silent lately, discovery itself if there is none.
func (r *route) firstUntried(now time.Time) int {
	for i := range r.discoveryIndex() {
		candidate := &r.candidates[i]
		unresponsive := !candidate.unresponsiveSince.IsZero() && now.Sub(candidate.unresponsiveSince) < unresponsiveRelayPause
		if !candidate.tried && !unresponsive {
			return i
		}
	}
	return r.discoveryIndex()
}

// anyTried says whether an address has failed since the last answer, or the round's begin.
func (r *route) anyTried() bool {
	return slices.ContainsFunc(r.candidates, func(h candidate) bool { return h.tried })
}

// advance leaves the present address, which failed, for the next one to call. It returns false if that is not to be called
// now: discovery itself in poll mode, out of this agent's turn. The route is then where a round begins.
func (r *route) advance(now time.Time, pollMode bool) bool {
	r.candidates[r.current].tried = true
	if r.fallback != noFallback && !r.candidates[r.fallback].tried {
		r.current = r.fallback
		r.fallback = noFallback
		return true
	}
	r.current = r.firstUntried(now)
	if !r.atRelay() && pollMode && !r.discoveryAllowed {
		r.current = 0
		return false
	}
	return true
}

// failOver chooses where the next call is made after one that failed, and returns true if it is to be made at once: at the relays
// until one answers, then at discovery itself if it is this agent's turn. The agents of relays that were lost together would
// poll discovery together, which works through calls one after the other; out of its turn an agent leaves it to its owner when to
// poll.
func (c *Client) failOver(ctx context.Context, err error) bool {
	if errors.Is(err, errReturnToPreferred) {
		return true
	}
	r := c.route
	now := time.Now()
	if !r.atRelay() && r.fallback == noFallback {
		return false
	}
	current := &r.candidates[r.current]
	var rejected rejectedError
	hasRetryAfter := errors.As(err, &rejected) && rejected.retryAfter > 0
	if r.atRelay() && hasRetryAfter && !current.retried && rejected.retryAfter <= c.deadline.remaining() {
		current.retried = true
		return sleep(ctx, rejected.retryAfter)
	}
	if errors.Is(err, ErrTruncatedList) || errors.Is(err, context.DeadlineExceeded) {
		current.unresponsiveSince = now
	}
	firstFailure := !r.anyTried()
	if !r.advance(now, c.pollMode()) {
		return false
	}
	c.httpClient.CloseIdleConnections()
	if firstFailure {
		c.log.Info("discovery failover", "failed", current.addr, "error", err, "next", r.addr(), "remaining", c.deadline.remaining())
	}
	return true
}
