// Package fairshare shares the processor between the agent's peers, so that the work which one of them causes does not
// delay that of the others.
//
// The work of a connection is divided into pieces: what happens from one read to the next. Each Account has a small share
// of the processor, and a piece that is within it starts at once. Work beyond it, and the first piece of a connection that
// a peer has opened, needs processor time from a pool that all such work has in common: the accounts take turns, and no
// more pieces start than the pool has time for, in bursts of about a millisecond. Between two bursts the processor is free
// for reads, timers and writes of all others. The pool has what these leave, so it need not know all work that its pieces
// cause elsewhere.
package fairshare

import (
	"container/list"
	"sync"
	"time"
)

const (
	// targetShare is the share of the processor that the pool fills up when there is enough work.
	targetShare = 0.8
	// connShare is the share of the processor that each connection has.
	connShare = 0.02
	// acceptShare is the share of the processor that accepting connections has.
	acceptShare = 0.5
	// maxSaved is how much unused processor time an account or the pool saves.
	maxSaved = 1500 * time.Microsecond
	// maxDebt is how far an account or the pool is overdrawn at most.
	maxDebt = 10 * time.Millisecond
	// minPiece is the least processor time that a piece of work is expected to take.
	minPiece = 20 * time.Microsecond
	// firstPiece is the processor time that a new connection with its first request is expected to take.
	firstPiece = 200 * time.Microsecond
	// maxPiece is the most processor time that a piece is charged. Other work may have run while it was blocked.
	maxPiece = 5 * time.Millisecond
	// maxCharge is the same for work that is charged with Timer.
	maxCharge = 300 * time.Microsecond
	// minPause is how long work waits when the pool is empty, and the least that a timer of the runtime waits.
	minPause = time.Millisecond
	// maxPause is how long the pool may be empty before a piece starts nevertheless.
	maxPause = 2 * time.Millisecond
	// openedBeforeTurn is the turn at which a connection that was opened before comes first.
	openedBeforeTurn = 4
)

// Scheduler shares the processor. Its methods and those of its accounts may be called by any goroutine. A nil Scheduler
// has accounts that never wait.
type Scheduler struct {
	cores  float64                  // how many the process may use
	cpu    func() time.Duration     // the processor time that the process has used
	onWait func(wait time.Duration) // called when a piece starts that had to wait

	mu     sync.Mutex
	beside processes // of the same agent
	pool   pool
	opened list.List // of *waiter: first pieces of connections that peers have opened
	others list.List // of *waiter: pieces beyond the share of their account
	turn   int       // counts the pieces that had to wait
	armed  bool      // a call of startPieces is due
}

// waiter is a piece of work that waits for the pool.
type waiter struct {
	account *Account
	granted chan struct{} // closed when the piece may start
}

// New returns a scheduler for a process that may use a number of cores, or a part of one. It calls onWait with the time
// that a piece of work has waited.
func New(cores float64, onWait func(wait time.Duration)) *Scheduler {
	return newScheduler(cores, processorTime, onWait)
}

func newScheduler(cores float64, cpu func() time.Duration, onWait func(wait time.Duration)) *Scheduler {
	return &Scheduler{cores: cores, cpu: cpu, onWait: onWait, pool: newPool(cores, cpu()), beside: processes{read: processorTimeOf}}
}

// SetOtherProcesses sets which other processes of the agent there are. They share its cores, so the pool has what all of
// them leave.
func (s *Scheduler) SetOtherProcesses(pids []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beside.set(pids)
}

// Accepted returns an account for a connection that a peer has opened.
func (s *Scheduler) Accepted() *Account { return s.newAccount(connShare, 0) }

// Dialed returns an account for a connection that the agent has opened.
func (s *Scheduler) Dialed() *Account { return s.newOwnAccount(connShare) }

// Accepting returns an account for accepting connections.
func (s *Scheduler) Accepting() *Account { return s.newOwnAccount(acceptShare) }

// newOwnAccount returns an account for work that the agent has begun.
func (s *Scheduler) newOwnAccount(share float64) *Account {
	a := s.newAccount(share, maxSaved)
	if a != nil {
		a.used = true
	}
	return a
}

func (s *Scheduler) newAccount(share float64, saved time.Duration) *Account {
	if s == nil {
		return nil
	}
	return &Account{scheduler: s, own: newAllowance(share*s.cores, saved), expected: firstPiece}
}

// Busy reports whether there is more work than the processor can do beside that of accounts within their shares.
func (s *Scheduler) Busy() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting() > 0 || !s.poolHasTime(time.Now())
}

// poolHasTime reports whether the pool has processor time for a piece of work. The caller holds the mutex.
func (s *Scheduler) poolHasTime(now time.Time) bool {
	return s.pool.hasTime(now, s.cpu()+s.beside.sum())
}

// waiting returns the number of pieces that wait. The caller holds the mutex.
func (s *Scheduler) waiting() int { return s.opened.Len() + s.others.Len() }

// enqueue adds a piece of work to those that wait for the pool. The caller holds the mutex.
func (s *Scheduler) enqueue(a *Account) (granted <-chan struct{}) {
	w := &waiter{account: a, granted: make(chan struct{})}
	if a.used {
		s.others.PushBack(w)
	} else {
		s.opened.PushBack(w)
	}
	s.arm()
	return w.granted
}

// arm arranges that startPieces is called if pieces wait. The caller holds the mutex.
func (s *Scheduler) arm() {
	if s.armed || s.waiting() == 0 {
		return
	}
	s.armed = true
	time.AfterFunc(minPause, s.startPieces)
}

// startPieces starts the pieces that the pool has processor time for.
func (s *Scheduler) startPieces() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = false
	s.pool.piecesHaveRun()
	for now := time.Now(); s.waiting() > 0 && s.poolHasTime(now); {
		w := s.next()
		s.pool.take(w.account.expected, now)
		close(w.granted)
	}
	s.arm()
}

// next removes and returns the piece that is next. Those of connections that have just been opened come first, but not
// always. The caller holds the mutex.
func (s *Scheduler) next() *waiter {
	s.turn++
	from := &s.opened
	if s.opened.Len() == 0 || s.others.Len() > 0 && s.turn%openedBeforeTurn == 0 {
		from = &s.others
	}
	return from.Remove(from.Front()).(*waiter)
}
