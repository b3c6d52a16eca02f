package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// RelayTimeout is how long a call to a relay may take that does not wait and brings changes, RelayFullListTimeout one that brings
	// the whole list, which relays hand out at a stated rate. RelayMaxStaleness is how far behind discovery a relay may be that
	// still answers. Danger: a watch at a relay that falls silent shows after relayWatch and watchGrace, and what it missed
	// may be older by RelayMaxStaleness; what is left of NotifyBoundAfterFailure is for the calls that make up for it: a dial to each relay that
	// is just as silent, and one call.
	RelayTimeout         = balancer.NotifyBoundAfterFailure / 6
	RelayFullListTimeout = balancer.NotifyBoundAfterFailure / 3
	RelayMaxStaleness    = balancer.NotifyBoundAfterFailure / 3
	relayWatch           = balancer.NotifyBoundAfterFailure / 3
	relayDial            = balancer.NotifyBoundAfterFailure / 20

	// mostTried is how many relays that say nothing an agent can go through in what a silent watch leaves of NotifyBoundAfterFailure: it
	// knows the first so many of its own order.
	mostTried = 5
	// silentRest is for how long a relay that said nothing, not even that it refuses, is passed over.
	silentRest = balancer.NotifyBoundAfterFailure
	// homeAgain is how often an agent that is not at its first relay tries to return there.
	homeAgain = 10 * balancer.NotifyBoundAfterFailure
)

// Target is where the list is to be had: from discovery's address, through relays if there are any.
type Target struct {
	Addr   string
	Relays []string
}

func (p Target) same(o Target) bool { return p.Addr == o.Addr && slices.Equal(p.Relays, o.Relays) }

// errHome ends a watch that was answered, so that the next call tries the first relay again.
var errHome = errors.New("away from the first relay")

// busyError is an answer that says that the call is to be made again, and when.
type busyError struct {
	status string
	after  time.Duration // 0: not said when
}

func (e busyError) Error() string {
	return fmt.Sprintf("the list: status %s, again in %v", e.status, e.after)
}

// refusal is the error of an answer that brings no list.
func refusal(resp *http.Response) error {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0 && seconds < balancer.NotifyBoundAfterFailure.Seconds()) {
		return fmt.Errorf("the list: status %s", resp.Status)
	}
	return busyError{resp.Status, time.Duration(seconds * float64(time.Second))}
}

// relayedKey marks the context of a call to a relay.
type relayedKey struct{}

// dialsInTime gives up a dial to a relay whose machine says nothing while there is time for the others.
func dialsInTime(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if ctx.Value(relayedKey{}) != nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, relayDial)
			defer cancel()
		}
		return dial(ctx, network, addr)
	}
}

// route is the order in which an agent goes through the relays, and where it is. Discovery itself comes last. With no
// relays that is all there is.
type route struct {
	addrs  []string
	at     int
	tried  []bool      // since the last answer, or the round's begin
	waited []bool      // likewise: it was asked again when it said
	silent []time.Time // when a relay said nothing
	back   int         // from where the first relay is tried again; -1: it is not
	home   time.Time   // when the first relay was left, or tried again
	turn   bool        // it is this agent's turn to ask discovery itself
	rests  time.Time   // until then discovery itself is left alone
}

func newRoute(name string, p Target) *route {
	order := ranked(name, p.Relays)
	addrs := append(order[:min(mostTried, len(order))], p.Addr)
	return &route{
		addrs: addrs, back: -1, tried: make([]bool, len(addrs)), waited: make([]bool, len(addrs)), silent: make([]time.Time, len(addrs)),
	}
}

// ranked orders relays for an agent by rendezvous: its own first relay stays its own whatever others come and go, and the
// agents of one that is lost spread over those that are left.
func ranked(name string, relays []string) []string {
	order := slices.Clone(relays)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(name, b), score(name, a)), cmp.Compare(a, b))
	})
	return order
}

// score is the same in every process. FNV alone hardly mixes the last letters, in which addresses differ; the steps after
// it, the finalizer of MurmurHash3, spread them over all bits.
func score(name, addr string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", name, addr)
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

func (r *route) addr() string { return r.addrs[r.at] }

// relayed says whether the present address is a relay's.
func (r *route) relayed() bool { return r.at < len(r.addrs)-1 }

// begin starts a round of calls, which is made in this agent's turn where calls are made in turns.
func (r *route) begin(now time.Time) {
	r.clear()
	r.turn, r.back = !now.Before(r.rests), -1
	if r.at = r.next(now); !r.turn && !r.relayed() {
		r.at = 0
	}
}

// hasRelays says whether there is anybody to ask but discovery itself.
func (r *route) hasRelays() bool { return len(r.addrs) > 1 }

// rest has discovery itself left alone until then.
func (r *route) rest(until time.Time) { r.rests = until }

func (r *route) clear() {
	clear(r.tried)
	clear(r.waited)
}

// heard notes an answer from the present address. It is true if the first relay is to be tried again now, where the route
// then is.
func (r *route) heard(now time.Time) bool {
	r.clear()
	r.turn, r.back, r.silent[r.at] = false, -1, time.Time{}
	if r.at == 0 {
		r.home = now
		return false
	}
	if now.Sub(r.home) < homeAgain {
		return false
	}
	r.home, r.back, r.at = now, r.at, 0
	return true
}

// next is the first address that has not been tried and did not fall silent lately, discovery itself if there is no such
// relay.
func (r *route) next(now time.Time) int {
	last := len(r.addrs) - 1
	for i := range last {
		if !r.tried[i] && (r.silent[i].IsZero() || now.Sub(r.silent[i]) >= silentRest) {
			return i
		}
	}
	return last
}

// goOn chooses where the next call is made after one that ended so, and is true if it is to be made at once: at the relays
// until one answers, then at discovery itself if it is this agent's turn. Danger: the agents of relays that were lost
// together would ask it together, and it works through calls one after the other; out of its turn an agent leaves it to
// the module when to ask.
func (d *Client) goOn(ctx context.Context, err error) bool {
	r, now := d.route, time.Now()
	if errors.Is(err, errHome) {
		return true
	}
	if !r.relayed() && r.back < 0 {
		return false
	}
	var busy busyError
	if r.relayed() && errors.As(err, &busy) && !r.waited[r.at] && busy.after <= d.left() {
		r.waited[r.at] = true
		return sleep(ctx, busy.after)
	}
	if errors.Is(err, ErrTruncatedList) || errors.Is(err, context.DeadlineExceeded) {
		r.silent[r.at] = now
	}
	first := !slices.Contains(r.tried, true)
	r.tried[r.at] = true
	from := r.addr()
	switch back := r.back; {
	case back >= 0 && !r.tried[back]:
		r.at, r.back = back, -1
	default:
		r.at = r.next(now)
		if !r.relayed() && d.ask() && !r.turn {
			r.at = 0 // where a round begins
			return false
		}
	}
	d.client.CloseIdleConnections()
	if first {
		d.log.Info("another relay is asked", "failed", from, "error", err, "next", r.addr(), "left", d.left())
	}
	return true
}

func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
