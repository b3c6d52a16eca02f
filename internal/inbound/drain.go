package inbound

import (
	"errors"
	"log/slog"
	"sync"
	"time"
)

const (
	idleCloseInterval = 50 * time.Millisecond
	// drainLimit is how long after the start of a drain a client that is slow to send may still be served. Operators
	// expect no request on any connection after 4 s.
	drainLimit = 3800 * time.Millisecond
	// killExemption is how long after SIGTERM a request may begin without counting as failed if it is open when the
	// platform kills the process. The platform exempts 0.7 s, which includes the time that the request takes to arrive.
	killExemption = 600 * time.Millisecond
)

var (
	// ErrShuttingDown is returned while the process shuts down.
	ErrShuttingDown = errors.New("the process is leaving")
	// ErrDraining is returned while the operators drain the agent.
	ErrDraining = errors.New("clients are sent away")
)

// drainer is the sole owner of the drain state. The agent drains because the operators have started a drain, which they
// may stop, or because the process shuts down, which is permanent. Its mutex guards all fields below it; those above it
// do not change.
type drainer struct {
	listener *Listener
	done     <-chan struct{} // closed when the agent has ended
	log      *slog.Logger

	mu            sync.Mutex
	drainSince    time.Time     // the zero time if the operators do not drain
	shutdownSince time.Time     // the zero time if the process does not shut down
	failAfter     time.Duration // when open requests fail, counted from shutdownSince
	grace         time.Duration // how long connections may be idle
	closingIdle   bool          // the goroutine that closes idle connections is running
}

// reason returns ErrShuttingDown or ErrDraining if the agent drains, and nil if it does not.
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

// start starts a drain by the operators. It does not restart a drain that has already started.
func (d *drainer) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainSince.IsZero() {
		d.drainSince = time.Now()
	}
	d.startClosingIdle(IdleGrace)
}

// stop stops a drain by the operators. It returns ErrShuttingDown if the agent still drains because the process shuts
// down.
func (d *drainer) stop() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainSince = time.Time{}
	if !d.shutdownSince.IsZero() {
		return ErrShuttingDown
	}
	return nil
}

// shutDown starts the permanent drain of a shutdown. A request that begins after killExemption fails if it is still
// open after failAfter.
func (d *drainer) shutDown(failAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shutdownSince = time.Now()
	d.failAfter = failAfter
}

// closeIdleAfter starts closing connections that have been idle for the given time, as a drain does.
func (d *drainer) closeIdleAfter(grace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startClosingIdle(grace)
}

// startClosingIdle starts the goroutine that closes idle connections, or changes its grace. The caller holds the mutex.
func (d *drainer) startClosingIdle(grace time.Duration) {
	d.grace = grace
	if d.closingIdle {
		return
	}
	d.closingIdle = true
	go d.closeIdle() // ends with the drain, at the latest with the agent
}

// closeIdle closes connections that are idle for longer than the grace, as long as the agent drains.
func (d *drainer) closeIdle() {
	ticker := time.NewTicker(idleCloseInterval)
	defer ticker.Stop()
	var logged time.Time // start of the drain whose limit was logged
	for {
		since, grace, draining := d.idleLimits()
		if !draining {
			return
		}
		d.listener.closeIdle(time.Now().Add(-grace), false)
		if !since.IsZero() && time.Since(since) > drainLimit {
			// Without this a client that connected before the limit could go on sending its request forever.
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

// idleLimits returns when the operators' drain began (the zero time if there is none), how long connections may be
// idle, and whether the agent still drains. If it does not, the caller must stop closing idle connections.
func (d *drainer) idleLimits() (drainSince time.Time, grace time.Duration, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closingIdle = !d.drainSince.IsZero() || !d.shutdownSince.IsZero()
	return d.drainSince, d.grace, d.closingIdle
}

// requestLimit returns how long a request that begins now may take, and whether that is limited. In a drain requests
// are limited once idle connections have been closed, because only clients that are slow to send are left then. In a
// shutdown they are limited after killExemption, because from then on the platform counts requests that the kill
// interrupts.
func (d *drainer) requestLimit() (remaining time.Duration, limited bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.shutdownSince.IsZero():
		elapsed := time.Since(d.shutdownSince)
		return d.failAfter - elapsed, elapsed > killExemption
	case !d.drainSince.IsZero():
		elapsed := time.Since(d.drainSince)
		return drainLimit - elapsed, elapsed > IdleGrace-idleCloseInterval && elapsed < drainLimit
	}
	return 0, false
}

// limitsRequests reports whether requests that begin now are limited.
func (d *drainer) limitsRequests() bool {
	_, limited := d.requestLimit()
	return limited
}
