package fairshare

import "time"

// Account is the processor time of one connection, or of one kind of work. A nil Account never waits. The scheduler's mutex
// guards its fields.
type Account struct {
	scheduler  *Scheduler
	own        allowance
	used       bool          // the first piece may start, or has started
	admitted   bool          // AwaitFirst has waited for the next piece
	running    bool          // a piece has started and not ended
	beyondOwn  bool          // the last piece was beyond the account's own share
	cpuAtStart time.Duration // the processor time of the process when the piece started
	expected   time.Duration // what a piece costs
}

// Await ends the current piece of work and waits until there is processor time for the next one, which begins with Start.
// It reports whether it had to wait.
func (a *Account) Await() (waited bool) {
	if a == nil {
		return false
	}
	began := time.Now()
	granted := a.request(began)
	if granted == nil {
		return false
	}
	<-granted
	a.scheduler.onWait(time.Since(began))
	return true
}

// request ends the current piece of work. It returns nil if the next one may start, and otherwise a channel that is closed
// when it may.
func (a *Account) request(now time.Time) (granted <-chan struct{}) {
	s := a.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.admitted {
		a.admitted = false
		return nil
	}
	a.end()
	a.beyondOwn = !a.used || a.own.saved(now) <= 0
	switch {
	case !a.beyondOwn:
	case s.waiting() == 0 && s.poolHasTime(now):
		s.pool.take(a.expected, now)
	default:
		granted = s.enqueue(a)
	}
	a.used = true
	return granted
}

// AwaitFirst waits until there is processor time for the first piece of work, so that the first Await need not wait. It
// reports whether it had to wait.
func (a *Account) AwaitFirst() (waited bool) {
	if a == nil {
		return false
	}
	waited = a.Await()
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.admitted = true
	return waited
}

// Start begins a piece of work, or continues one after Pause.
func (a *Account) Start() {
	if a == nil {
		return
	}
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.running = true
	a.cpuAtStart = a.scheduler.cpu()
}

// Pause ends the current piece of work, because it is about to wait.
func (a *Account) Pause() {
	if a == nil {
		return
	}
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	a.end()
}

// end ends the current piece of work and charges it to the account. The caller holds the mutex.
func (a *Account) end() {
	if !a.running {
		return
	}
	a.running = false
	cost := min(a.scheduler.cpu()-a.cpuAtStart, maxPiece)
	a.expected = max(minPiece, (a.expected+cost)/2)
	a.charge(cost)
}

// charge charges work to the account, unless the last piece was beyond its share. The caller holds the mutex.
func (a *Account) charge(cost time.Duration) {
	if !a.beyondOwn {
		a.own.spend(cost)
	}
}

// Timer begins to measure work that another goroutine does for the account. The work is charged when stop is called.
func (a *Account) Timer() (stop func()) {
	if a == nil {
		return func() {}
	}
	s := a.scheduler
	start := s.cpu()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.charge(min(maxCharge, s.cpu()-start))
	}
}
