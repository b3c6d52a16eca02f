package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// In an overload that lasts, in which no server answers and clients take every connection they get at both processes, the two
// keep to the descriptors that they have together, the newer serves a client at once, and all that the older took is answered.
func TestReplacementInOverload(t *testing.T) {
	const (
		sockets = 256
		most    = sockets * 9 / 10 // that may be held, by both together
	)
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(end.String(), func(t *testing.T) {
			t.Setenv("TMPDIR", t.TempDir())
			goOn := make(chan struct{})
			letGo := sync.OnceFunc(func() { close(goOn) })
			var hanging, began atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/c/slow") {
					began.Add(1)
					hanging.Add(1)
					defer hanging.Add(-1)
					select {
					case <-goOn:
					case <-r.Context().Done():
					}
				}
				io.WriteString(w, "served")
			}))
			defer server.Close()
			defer letGo()
			list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.RawQuery != "" {
					<-r.Context().Done()
					return
				}
				fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[{"id":"x","host_port":%q,"phase":"Ready"}]}`, server.Listener.Addr())
			}))
			defer func() { list.CloseClientConnections(); list.Close() }()
			listen := freeAddr(t)
			begin := func() (cmd *exec.Cmd, stderr io.Reader, console string) {
				console = freeAddr(t)
				cmd, stderr, _ = program(t, strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"aim":100,"deadline":200`,
					`"aim":30000,"deadline":30000`, `"seed"`, fmt.Sprintf(`"console":%q,"seed"`, console)).Replace(
					fmt.Sprintf(configText, listen, list.Listener.Addr(), 1)))
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				for begun := time.Now(); call(console, "check") != "ok\n"; time.Sleep(time.Millisecond) {
					if time.Since(begun) > Timeout {
						t.Fatalf("check is answered %q", call(console, "check"))
					}
				}
				return cmd, stderr, console
			}
			held := func(cmd *exec.Cmd) int {
				fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)) // none once it has ended
				return len(fds)
			}

			// ask sends a request on a connection of its own. It is not let in, or waits for its answer.
			var id, open, away, lost, answered atomic.Int64
			ask := func(path string) (status int) {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					return 0
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(Timeout))
				fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Call-Class: c\r\nX-Budget: 25000m\r\n\r\n", path, id.Add(1))
				open.Add(1)
				defer open.Add(-1)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return 0
				}
				defer resp.Body.Close()
				if body, err := io.ReadAll(resp.Body); resp.StatusCode == http.StatusOK && (err != nil || string(body) != "served") {
					lost.Add(1)
				}
				return resp.StatusCode
			}
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			var pause sync.RWMutex // while it is held none that is not let in comes again
			waitWhilePaused := func() {
				pause.RLock()
				defer pause.RUnlock()
			}
			flood := func(n int) {
				for range n {
					clients.Go(func() {
						for ctx.Err() == nil {
							waitWhilePaused()
							switch ask("/c/slow") {
							case 0:
								away.Add(1)
							case http.StatusOK:
								answered.Add(1)
							}
							select {
							case <-ctx.Done():
							case <-time.After(20 * time.Millisecond):
							}
						}
					})
				}
			}
			// until waits for what the clients see.
			until := func(what string, done func() bool) {
				t.Helper()
				for begun := time.Now(); !done(); time.Sleep(time.Millisecond) {
					if time.Since(begun) > Timeout {
						t.Fatalf("never %s", what)
					}
				}
			}
			pressed := func() {
				t.Helper()
				from := away.Load()
				until("full", func() bool { return away.Load() > from+sockets })
			}

			old, oldErr, _ := begin()
			flood(sockets)
			until("full of requests", func() bool { return hanging.Load() >= sockets/4 })
			pressed()
			pause.Lock()
			alone := held(old)
			next, nextErr, console := begin()
			var looks, peak atomic.Int64
			looked := make(chan struct{})
			stopLooks := make(chan struct{})
			go func() {
				defer close(looked)
				for {
					select {
					case <-stopLooks:
						return
					case <-time.After(time.Millisecond):
					}
					looks.Add(1)
					if sum := int64(held(old) + held(next)); sum > peak.Load() {
						peak.Store(sum)
					}
				}
			}()
			// The newer is found and serves, though the older is full.
			served := func() bool {
				return ask("/c/quick") == http.StatusOK && strings.Contains(call(console, "vars"), `gw_responses_total{kind="c",result="ok"}`)
			}
			until("served by the new process", served)
			pause.Unlock()
			pressed()
			notify(t, old, end)
			if end == syscall.SIGKILL {
				until("more at the survivor than the two had room for each", func() bool { return held(next) > alone*9/10 })
				old.Wait()
			} else {
				pressed()
				letGo()
				ends(t, old, oldErr)
			}
			stop()
			letGo()
			clients.Wait()
			close(stopLooks)
			<-looked
			if peak.Load() > most {
				t.Errorf("the two held %d descriptors of %d, %d may be held", peak.Load(), sockets, most)
			}
			if lost.Load() > 0 || answered.Load() == 0 || end == syscall.SIGTERM && answered.Load() != began.Load() {
				t.Errorf("of %d requests that came to the server %d were answered, %d answers were cut", began.Load(), answered.Load(), lost.Load())
			}
			t.Logf("%d descriptors of %d at most in %d looks, %d by the first alone; %d answered, %d not let in",
				peak.Load(), sockets, looks.Load(), alone, answered.Load(), away.Load())
			notify(t, next, syscall.SIGTERM)
			ends(t, next, nextErr)
		})
	}
}
