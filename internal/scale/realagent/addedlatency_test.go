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

// What the other side does to a call decides whether it fails, and whether its time counts.
func TestUnmeasuredCalls(t *testing.T) {
	echo := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
	for what, c := range map[string]struct {
		respond func(id string, n int) string // of the connection's n-th request; empty: the connection is closed
		failed  bool
		clean   bool
	}{
		"served":          {func(id string, _ int) string { return echo(id) }, false, true},
		"crossed a close": {func(id string, n int) string { return strings.Repeat(echo(id), 1-n) }, false, false},
		"refused": {func(id string, n int) string {
			if n == 0 {
				return echo(id)
			}
			return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
		}, true, true},
		"another's answer": {func(id string, n int) string { return echo(id[:len(id)-n]) }, true, true},
		"half an answer":   {func(id string, n int) string { return echo(id)[:len(echo(id))-n] }, true, true},
	} {
		t.Run(what, func(t *testing.T) {
			addr := respondingServer(t, c.respond)
			k := newClient(&agent{listen: addr}, addr, 0)
			defer k.close()
			if _, clean, err := k.call(t.Context(), 0); clean || err != nil {
				t.Fatalf("the first call: clean %v, error %v", clean, err)
			}
			_, clean, err := k.call(t.Context(), 0)
			if (err != nil) != c.failed || clean != c.clean {
				t.Errorf("clean %v, error %v", clean, err)
			}
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := newClient(&agent{}, "", 0).callPair(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("a pair after the context's end: %v", err)
	}
}

// respondingServer serves connections until the test ends; half an answer is the end of one.
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
