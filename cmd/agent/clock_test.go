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

// steppedAgent starts one agent in front of a server that is up, with a wall clock of its own.
func steppedAgent(t *testing.T) (listen string, clock steppedClock) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "served")
	}))
	t.Cleanup(server.Close)
	addr, polls := newDiscovery(t)
	known := fmt.Sprintf(`"known":{"revision":1,"complete":true,"members":[{"id":"x","host_port":%q,"phase":"Ready"}]},"seed"`, server.Listener.Addr())
	listen = ownAddr(t)
	text := strings.NewReplacer(`"seed"`, known, `"effect":"pure"`, `"effect":"side_effect"`, `"deadline":200`, `"deadline":20000`, `"sockets":1024`, `"sockets":256`).
		Replace(fmt.Sprintf(configText, listen, addr, 1))
	cmd, stderr, _ := program(t, text)
	clock = withClock(t, cmd, clockStepper(t))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, stderr)
	awaitWatch(t, polls)
	awaitUp(t, listen)
	return listen, clock
}

// A client's body is held to its pace by real time, whatever the wall clock does meanwhile: one that comes within the time that
// the terms give is served, one that trickles on is answered with an error or closed within it.
func TestBodiesUnderASteppedClock(t *testing.T) {
	const (
		owed  = 3 * time.Second        // for bad clients, by the terms
		slack = 300 * time.Millisecond // of this machine
	)
	for name, step := range map[string]time.Duration{"right": 0, "an hour back": -time.Hour, "an hour on": time.Hour, "5 s back": -5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listen, clock := steppedAgent(t)
			send := func(id string, pieces int, gap time.Duration) (status string, took time.Duration) {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					t.Error(err)
					return "", 0
				}
				defer c.Close()
				begun := time.Now()
				c.SetDeadline(begun.Add(testTimeout))
				fmt.Fprintf(c, "POST /c/%s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: c\r\nX-Budget: 15000m\r\nContent-Length: %d\r\n\r\n", id, id, pieces)
				go func() {
					for range pieces {
						time.Sleep(gap)
						if _, err := io.WriteString(c, "b"); err != nil {
							return
						}
					}
				}()
				line, err := bufio.NewReader(c).ReadString('\n')
				if err != nil && !errors.Is(err, io.EOF) && !os.IsTimeout(err) {
					return "closed", time.Since(begun)
				}
				return strings.TrimSpace(line), time.Since(begun)
			}
			var beside sync.WaitGroup
			defer beside.Wait()
			beside.Go(func() {
				time.Sleep(400 * time.Millisecond) // within both bodies
				clock.set(t, step)
			})
			beside.Go(func() {
				if status, took := send("good", 15, 100*time.Millisecond); !strings.Contains(status, " 200 ") {
					t.Errorf("a body of 1.5 s is answered %q after %v", status, took)
				}
			})
			if status, took := send("bad", 100, 500*time.Millisecond); strings.Contains(status, " 200 ") || took > owed+slack {
				t.Errorf("a body that never ends is answered %q after %v", status, took)
			}
		})
	}
}
