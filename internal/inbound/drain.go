package inbound

import (
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	idleCloseInterval = 50 * time.Millisecond
	// drainLimit is how long after a drain began a client that is slow to send may still be served: operators expect no
	// request on any connection from 4 s on.
	drainLimit = 3800 * time.Millisecond
	// killExemption is how long after SIGTERM the platform forgives a request that is open when it kills the process:
	// 0.7 s, less what a request may take to come here.
	killExemption = 600 * time.Millisecond
)

var (
	// ErrShuttingDown says that the process is to end.
	ErrShuttingDown = errors.New("the process is leaving")
	// ErrDraining says that the operators drain the agent.
	ErrDraining = errors.New("clients are sent away")
)

// drainer is the sole owner of whether the agent drains: because the operators want it, who may end that, or because the
// process shuts down, which is for good. Its mutex guards all but the fields that are set when it is made.
type drainer struct {
	listener *Listener
	done     <-chan struct{} // closed when the agent has ended
	log      *slog.Logger

	mu            sync.Mutex
	drainSince    time.Time     // the zero time if the operators do not drain
	shutdownSince time.Time     // the zero time if the process is not to end
	killedAfter   time.Duration // from then on
	grace         time.Duration // that connections may be idle for
	closingIdle   bool          // a goroutine closes idle connections
}

// reason returns why the agent drains, nil if it does not.
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

// start begins a drain by the operators; it has no further effect on one that has begun.
func (d *drainer) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainSince.IsZero() {
		d.drainSince = time.Now()
	}
	d.startClosingIdle(IdleGrace)
}

// stop ends a drain by the operators. It returns ErrShuttingDown if the process shuts down all the same.
func (d *drainer) stop() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainSince = time.Time{}
	if !d.shutdownSince.IsZero() {
		return ErrShuttingDown
	}
	return nil
}

// shutDown drains for good; the platform kills the process after so long.
func (d *drainer) shutDown(killedAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdownSince = time.Now()
	d.killedAfter = killedAfter
}

// closeIdleAfter closes from now on what has been idle for so long, as a drain does.
func (d *drainer) closeIdleAfter(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startClosingIdle(grace)
}

// startClosingIdle starts the goroutine that closes idle connections, or changes its grace. The mutex is held.
func (d *drainer) startClosingIdle(grace time.Duration) {
	d.grace = grace
	if d.closingIdle {
		return
	}
	d.closingIdle = true
	go d.closeIdle() // ends with the drain, at the latest with the agent
}

// closeIdle closes connections that are idle for longer than the grace, for as long as the agent drains.
func (d *drainer) closeIdle() {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	var logged time.Time // the drain whose limit was logged
	for {
		since, grace, draining := d.idleLimits()
		if !draining {
			return
		}
		d.listener.closeIdle(time.Now().Add(-grace), false)
		if !since.IsZero() && time.Since(since) > drainLimit {
			// A client that came before the limit and is still sending a request never ends.
			d.listener.closeIdle(since.Add(drainLimit), true)
			if since != logged {
				d.logDrainLimit()
				logged = since
			}
		}
		select {
		case <-ticker.C:
		case <-d.done:
			return
		}
	}
}

func (d *drainer) logDrainLimit() {
	open, idle := d.listener.count()
	d.log.Info("drain limit reached", "after", drainLimit, "still_open", open, "without_request", idle)
}

// idleLimits returns when the operators' drain began, if there is one, for how long connections may be idle, and whether the
// agent still drains.
func (d *drainer) idleLimits() (drainSince time.Time, grace time.Duration, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closingIdle = !d.drainSince.IsZero() || !d.shutdownSince.IsZero()
	return d.drainSince, d.grace, d.closingIdle
}

// requestLimit returns how long a request that begins now may last, and whether that is limited: in a drain from the time
// on when idle connections have been closed, so that only clients that are slow to send are left; in a shutdown from when
// on the platform counts a request that is cut off by the kill.
func (d *drainer) requestLimit() (remaining time.Duration, limited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.shutdownSince.IsZero():
		elapsed := time.Since(d.shutdownSince)
		return d.killedAfter - elapsed, elapsed > killExemption
	case !d.drainSince.IsZero():
		elapsed := time.Since(d.drainSince)
		return drainLimit - elapsed, elapsed > IdleGrace-idleCloseInterval && elapsed < drainLimit
	}
	return 0, false
}

// limitsRequests says whether requests that begin now are limited.
func (d *drainer) limitsRequests() bool {
	_, limited := d.requestLimit()
	return limited
}
