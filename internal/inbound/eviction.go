package inbound

import (
	"cmp"
	"slices"
	"syscall"
	"time"
	"unsafe"
)

// newConnGrace is how long a new connection may take to send its first request before it may be closed.
const newConnGrace = 250 * time.Millisecond

// evictable returns the connection to close for a new one, or nil if none may be closed. On a connection whose last
// request was answered a moment ago the next one may have arrived already, so it is kept for IdleGrace. A new
// connection is kept for newConnGrace because it is about to send its first request. If the number of connections has
// reached both limits, evictable returns one whose client has left, or a new connection, or else one that is sending a
// request. The caller holds the mutex.
func (l *Listener) evictable() *clientConn {
	if e := l.closing.Front(); e != nil {
		return e.Value.(*clientConn)
	}
	var unused, reading *clientConn
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		age := time.Since(c.idleSince)
		switch {
		case c.reading:
			reading = cmp.Or(reading, c)
		case age >= IdleGrace, !c.reused && age >= newConnGrace:
			return c
		case !c.reused:
			unused = cmp.Or(unused, c)
		}
	}
	if l.open < max(l.maxConns, l.maxActive) {
		return nil
	}
	return cmp.Or(l.leftByClient(), unused, reading)
}

// leftByClient returns the connection that has been without a request longest of those whose clients have closed them, or
// nil. Clients that connect and leave faster than their connections are read would otherwise displace clients that stay.
// The caller holds the mutex.
func (l *Listener) leftByClient() *clientConn {
	l.polled = l.polled[:0]
	for e := l.idle.Front(); e != nil; e = e.Next() {
		l.polled = append(l.polled, pollDescriptor{fd: e.Value.(*clientConn).fd, events: pollRDHUP})
	}
	pollNow(l.polled)
	left := func(p pollDescriptor) bool { return p.revents&pollRDHUP != 0 }
	if !slices.ContainsFunc(l.polled, left) {
		return nil
	}
	i := 0
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		// The descriptor may have been closed, and belong to another connection by now.
		if left(l.polled[i]) && c.closedByClient() {
			return c
		}
		i++
	}
	return nil
}

// pollRDHUP is the POLLRDHUP event of poll(2), which package syscall does not define.
const pollRDHUP = 0x2000

// pollHUP is the POLLHUP event of poll(2), which is always reported.
const pollHUP = 0x10

// pollDescriptor is the struct pollfd of poll(2).
type pollDescriptor struct {
	fd              int32
	events, revents int16
}

// pollNow polls descriptors without waiting. If that fails, no event is set.
func pollNow(descriptors []pollDescriptor) {
	if len(descriptors) == 0 {
		return
	}
	_, _, _ = syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&descriptors[0])), uintptr(len(descriptors)),
		uintptr(unsafe.Pointer(&syscall.Timespec{})), 0, 0, 0)
}
