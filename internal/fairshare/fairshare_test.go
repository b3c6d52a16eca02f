package fairshare

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeProcessor is the processor time of a process that does only what the test says.
type fakeProcessor struct {
	mu    sync.Mutex
	used  time.Duration
	order []string
}

func (p *fakeProcessor) time() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// work uses the processor for a while, and records the name of the work.
func (p *fakeProcessor) work(name string, cost time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used += cost
	p.order = append(p.order, name)
}

// run does pieces of work for an account until the end, without ever waiting for anything else.
func (p *fakeProcessor) run(a *Account, name string, cost time.Duration, end time.Time) (pieces int) {
	for time.Now().Before(end) {
		a.Await()
		a.Start()
		p.work(name, cost)
		pieces++
	}
	a.Pause()
	return pieces
}

func ignoreWait(time.Duration) {}

// Guards against work that keeps the processor from that of others: however many connections have work without end, it must
// take no more than the target, in equal parts.
func TestWorkWithoutEndTakesTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProcessor{}
		s := newScheduler(1, p.time, ignoreWait)
		end := time.Now().Add(time.Second)
		pieces := make([]int, 4)
		var all sync.WaitGroup
		for i := range pieces {
			all.Go(func() { pieces[i] = p.run(s.Accepted(), "work", 100*time.Microsecond, end) })
		}
		all.Wait()
		if limit := time.Duration(targetShare*float64(time.Second)) + maxDebt; p.used > limit || p.used < limit/2 {
			t.Errorf("got %v of processor time in a second, want at most %v and at least half of it", p.used, limit)
		}
		if least, most := slices.Min(pieces), slices.Max(pieces); least < most*8/10 {
			t.Errorf("got pieces of work %v, want about as many for each connection", pieces)
		}
	})
}

// Guards against a sound client that waits behind others: a connection within its share must never wait.
func TestWorkWithinShareStartsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProcessor{}
		s := newScheduler(1, p.time, ignoreWait)
		end := time.Now().Add(time.Second)
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { p.run(s.Accepted(), "flood", 100*time.Microsecond, end) })
		}
		sound := s.Dialed()
		for time.Now().Before(end) {
			if sound.Await() {
				t.Error("work within its share had to wait")
			}
			sound.Start()
			p.work("sound", 200*time.Microsecond)
			sound.Pause()
			time.Sleep(20 * time.Millisecond)
		}
		all.Wait()
	})
}

// Guards against new connections that wait behind those that have work without end: of four pieces that had to wait, three
// must be first pieces while any wait, and one must be another.
func TestNewConnectionsComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProcessor{}
		s := newScheduler(1, p.time, ignoreWait)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.armed = true // this test takes the pieces itself
		for range 8 {
			s.enqueue(s.Dialed())
			s.enqueue(s.Accepted())
		}
		newOnes := 0
		for range 8 {
			if w := s.next(); !w.account.used {
				newOnes++
			}
		}
		if newOnes != 6 {
			t.Errorf("got %d new connections among the first 8, want 6", newOnes)
		}
	})
}

// Guards against pieces that wait forever while the process uses the whole processor for other work.
func TestWorkStartsBesideOtherWorkWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProcessor{}
		s := newScheduler(1, p.time, ignoreWait)
		p.work("busy", time.Second)
		began := time.Now()
		s.Accepted().Await()
		if waited := time.Since(began); waited > maxPause+minPause {
			t.Errorf("a piece of work waited %v, want at most %v", waited, maxPause+minPause)
		}
	})
}

// Guards against new connections that wait although the processor is free, because others were expected to use it.
func TestNewConnectionsStartAtOnceOnFreeProcessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProcessor{}
		s := newScheduler(1, p.time, ignoreWait)
		for range 100 {
			if s.Accepted().AwaitFirst() {
				t.Fatal("a new connection had to wait")
			}
			time.Sleep(minPause)
		}
	})
}

// Guards against a lost wake-up: several goroutines may wait for one account, as a handler does that writes while its
// connection is being read.
func TestSeveralGoroutinesWaitForOneAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProcessor{}
		s := newScheduler(1, p.time, ignoreWait)
		a := s.Accepted()
		p.work("busy", maxSaved+maxDebt)
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() { a.Await() })
		}
		all.Wait()
		if s.Busy() && s.waiting() > 0 {
			t.Error("pieces of work still wait")
		}
	})
}

// A process must be told the processor time that it has used.
func TestProcessorTimeGrows(t *testing.T) {
	before := processorTime()
	for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
	}
	if used := processorTime() - before; used <= 0 {
		t.Errorf("got %v of processor time, want more than 0", used)
	}
}

// Accounts of no scheduler must never wait.
func TestNoScheduler(t *testing.T) {
	var s *Scheduler
	for _, a := range []*Account{s.Accepted(), s.Dialed(), s.Accepting()} {
		if a.Await() || a.AwaitFirst() || s.Busy() {
			t.Error("an account of no scheduler had to wait")
		}
		a.Start()
		a.Timer()()
		a.Pause()
	}
}
