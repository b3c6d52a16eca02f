package handover

import "sync"

// fakeClientConns counts clients' connections that are not there.
type fakeClientConns struct {
	released chan struct{}

	mu                  sync.Mutex
	maxConns, maxActive int
	open                int
	closed              bool
}

func newFakeClientConns() *fakeClientConns {
	return &fakeClientConns{released: make(chan struct{}, 1)}
}

func (f *fakeClientConns) Resize(maxConns, maxActive int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxConns = maxConns
	f.maxActive = maxActive
}

func (f *fakeClientConns) UpdateLimits(decide func(open int, accepting bool) (maxConns, maxActive int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxConns, f.maxActive = decide(f.open, !f.closed)
}

func (f *fakeClientConns) Released() <-chan struct{} { return f.released }

func (f *fakeClientConns) limits() (maxConns, maxActive int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxConns, f.maxActive
}

// stopAccepting leaves so many connections open and lets in no more.
func (f *fakeClientConns) stopAccepting(open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open = open
	f.closed = true
}

// close ends one connection.
func (f *fakeClientConns) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	select {
	case f.released <- struct{}{}:
	default:
	}
}

// fakeServerConns stands for connections to servers, of which none is open.
type fakeServerConns struct {
	mu       sync.Mutex
	maxConns int
}

func (f *fakeServerConns) Resize(maxConns int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxConns = maxConns
}

func (f *fakeServerConns) UpdateLimit(decide func(open int) (maxConns int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxConns = decide(0)
}

func (f *fakeServerConns) limit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxConns
}
