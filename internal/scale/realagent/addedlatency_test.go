package realagent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestUnmeasuredCalls checks which responses make a call fail and which exclude its latency from the measurement.
func TestUnmeasuredCalls(t *testing.T) {
	echo := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
	for name, c := range map[string]struct {
		respond func(id string, n int) string // to the connection's n-th request, from 0; empty: the connection is closed
		failed  bool
		clean   bool
	}{
		"served":              {func(id string, _ int) string { return echo(id) }, false, true},
		"retried after close": {func(id string, n int) string { return strings.Repeat(echo(id), 1-n) }, false, false},
		"rejected": {func(id string, n int) string {
			if n == 0 {
				return echo(id)
			}
			return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
		}, true, true},
		"response of another call": {func(id string, n int) string { return echo(id[:len(id)-n]) }, true, true},
		"partial response":         {func(id string, n int) string { return echo(id)[:len(echo(id))-n] }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := respondingServer(t, c.respond)
			client := newClient(&agent{listen: addr}, addr, 0)
			defer client.close()
			if _, clean, err := client.call(t.Context(), throughAgent); clean || err != nil {
				t.Fatalf("first call: got clean %v, error %v; want false and no error", clean, err)
			}
			_, clean, err := client.call(t.Context(), throughAgent)
			if (err != nil) != c.failed || clean != c.clean {
				t.Errorf("got clean %v, error %v; want clean %v, failed %v", clean, err, c.clean, c.failed)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := newClient(&agent{}, "", 0).callPair(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("callPair with a cancelled context: got error %v, want %v", err, context.Canceled)
	}
}

// respondingServer serves connections until the test ends, each for at most two requests. An empty response closes the
// connection.
func respondingServer(t *testing.T, respond func(id string, n int) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; n < 2; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					text := respond(r.Header.Get(callIDHeader), n)
					if io.WriteString(c, text); text == "" {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
