package agent

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/metrics"
)

// deaf returns an address at which connections never come up.
func deaf(t *testing.T) string {
	addr, _ := full(t)
	return addr
}

// full returns the address and the descriptor of a listener whose queue of connections is full, so that none comes up.
func full(t *testing.T) (addr string, fd int) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 16 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr, fd
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("connections come up all the same")
	return "", 0
}

// A request on its way to a backend that begins to leave before anything was sent goes on to another at once, whatever its
// class and however few attempts are allowed.
func TestLeavingWhileConnecting(t *testing.T) {
	x, y := deaf(t), newBackend(t, serves)
	set := strings.NewReplacer(`"maxAttempts":3`, `"maxAttempts":1`, `"extraFloor":100`, `"extraFloor":0`,
		`"connectTimeout":2000`, `"connectTimeout":20000`).Replace(testSettings)
	l := newLists(t, hosts(1, true, host("x", x, "Ready", 0)))
	a := start(t, configFor(t, l.Listener.Addr().String(), set))
	receive(t, "first call", l.calls)
	for i, class := range []string{"unsafe", "keyed", "safe"} {
		answered := make(chan int, 1)
		go func() {
			status, _ := a.do(t, a.request(class, "15000m"))
			answered <- status
		}()
		time.Sleep(200 * time.Millisecond) // it waits for the connection
		receive(t, "watch", l.calls)
		begun := time.Now()
		l.next <- hosts(2+2*i, true, host("x", x, "Terminating", 0), host("y", y.addr, "Ready", 0))
		if status := receive(t, "answer", answered); status != 200 || time.Since(begun) > 5*time.Second {
			t.Errorf("%s: answered %d after %v", class, status, time.Since(begun))
		}
		receive(t, "request", y.got)
		receive(t, "watch", l.calls)
		l.next <- hosts(3+2*i, true, host("x", x, "Ready", 0)) // it stays after all
	}
}

// Nothing is written to a backend that has begun to leave, on no kind of connection, and its idle ones stay.
func TestNothingNewToLeaving(t *testing.T) {
	b := newBackend(t, serves)
	cfg := configFor(t, "127.0.0.1:1", testSettings)
	for _, idle := range []bool{false, true} {
		p := newPool(&cfg.Settings, 4, &metrics.Metrics{})
		to := p.target(b.addr, 0)
		m := newMessage("GET", "/", "x", nil, nil, nil)
		if idle {
			if r := exchangeBy(p, t.Context(), to, &m, time.Time{}); r.outcome != balancer.OutcomeOK {
				t.Fatalf("outcome %d", r.outcome)
			}
			<-b.got
		}
		tries := p.metrics.AttemptsSent()
		to.leave()
		if r := exchangeBy(p, t.Context(), to, &m, time.Time{}); r.outcome != balancer.OutcomeServerDraining {
			t.Errorf("idle connection %v: outcome %d", idle, r.outcome)
		}
		if len(b.got) > 0 || p.metrics.AttemptsSent() != tries || p.open != len(to.idle) {
			t.Errorf("idle connection %v: %d sent, %d tries counted, %d connections open and %d idle", idle, len(b.got), p.metrics.AttemptsSent(), p.open, len(to.idle))
		}
	}
}
