package agent

import (
	"math/bits"
	"time"
)

const (
	firstBand = 8 * time.Millisecond // connections idle for less share a band
	idleBands = 12                   // each twice as long as the one before
	// badBreaks and badShare are what makes a band bad: so many requests lost on it, and such a part of all. The
	// share stands well above the resets that servers deal out at any age.
	badBreaks = 2.0
	badShare  = 0.15
	// idleForget is kept of the figures at each sweep: a band that was bad is tried again within half a minute.
	idleForget = 0.96
)

// idleLimit learns how long a connection may have been idle and still be good. The settings tell only when backends
// close one at the latest; some, or what stands between, drop it far sooner and without a word, and the next request
// on it is lost though it may have run. Its owner guards it.
type idleLimit struct {
	used, broke [idleBands]float64
}

func band(idle time.Duration) int {
	return min(bits.Len64(uint64(max(0, idle)/firstBand)), idleBands-1)
}

// note takes in how a request on a connection that had been idle for so long went.
func (l *idleLimit) note(idle time.Duration, broke bool) {
	b := band(idle)
	l.used[b]++
	if broke {
		l.broke[b]++
	}
}

// allows says whether a connection that has been idle for so long may be used: no band up to its own is bad.
func (l *idleLimit) allows(idle time.Duration) bool {
	// The first band counts for nothing: what breaks after no idle time breaks on a new connection too.
	for b := 1; b <= band(idle); b++ {
		if l.broke[b] >= badBreaks && l.broke[b] > badShare*l.used[b] {
			return false
		}
	}
	return true
}

// age lets the figures fade.
func (l *idleLimit) age() {
	for b := range l.used {
		l.used[b] *= idleForget
		l.broke[b] *= idleForget
	}
}
