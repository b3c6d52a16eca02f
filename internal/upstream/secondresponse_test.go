package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/metrics"
)

// Guards against serving a request with the second copy, some milliseconds late, of the response to an earlier one.
func TestLateSecondResponseIsNotServed(t *testing.T) {
	for _, late := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go respondTwice(c, late)
				}
			}()
			cfg := agenttest.Config(t, "127.0.0.1:1", agenttest.Settings)
			p := NewPool(&cfg.Settings, 100, nil, &metrics.Metrics{})
			endpoint := p.AddEndpoint(l.Addr().String(), 0)
			ctx, cancel := context.WithTimeout(t.Context(), agenttest.Timeout)
			defer cancel()
			for i := range 30 {
				path := fmt.Sprintf("/c/%d", i)
				r := exchangeBefore(p, ctx, endpoint, NewRequest("GET", path, "x", nil, nil, nil), time.Time{})
				if r.Outcome != balancer.OutcomeOK || string(r.Response.Body) != path {
					t.Fatalf("got outcome %d with response %q to %s", r.Outcome, r.Response.Body, path)
				}
				time.Sleep(time.Duration(i%4) * time.Millisecond)
			}
		})
	}
}

// respondTwice answers each request on a connection with its path after 30 ms, and once more when late has passed.
func respondTwice(c net.Conn, late time.Duration) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		time.Sleep(30 * time.Millisecond)
		// The writes fail once the agent has closed the connection.
		_, _ = c.Write(response)
		time.AfterFunc(late, func() { _, _ = c.Write(response) })
	}
}
