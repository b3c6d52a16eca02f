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

// asProgram makes the test binary run the program instead of the tests.
const asProgram = "AGENT_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const configText = `{"name":"n1","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":0.5,"memory_mb":192,"sockets":1024},
 "settings":{"categories":[{"name":"c","aim":100,"deadline":200,"credit":1,"effect":"pure"}],"replicasOfMe":1,
  "limits":{"maxAttempts":%d,"connectTimeout":100},"rules":{"coldFrom":0.5,"overloadFactor":2}}}`

// The agent is made of the standard library and this module.
func TestDependencies(t *testing.T) {
	const module = "example.org/ryeloft"
	cmd := exec.CommandContext(t.Context(), "go", "list", "-deps", "-f", `{{.ImportPath}} {{.Standard}}{{range .Imports}} {{.}}{{end}}`, module+"/cmd/agent")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, &stderr)
	}
	foreign, importers, own := []string{}, map[string][]string{}, 0
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
			foreign = append(foreign, path)
		}
	}
	if own < 2 {
		t.Fatalf("%d packages of this module in\n%s", own, out)
	}
	for _, path := range foreign {
		t.Errorf("%s is imported by %s", path, strings.Join(importers[path], ", "))
	}
}

// program prepares the program and returns the path of its configuration file too.
func program(t *testing.T, configuration string) (cmd *exec.Cmd, stderr io.ReadCloser, path string) {
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

// replaceFile puts a file in the place of another at once, as operators do with configurations: no reader finds half of it.
func replaceFile(path, text string) error {
	next := path + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// newDiscovery starts a service with one list; each call's query goes into the channel.
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

// freeAddr is an address that was free just now: the program must be given one.
func freeAddr(t *testing.T) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

const testTimeout = 20 * time.Second

// awaitWatch waits until the list has been asked for and is watched.
func awaitWatch(t *testing.T, polls chan string) {
	t.Helper()
	for {
		select {
		case q := <-polls:
			if q != "" {
				return
			}
		case <-time.After(testTimeout):
			t.Fatal("the program does not follow the list")
		}
	}
}

func notify(t *testing.T, cmd *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// awaitExit waits until the program has ended, and well.
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
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the program goes on")
	}
}

func TestBadConfigurationEndsTheStart(t *testing.T) {
	cmd, stderr, _ := program(t, fmt.Sprintf(configText, "127.0.0.1:0", "127.0.0.1:1", 0))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(stderr)
	err := cmd.Wait()
	if err == nil || bytes.Count(text, []byte("\n")) != 1 || !bytes.Contains(text, []byte("MaxAttempts")) {
		t.Errorf("error %v, output %q", err, text)
	}
}

// SIGTERM ends the program with 0, also while a client holds a connection that it has never used.
func TestTermination(t *testing.T) {
	addr, polls := newDiscovery(t)
	listen := freeAddr(t)
	cmd, stderr, _ := program(t, fmt.Sprintf(configText, listen, addr, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitWatch(t, polls)
	awaitUp(t, listen) // it listens once its first call is answered
	unused, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	notify(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}

// SIGHUP brings a new configuration; one that cannot be used leaves the old one and says so in one line.
func TestHangupReloads(t *testing.T) {
	first, polls := newDiscovery(t)
	second, pollsOfSecond := newDiscovery(t)
	listen := freeAddr(t)
	cmd, stderr, path := program(t, fmt.Sprintf(configText, listen, first, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	scan := func() bool { // the next line that is not about a list
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
	notify(t, cmd, syscall.SIGHUP)
	if !scan() || !strings.Contains(lines.Text(), `msg="configuration reload rejected"`) {
		t.Fatalf("a bad file is logged as %q", lines.Text())
	}
	if err := replaceFile(path, fmt.Sprintf(configText, listen, second, 1)); err != nil {
		t.Fatal(err)
	}
	notify(t, cmd, syscall.SIGHUP)
	awaitWatch(t, pollsOfSecond)
	if !scan() || !strings.Contains(lines.Text(), `msg="configuration reloaded"`) || !strings.Contains(lines.Text(), second) {
		t.Errorf("a good file is logged as %q", lines.Text())
	}
	notify(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}

// Several signals in a row, with broken files among them, end with the last good file in use.
func TestManyHangups(t *testing.T) {
	addr, polls := newDiscovery(t)
	last, pollsOfLast := newDiscovery(t)
	listen := freeAddr(t)
	cmd, stderr, path := program(t, fmt.Sprintf(configText, listen, addr, 1))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	awaitWatch(t, polls)
	for _, text := range []string{"", fmt.Sprintf(configText, listen, addr, 2), "{", fmt.Sprintf(configText, listen, last, 3)} {
		if err := replaceFile(path, text); err != nil {
			t.Fatal(err)
		}
		notify(t, cmd, syscall.SIGHUP)
		notify(t, cmd, syscall.SIGHUP)
	}
	awaitWatch(t, pollsOfLast)
	notify(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}

// A process that was killed leaves nothing behind that keeps the next one from its console, its address and its end.
func TestStartAfterAKill(t *testing.T) {
	addr, _ := newDiscovery(t)
	t.Setenv("TMPDIR", t.TempDir())
	text := strings.Replace(fmt.Sprintf(configText, freeAddr(t), addr, 1), `"seed"`, fmt.Sprintf(`"console":%q,"seed"`, freeAddr(t)), 1)
	console := text[strings.Index(text, `"console":"`)+len(`"console":"`):]
	console = console[:strings.Index(console, `"`)]
	for i := range 2 {
		cmd, stderr, _ := program(t, text)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for begun := time.Now(); call(console, "check") != "ok\n"; time.Sleep(10 * time.Millisecond) {
			if time.Since(begun) > testTimeout {
				t.Fatalf("start %d: check is answered %q", i, call(console, "check"))
			}
		}
		if i == 0 {
			notify(t, cmd, syscall.SIGKILL)
			io.Copy(io.Discard, stderr)
			cmd.Wait()
			continue
		}
		notify(t, cmd, syscall.SIGTERM)
		awaitExit(t, cmd, stderr)
	}
}

