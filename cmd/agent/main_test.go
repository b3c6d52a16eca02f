package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// asProgram is the environment variable that makes the test binary run the agent instead of the tests.
const asProgram = "AGENT_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	if peers := os.Getenv(asPeers); peers != "" {
		runPeers(peers)
		os.Exit(0)
	}
	status := m.Run()
	if builtAgentDir != "" {
		_ = os.RemoveAll(builtAgentDir) // what is left stays in the machine's temporary directory
	}
	os.Exit(status)
}

const configText = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":0.5,"memory_mb":192,"sockets":1024},
 "settings":{"categories":[{"name":"c","aim":100,"deadline":200,"credit":1,"effect":"pure"}],"replicasOfMe":1,
  "limits":{"maxAttempts":%d,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}}`

// The agent must depend only on the standard library and this module.
func TestDependencies(t *testing.T) {
	const module = "example.org/ryeloft"
	cmd := exec.CommandContext(t.Context(), "go", "list", "-deps", "-f", `{{.ImportPath}} {{.Standard}}{{range .Imports}} {{.}}{{end}}`, module+"/cmd/agent")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, &stderr)
	}
	external, importers, own := []string{}, map[string][]string{}, 0
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		path, standard := fields[0], fields[1] == "true"
		for _, imported := range fields[2:] {
			importers[imported] = append(importers[imported], path)
		}
		switch {
		case path == module || strings.HasPrefix(path, module+"/"):
			own++
		case !standard:
			external = append(external, path)
		}
	}
	if own < 2 {
		t.Fatalf("got %d packages of this module, want at least 2, in\n%s", own, out)
	}
	for _, path := range external {
		t.Errorf("got dependency %s, imported by %s, want only the standard library and this module", path, strings.Join(importers[path], ", "))
	}
}

// newAgentCommand writes a configuration file and returns a command that runs the agent with it, the agent's standard
// error, and the file's path. The command is not started.
func newAgentCommand(t *testing.T, configuration string) (cmd *exec.Cmd, stderr io.ReadCloser, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configuration), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd = exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	return cmd, stderr, path
}

// replaceFile replaces a file atomically, as operators do with configurations, so that no reader sees a partial file.
func replaceFile(path, text string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// newDiscovery starts a discovery service whose list never changes. It sends the raw query of each call to polls.
func newDiscovery(t *testing.T) (addr string, polls chan string) {
	polls = make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls <- r.URL.RawQuery
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"revision":1,"complete":true,"members":[{"id":"x","host_port":"127.0.0.1:1","phase":"Ready"}]}`)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), polls
}

// freeAddr returns an address that was free when it was checked. The agent's configuration needs a fixed port.
func freeAddr(t *testing.T) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

const testTimeout = 20 * time.Second

// awaitWatch waits for the first watch of the list, which is a call with a query.
func awaitWatch(t *testing.T, polls chan string) {
	t.Helper()
	for {
		select {
		case q := <-polls:
			if q != "" {
				return
			}
		case <-time.After(testTimeout):
			t.Fatalf("got no watch of the list within %v", testTimeout)
		}
	}
}

func sendSignal(t *testing.T, cmd *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// awaitExit waits until the agent has exited and checks that its status is 0.
func awaitExit(t *testing.T, cmd *exec.Cmd, stderr io.Reader) {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		io.Copy(io.Discard, stderr)
		ended <- cmd.Wait()
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("got %v, want exit status 0", err)
		}
	case <-time.After(testTimeout):
		t.Fatalf("the agent is still running after %v", testTimeout)
	}
}

// An invalid configuration ends the start with an error status and one log line that names the invalid setting.
func TestInvalidConfigurationPreventsStart(t *testing.T) {
	cmd, stderr, _ := newAgentCommand(t, fmt.Sprintf(configText, "127.0.0.1:0", "127.0.0.1:1", 0))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(stderr)
	err := cmd.Wait()
	if err == nil || bytes.Count(text, []byte("\n")) != 1 || !bytes.Contains(text, []byte("MaxAttempts")) {
		t.Errorf("got error %v, output %q, want an error and one line that names MaxAttempts", err, text)
	}
}

