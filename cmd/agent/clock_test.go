package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// startSteppedAgent starts one agent with its own wall clock and one working server. It returns the agent's address.
func startSteppedAgent(t *testing.T) (listen string, clock steppedClock) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "served")
	}))
	t.Cleanup(server.Close)
	addr, polls := newDiscovery(t)
	known := fmt.Sprintf(`"known":{"revision":1,"complete":true,"members":[{"id":"x","host_port":%q,"phase":"Ready"}]},"seed"`, server.Listener.Addr())
	listen = uniqueAddr(t)
	text := strings.NewReplacer(`"seed"`, known, `"effect":"pure"`, `"effect":"side_effect"`, `"deadline":200`, `"deadline":20000`, `"sockets":1024`, `"sockets":256`).
		Replace(fmt.Sprintf(configText, listen, addr, 1))
	cmd, stderr, _ := newAgentCommand(t, text)
	clock = attachClock(t, cmd, buildClockLibrary(t))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, stderr)
	awaitWatch(t, polls)
	awaitUp(t, listen)
	return listen, clock
}

// The timeout for a client's body must not depend on the wall clock. Whatever steps the clock makes, a body that
// arrives in time is served, and one that is too slow gets an error or a closed connection within badClientTimeout.
func TestBodyTimeoutUnderSteppedClock(t *testing.T) {
	const (
		badClientTimeout = 3 * time.Second        // the required limit for bad clients
		slack            = 300 * time.Millisecond // of this machine
	)
	for name, step := range map[string]time.Duration{"no step": 0, "1 h back": -time.Hour, "1 h ahead": time.Hour, "5 s back": -5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listen, clock := startSteppedAgent(t)
			send := func(id string, bodyBytes int, gap time.Duration) (status string, took time.Duration) {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					t.Error(err)
					return "", 0
				}
				defer c.Close()
				started := time.Now()
				c.SetDeadline(started.Add(testTimeout))
				fmt.Fprintf(c, "POST /c/%s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: c\r\nX-Budget: 15000m\r\nContent-Length: %d\r\n\r\n", id, id, bodyBytes)
				go func() {
					for range bodyBytes {
						time.Sleep(gap)
						if _, err := io.WriteString(c, "b"); err != nil {
							return
						}
					}
				}()
				line, err := bufio.NewReader(c).ReadString('\n')
				if err != nil && !errors.Is(err, io.EOF) && !os.IsTimeout(err) {
					return "closed", time.Since(started)
				}
				return strings.TrimSpace(line), time.Since(started)
			}
			var concurrent sync.WaitGroup
			defer concurrent.Wait()
			concurrent.Go(func() {
				time.Sleep(400 * time.Millisecond) // during both bodies
				clock.setOffset(t, step)
			})
			concurrent.Go(func() {
				if status, took := send("good", 15, 100*time.Millisecond); !strings.Contains(status, " 200 ") {
					t.Errorf("body of 1.5 s: got %q after %v, want status 200", status, took)
				}
			})
			if status, took := send("bad", 100, 500*time.Millisecond); strings.Contains(status, " 200 ") || took > badClientTimeout+slack {
				t.Errorf("body that is too slow: got %q after %v, want an error within %v", status, took, badClientTimeout+slack)
			}
		})
	}
}