// call sends one command to a console and returns its answer.
func call(console, name string) string {
	c, err := net.Dial("tcp", console)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintln(c, name)
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// Idle clients that take every connection they can get, while discovery is down, leave discovery, servers and the console
// theirs: when discovery is back, the list comes and clients are served as if nobody idled.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const sockets = 128
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") }))
	defer server.Close()
	t.Setenv("TMPDIR", t.TempDir())
	listen, console, discoveryAddr := freeAddr(t), freeAddr(t), freeAddr(t)
	known := `"known":{"revision":1,"complete":true,"members":[{"id":"x","host_port":"127.0.0.1:1","phase":"Ready"}]},`
	text := strings.NewReplacer(`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"deadline":200`, `"deadline":20000`,
		`"seed"`, fmt.Sprintf(`"console":%q,%s"seed"`, console, known)).Replace(fmt.Sprintf(configText, listen, discoveryAddr, 1))
	cmd, stderr, _ := program(t, text)
	cmd.Path, cmd.Args = "/bin/sh", []string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets), os.Args[0]}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for begun := time.Now(); call(console, "check") != "ok\n"; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatalf("check is answered %q", call(console, "check"))
		}
	}
	var idle sync.WaitGroup
	stop := make(chan struct{})
	full := make(chan struct{}, 10*sockets)
	for i := range 2 * sockets {
		idle.Go(func() {
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
						case full <- struct{}{}:
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
	for range 4 * sockets { // connections have had to make way all the while
		select {
		case <-full:
		case <-time.After(testTimeout):
			t.Fatal("idle clients are never closed")
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil || len(descriptors) > sockets*9/10 {
		t.Errorf("%d descriptors are held: %v", len(descriptors), err)
	}
	if got := call(console, "vars"); !strings.HasPrefix(got, "ok") || !strings.HasSuffix(got, "eof\n") {
		t.Errorf("vars is answered %.80q", got)
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
	for begun := time.Now(); served < 20 && time.Since(begun) < testTimeout; {
		req, _ := http.NewRequest(http.MethodGet, "http://"+listen+"/c/1", nil)
		req.Header.Set("X-Call-Id", fmt.Sprint(time.Now().UnixNano()))
		req.Header.Set("X-Call-Class", "c")
		req.Header.Set("X-Budget", "5000m")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}).Do(req)
		switch {
		case err != nil: // it made way before its request was read, and is sent once more
			continue
		case resp.StatusCode == http.StatusOK:
			served++
		case served > 0:
			t.Errorf("answered %s after %d were served", resp.Status, served)
		}
		resp.Body.Close()
	}
	if served < 20 {
		t.Errorf("%d requests are served with discovery back", served)
	}
	close(stop)
	idle.Wait()
	notify(t, cmd, syscall.SIGTERM)
	awaitExit(t, cmd, stderr)
}
