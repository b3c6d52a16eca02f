package agent

import (
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	// idleGrace is how long the terms let a connection be without a request before the agent may close it.
	idleGrace         = 2 * time.Second
	idleCloseInterval = 50 * time.Millisecond
	// drainRequestsUntil is how long after drain-on a client that was slow to send may still be served. Operators take a connection
	// that still brings requests 4 s after it for one that was never sent away.
	drainRequestsUntil = 3800 * time.Millisecond
	// killForgiveness is how long after SIGTERM the platform forgives a request that is open when it kills the process: 0.7 s,
	// less what a request may take to come here.
	killForgiveness = 600 * time.Millisecond
)

var (
	ErrShuttingDown = errors.New("the process is leaving")
	ErrDraining     = errors.New("clients are sent away")
)

// drainer is whether clients are sent away: on the operators' word, which they may take back, or because the process is
// to end, which nobody can. It is the one owner of that state.
type drainer struct {
	listener *Listener
	done     <-chan struct{} // closed when the agent has ended
	log      *slog.Logger

	mu            sync.Mutex
	drainSince    time.Time     // by the operators, the zero time if they did not
	shutdownSince time.Time     // SIGTERM has come then
	killedAfter   time.Duration // after that
	grace         time.Duration // that connections may be idle for; set with emptying
	closingIdle   bool          // a goroutine closes idle connections
}

// reason says that clients are sent away, and why.
func (d *drainer) reason() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.shutdownSince.IsZero():
		return ErrShuttingDown
	case !d.drainSince.IsZero():
		return ErrDraining
	}
	return nil
}

// start sends clients away on the operators' word; twice is as good as once.
func (d *drainer) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainSince.IsZero() {
		d.drainSince = time.Now()
	}
	d.startClosingIdle(idleGrace)
}

// stop takes clients again, unless the process is to end.
func (d *drainer) stop() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainSince = time.Time{}
	if !d.shutdownSince.IsZero() {
		return ErrShuttingDown
	}
	return nil
}

// shutDown sends clients away for good; the process is as good as killed after so long.
func (d *drainer) shutDown(killed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdownSince, d.killedAfter = time.Now(), killed
}

// closeIdleAfter closes from now on what has been idle for so long, as a drain on the operators' word does.
func (d *drainer) closeIdleAfter(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startClosingIdle(grace)
}

// startClosingIdle closes connections that are idle for long enough, for as long as clients are sent away. The mutex is held.
func (d *drainer) startClosingIdle(grace time.Duration) {
	d.grace = grace
	if d.closingIdle {
		return
	}
	d.closingIdle = true
	go func() {
		look := time.NewTicker(idleCloseInterval)
		defer look.Stop()
		var told time.Time
		for {
			since, grace, stays := d.since()
			if !stays {
				return
			}
			d.listener.closeIdle(time.Now().Add(-grace), false)
			if !since.IsZero() && time.Since(since) > drainRequestsUntil {
				// Who came until then and is still sending a request never ends.
				d.listener.closeIdle(since.Add(drainRequestsUntil), true)
				if since != told {
					open, silent := d.listener.Count()
					d.log.Info("clients are sent away", "for", drainRequestsUntil, "still_open", open, "without_request", silent)
					told = since
				}
			}
			select {
			case <-look.C:
			case <-d.done:
				return
			}
		}
	}()
}

// since is when the operators' drain began, if there is one, for how long connections may be idle, and whether they are still
// to be closed at all.
func (d *drainer) since() (asked time.Time, grace time.Duration, stays bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closingIdle = !d.drainSince.IsZero() || !d.shutdownSince.IsZero()
	return d.drainSince, d.grace, d.closingIdle
}

// requestLimit returns how long a request that is taken now may last, and whether that is bounded: on the operators' word by the
// time that idle connections were closed, when only clients that are slow to send bring any; after SIGTERM by what the
// platform still forgives if it kills the process under it.
func (d *drainer) requestLimit() (left time.Duration, bounded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.shutdownSince.IsZero():
		return d.killedAfter - time.Since(d.shutdownSince), time.Since(d.shutdownSince) > killForgiveness
	case !d.drainSince.IsZero():
		passed := time.Since(d.drainSince)
		return drainRequestsUntil - passed, passed > idleGrace-idleCloseInterval && passed < drainRequestsUntil
	}
	return 0, false
}

// limitsRequests says whether what is taken now may not last.
func (d *drainer) limitsRequests() bool {
	_, bounded := d.requestLimit()
	return bounded
}
