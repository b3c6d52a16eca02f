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
	// maxRelays is how many relays an agent uses: the first ones in its own order. It is the number of unresponsive
	// relays that an agent can try in the part of NotifyBoundAfterFailure that remains after a watch at an unresponsive
	// relay.
	maxRelays = 5
	// unresponsiveRelayPause is how long a relay that did not respond at all, not even with a rejection, is skipped.
	unresponsiveRelayPause = balancer.NotifyBoundAfterFailure
	// preferredRetryInterval is how often an agent that uses another address tries to return to its first relay.
	preferredRetryInterval = 10 * balancer.NotifyBoundAfterFailure
)

// errReturnToPreferred is returned to end successful watches so that the next call tries the first relay again.
var errReturnToPreferred = errors.New("returning to the preferred relay")

// noFallback is the value of route.fallback when there is no address to return to.
const noFallback = -1

// route is the order in which an agent tries addresses, and its current position. The relays come first and the
// discovery service last; without relays the discovery service is the only address.
type route struct {
	candidates []candidate
	current    int
	// fallback is the address to return to if the first relay, which is being tried again, fails; or noFallback.
	fallback int
	// preferredTriedAt is when the first relay was last used or tried again.
	preferredTriedAt time.Time
	// discoveryAllowed is set if the agent may poll the discovery service in the current round.
	discoveryAllowed bool
	// discoveryAvoidedUntil is the time until which the discovery service is not called.
	discoveryAvoidedUntil time.Time
}

// candidate is one address of a route.
type candidate struct {
	addr              string
	tried             bool      // without success since the last response or the start of the round
	retried           bool      // likewise: called again after its Retry-After
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

// rankRelays orders relays for an agent by rendezvous hashing: its first relay stays the same when other relays are
// added or removed, and the agents of a lost relay spread over the remaining ones.
func rankRelays(name string, relays []string) []string {
	ranked := slices.Clone(relays)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(name, b), rendezvousScore(name, a)), cmp.Compare(a, b))
	})
	return ranked
}

// rendezvousScore returns the same score in every process. FNV alone hardly mixes the last bytes, in which addresses
// differ, so the finalizer of MurmurHash3 spreads them over all bits.
func rendezvousScore(name, addr string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + addr))
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

func (r *route) addr() string { return r.candidates[r.current].addr }

// discoveryIndex returns the index of the discovery service in candidates.
func (r *route) discoveryIndex() int { return len(r.candidates) - 1 }

// atRelay reports whether the current address is a relay.
func (r *route) atRelay() bool { return r.current != r.discoveryIndex() }

// hasRelays reports whether the route has any relays.
func (r *route) hasRelays() bool { return len(r.candidates) > 1 }

// avoidDiscovery keeps the agent from calling the discovery service until the given time.
func (r *route) avoidDiscovery(until time.Time) { r.discoveryAvoidedUntil = until }

// startRound starts a round of calls, in which the agent may poll the discovery service unless avoidDiscovery forbids
// it.
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

// recordResponse records a response from the current address. If it is time to try the first relay again, it moves
// there and returns true.
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

// firstUntried returns the first relay that has not been tried and is not being skipped, or the discovery service if
// there is none.
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

// anyTried reports whether an address has failed since the last response or the start of the round.
func (r *route) anyTried() bool {
	return slices.ContainsFunc(r.candidates, func(c candidate) bool { return c.tried })
}

// advance moves from the current address, which failed, to the next one. It returns false, and moves to the first
// address, if the next one must not be called now: the discovery service in poll mode, unless discoveryAllowed is set.
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

// failOver chooses the address of the next call after a failed one and returns true if the call is to be made
// immediately: at each relay until one responds, then at the discovery service, in poll mode only if discoveryAllowed
// is set. Agents of relays that were lost together would otherwise poll the discovery service together, which processes
// calls one after the other. If the call is not allowed, the owner decides when to poll.
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