// The agent exits with status 0 after SIGTERM, even while a client has a connection open on which it sent nothing.
func TestTermination(t *testing.T) {
	addr, polls := newDiscovery(t)
	listen := freeAddr(t)
	cmd, stderr, _ := newAgentCommand(t, fmt.Sprintf(configText, listen, addr, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitWatch(t, polls)
	awaitUp(t, listen) // the agent listens after the response to its first discovery call
	unused, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}

// SIGHUP applies a new configuration. An invalid one leaves the old one in force and is logged in one line.
func TestHangupReloads(t *testing.T) {
	first, polls := newDiscovery(t)
	second, pollsOfSecond := newDiscovery(t)
	listen := freeAddr(t)
	cmd, stderr, path := newAgentCommand(t, fmt.Sprintf(configText, listen, first, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	scan := func() bool { // advances to the next line that is not about an endpoint list
		for lines.Scan() {
			if !strings.Contains(lines.Text(), `msg="endpoint list updated" `) {
				return true
			}
		}
		return false
	}
	awaitWatch(t, polls)
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, cmd, syscall.SIGHUP)
	if !scan() || !strings.Contains(lines.Text(), `msg="configuration reload rejected"`) {
		t.Fatalf("invalid file: got log line %q, want a rejected reload", lines.Text())
	}
	if err := replaceFile(path, fmt.Sprintf(configText, listen, second, 1)); err != nil {
		t.Fatal(err)
	}
	sendSignal(t, cmd, syscall.SIGHUP)
	awaitWatch(t, pollsOfSecond)
	if !scan() || !strings.Contains(lines.Text(), `msg="configuration reloaded"`) || !strings.Contains(lines.Text(), second) {
		t.Errorf("valid file: got log line %q, want a reload with discovery at %s", lines.Text(), second)
	}
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}

// After several SIGHUPs in a row, some of them with invalid files, the last valid file is in force.
func TestManyHangups(t *testing.T) {
	addr, polls := newDiscovery(t)
	last, pollsOfLast := newDiscovery(t)
	listen := freeAddr(t)
	cmd, stderr, path := newAgentCommand(t, fmt.Sprintf(configText, listen, addr, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitWatch(t, polls)
	for _, text := range []string{"", fmt.Sprintf(configText, listen, addr, 2), "{", fmt.Sprintf(configText, listen, last, 3)} {
		if err := replaceFile(path, text); err != nil {
			t.Fatal(err)
		}
		sendSignal(t, cmd, syscall.SIGHUP)
		sendSignal(t, cmd, syscall.SIGHUP)
	}
	awaitWatch(t, pollsOfLast)
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}

// A killed process must leave nothing behind, such as a handover socket, that prevents the next one from opening its
// console, listening or exiting.
func TestStartAfterKill(t *testing.T) {
	addr, _ := newDiscovery(t)
	t.Setenv("TMPDIR", t.TempDir())
	text := strings.Replace(fmt.Sprintf(configText, freeAddr(t), addr, 1), `"seed"`, fmt.Sprintf(`"console":%q,"seed"`, freeAddr(t)), 1)
	console := text[strings.Index(text, `"console":"`)+len(`"console":"`):]
	console = console[:strings.Index(console, `"`)]
	for i := range 2 {
		cmd, stderr, _ := newAgentCommand(t, text)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for started := time.Now(); consoleCall(console, "check") != "ok\n"; time.Sleep(10 * time.Millisecond) {
			if time.Since(started) > testTimeout {
				t.Fatalf("start %d: check: got %q after %v, want ok", i, consoleCall(console, "check"), testTimeout)
			}
		}
		if i == 0 {
			sendSignal(t, cmd, syscall.SIGKILL)
			io.Copy(io.Discard, stderr)
			cmd.Wait()
			continue
		}
		sendSignal(t, cmd, syscall.SIGTERM)
		awaitExit(t, cmd, stderr)
	}
}

// consoleCall sends one command to a console and returns its reply, or the text of the error if it cannot connect.
func consoleCall(console, name string) string {
	c, err := net.Dial("tcp", console)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, name)
	reply, _ := io.ReadAll(c)
	return string(reply)
}

// Idle clients that open as many connections as they can must not exhaust the file descriptors that discovery, servers
// and the console need. Once discovery recovers from an outage, the agent gets the list and serves other clients.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	const sockets = 128
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	t.Setenv("TMPDIR", t.TempDir())
	listen, console, discoveryAddr := freeAddr(t), freeAddr(t), freeAddr(t)
	known := `"known":{"revision":1,"complete":true,"members":[{"id":"x","host_port":"127.0.0.1:1","phase":"Ready"}]},`
	text := strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"deadline":200`, `"deadline":20000`,
		`"seed"`, fmt.Sprintf(`"console":%q,%s"seed"`, console, known)).Replace(fmt.Sprintf(configText, listen, discoveryAddr, 1))
	cmd, stderr, _ := newAgentCommand(t, text)
	cmd.Path, cmd.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets), os.Args[0]}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for started := time.Now(); consoleCall(console, "check") != "ok\n"; time.Sleep(10 * time.Millisecond) {
		if time.Since(started) > testTimeout {
			t.Fatalf("check: got %q after %v, want ok", consoleCall(console, "check"), testTimeout)
		}
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	closed := make(chan struct{}, 10*sockets) // one value per connection that the agent closed
	for i := range 2 * sockets {
		clients.Go(func() {
			for {
				c, err := net.Dial("tcp", listen)
				if err == nil {
					if i%2 == 0 {
						io.WriteString(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
					}
					end := make(chan struct{})
					go func() {
						io.Copy(io.Discard, c) // until the agent closes it
						close(end)
					}()
					select {
					case <-end:
						select {
						case closed <- struct{}{}:
						default:
						}
					case <-stop:
					}
					c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second + time.Duration(i)*4*time.Millisecond):
				}
			}
		})
	}
	for range 4 * sockets { // the agent must keep closing idle connections to make room
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Fatalf("got no idle connection closed within %v", testTimeout)
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil || len(descriptors) > sockets*9/10 {
		t.Errorf("got %d open descriptors, error %v, want at most %d", len(descriptors), err, sockets*9/10)
	}
	if got := consoleCall(console, "vars"); !strings.HasPrefix(got, "ok") || !strings.HasSuffix(got, "eof\n") {
		t.Errorf("vars: got %.80q, want a complete reply", got)
	}
	l, err := net.Listen("tcp", discoveryAddr)
	if err != nil {
		t.Fatal(err)
	}
	list := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "2" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"y","host_port":%q,"phase":"Ready"}]}`, server.Listener.Addr())
	})}
	defer list.Close()
	go list.Serve(l)
	served := 0
	for started := time.Now(); served < 20 && time.Since(started) < testTimeout; {
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/c/1", nil)
		req.Header.Set("X-Call-Id", fmt.Sprint(time.Now().UnixNano()))
		req.Header.Set("X-Call-Class", "c")
		req.Header.Set("X-Budget", "5000m")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}).Do(req)
		switch {
		case err != nil: // the connection was evicted before its request was read; the request is sent again
			continue
		case resp.StatusCode == http.StatusOK:
			served++
		case served > 0:
			t.Errorf("got status %s after %d served requests, want 200", resp.Status, served)
		}
		resp.Body.Close()
	}
	if served < 20 {
		t.Errorf("got %d requests served after discovery recovered, want 20", served)
	}
	close(stop)
	clients.Wait()
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}
