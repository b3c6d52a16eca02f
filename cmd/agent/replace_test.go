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

// One process replaces another during an overload: no server responds, and clients open every connection that either
// process accepts. Together the two must not exceed their shared descriptor limit, and the new process must serve a
// client while the old one is still full. After SIGTERM, the old process must answer every request that it accepted.
// After SIGKILL, the new process must open nearly as many descriptors as the old one had open alone.
func TestReplacementInOverload(t *testing.T) {
	const (
		sockets        = 256
		maxDescriptors = sockets * 9 / 10 // of both processes together
	)
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(end.String(), func(t *testing.T) {
			t.Setenv("TMPDIR", t.TempDir())
			released := make(chan struct{})
			release := sync.OnceFunc(func() { close(released) })
			var inFlight, received atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/c/slow") {
					received.Add(1)
					inFlight.Add(1)
					defer inFlight.Add(-1)
					select {
					case <-released:
					case <-r.Context().Done():
					}
				}
				io.WriteString(w, "served")
			}))
			defer server.Close()
			defer release()
			list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.RawQuery != "" {
					<-r.Context().Done()
					return
				}
				fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[{"id":"x","host_port":%q,"phase":"Ready"}]}`, server.Listener.Addr())
			}))
			defer func() { list.CloseClientConnections(); list.Close() }()
			listen := freeAddr(t)
			startProcess := func() (cmd *exec.Cmd, stderr io.Reader, console string) {
				console = freeAddr(t)
				cmd, stderr, _ = newAgentCommand(t, strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"aim":100,"deadline":200`,
					`"aim":30000,"deadline":30000`, `"seed"`, fmt.Sprintf(`"console":%q,"seed"`, console)).Replace(
					fmt.Sprintf(configText, listen, list.Listener.Addr(), 1)))
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				for started := time.Now(); consoleCall(console, "check") != "ok\n"; time.Sleep(time.Millisecond) {
					if time.Since(started) > testTimeout {
						t.Fatalf("check: got %q after %v, want ok", consoleCall(console, "check"), testTimeout)
					}
				}
				return cmd, stderr, console
			}
			descriptors := func(cmd *exec.Cmd) int {
				fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid)) // none once the process has ended
				return len(fds)
			}

			// sendRequest sends a request on a new connection and returns the response's status, or 0 without a response.
			var id, open, notAdmitted, truncated, answered atomic.Int64
			sendRequest := func(path string) (status int) {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					return 0
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(testTimeout))
				fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nX-Call-Id: %d\r\nX-Call-Class: c\r\nX-Budget: 25000m\r\n\r\n", path, id.Add(1))
				open.Add(1)
				defer open.Add(-1)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return 0
				}
				defer resp.Body.Close()
				if body, err := io.ReadAll(resp.Body); resp.StatusCode == http.StatusOK && (err != nil || string(body) != "served") {
					truncated.Add(1)
				}
				return resp.StatusCode
			}
			ctx, stop := context.WithCancel(t.Context())
			var clients sync.WaitGroup
			var pause sync.RWMutex // while it is locked, clients send no new requests
			waitWhilePaused := func() {
				pause.RLock()
				defer pause.RUnlock()
			}
			flood := func(n int) {
				for range n {
					clients.Go(func() {
						for ctx.Err() == nil {
							waitWhilePaused()
							switch sendRequest("/c/slow") {
							case 0, http.StatusServiceUnavailable:
								notAdmitted.Add(1)
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
			await := func(what string, done func() bool) {
				t.Helper()
				for started := time.Now(); !done(); time.Sleep(time.Millisecond) {
					if time.Since(started) > testTimeout {
						t.Fatalf("got no %s within %v", what, testTimeout)
					}
				}
			}
			awaitOverload := func() {
				t.Helper()
				from := notAdmitted.Load()
				await("overload", func() bool { return notAdmitted.Load() > from+sockets })
			}

			old, oldErr, _ := startProcess()
			flood(sockets)
			await("requests in flight at the server", func() bool { return inFlight.Load() >= sockets/4 })
			awaitOverload()
			pause.Lock()
			alone := descriptors(old)
			next, nextErr, console := startProcess()
			var samples, peak atomic.Int64
			sampled := make(chan struct{})
			stopSampling := make(chan struct{})
			go func() {
				defer close(sampled)
				for {
					select {
					case <-stopSampling:
						return
					case <-time.After(time.Millisecond):
					}
					samples.Add(1)
					if sum := int64(descriptors(old) + descriptors(next)); sum > peak.Load() {
						peak.Store(sum)
					}
				}
			}()
			// Clients reach the new process, and it serves them although the old one is full.
			served := func() bool {
				return sendRequest("/c/quick") == http.StatusOK && strings.Contains(consoleCall(console, "vars"), `gw_responses_total{kind="c",result="ok"}`)
			}
			await("request served by the new process", served)
			pause.Unlock()
			awaitOverload()
			sendSignal(t, old, end)
			if end == syscall.SIGKILL {
				await("use of the full descriptor limit by the survivor", func() bool { return descriptors(next) > alone*9/10 })
				old.Wait()
			} else {
				awaitOverload()
				release()
				awaitExit(t, old, oldErr)
			}
			stop()
			release()
			clients.Wait()
			close(stopSampling)
			<-sampled
			if peak.Load() > maxDescriptors {
				t.Errorf("got up to %d open descriptors of both processes, want at most %d", peak.Load(), maxDescriptors)
			}
			if truncated.Load() > 0 || answered.Load() == 0 || end == syscall.SIGTERM && answered.Load() != received.Load() {
				t.Errorf("got %d responses, %d of them truncated, to %d requests received by the server; want none truncated, "+
					"at least one, and after SIGTERM one per request", answered.Load(), truncated.Load(), received.Load())
			}
			t.Logf("at most %d descriptors of %d in %d samples, %d by the old process alone; %d requests answered, %d not admitted",
				peak.Load(), sockets, samples.Load(), alone, answered.Load(), notAdmitted.Load())
			sendSignal(t, next, syscall.SIGTERM)
			awaitExit(t, next, nextErr)
		})
	}
}
