package fairshare

import (
	"os"
	"slices"
	"sync"
	"syscall"
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

// Guards against two processes of an agent that each fill the processor: together they must take no more than the target, in
// about equal parts.
func TestProcessesShareOneTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		used := make([]fakeProcessor, 2)
		end := time.Now().Add(time.Second)
		var all sync.WaitGroup
		for i := range used {
			s := newScheduler(1, used[i].time, ignoreWait)
			s.beside.read = func(pid int) (time.Duration, error) { return used[pid].time(), nil }
			s.SetOtherProcesses([]int{1 - i})
			for range 4 {
				all.Go(func() { used[i].run(s.Accepted(), "work", 100*time.Microsecond, end) })
			}
		}
		all.Wait()
		target := time.Duration(targetShare * float64(time.Second))
		if sum := used[0].used + used[1].used; sum > target+maxDebt || sum < target/2 {
			t.Errorf("got %v of processor time in a second, want at most %v and at least half of it", sum, target+maxDebt)
		}
		if least, most := min(used[0].used, used[1].used), max(used[0].used, used[1].used); least < most*8/10 {
			t.Errorf("got %v and %v of processor time, want about as much for each process", least, most)
		}
	})
}

// Guards against a process that has ended and still counts, or one that counts with what it used before.
func TestEndedProcessUsesNothingMore(t *testing.T) {
	used := map[int]time.Duration{1: time.Hour, 2: time.Hour}
	p := processes{read: func(pid int) (time.Duration, error) {
		if _, found := used[pid]; !found {
			return 0, syscall.EINVAL
		}
		return used[pid], nil
	}}
	p.set([]int{1, 2, 3})
	used[1] += time.Second
	if got := p.sum(); got != time.Second {
		t.Errorf("got %v used beside this process, want 1s", got)
	}
	delete(used, 1)
	used[2] += time.Second
	p.set(nil)
	if got := p.sum(); got != 2*time.Second {
		t.Errorf("got %v used beside this process, want 2s", got)
	}
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

// The processor time of another process must be that which it has used, and fail when there is no such process.
func TestProcessorTimeOfOtherProcess(t *testing.T) {
	own := processorTime()
	if used, err := processorTimeOf(os.Getpid()); err != nil || used < own {
		t.Errorf("got %v and error %v, want at least %v", used, err, own)
	}
	const noProcess = 1 << 25 // more than the kernel gives
	if used, err := processorTimeOf(noProcess); err == nil {
		t.Errorf("no process: got %v, want an error", used)
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
