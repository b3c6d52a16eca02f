package standin2

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Trouble reports whether the case is to cause its disruption: always, unless TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Root returns the root of the repository, which run.sh passes in ROOT.
func Root() (string, error) {
	root := os.Getenv("ROOT")
	if root == "" {
		return "", errors.New("ROOT is not set")
	}
	return root, nil
}

// RunCommand returns the command of a key of the deploy file, such as run.
func RunCommand(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("the deploy file has no %s", key)
	}
	return string(match[1]), nil
}

var lastHost atomic.Int64

// FreeAddr returns a loopback address whose port is free. Each call returns another host, so that programs that start side
// by side do not get the same port.
func FreeAddr() (string, error) {
	host := lastHost.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 1+host/250, 1+host%250))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Process is a program of the project that a case has started.
type Process struct {
	*os.Process
	Log   string // file with its standard output and error
	ended chan struct{}
	state *os.ProcessState
}

// StartProgram starts a command of the project from its root, as the platform does, with TMPDIR set to a folder of its own.
func StartProgram(root, command, dir, logName string, env ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, logName))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), append(env, "TMPDIR="+dir)...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Process: cmd.Process, Log: log.Name(), ended: make(chan struct{})}
	started.Lock()
	started.processes = append(started.processes, p)
	started.Unlock()
	go func() {
		_ = cmd.Wait() // the state says how it ended
		p.state = cmd.ProcessState
		close(p.ended)
	}()
	return p, nil
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// State says how the process ended.
func (p *Process) State() string { return p.state.String() }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Stop kills the process if it still runs, and waits for its end.
func (p *Process) Stop() {
	if p == nil {
		return
	}
	_ = p.Signal(syscall.SIGKILL) // fails if it has ended
	<-p.ended
}

// Status returns a value in kB from the status of the process, such as VmHWM.
func (p *Process) Status(key string) (kB int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, key+":"); ok {
			_, err := fmt.Sscanf(rest, "%d", &kB)
			return kB, err
		}
	}
	return 0, fmt.Errorf("no %s in the status", key)
}

// Agent is a real agent with its configuration.
type Agent struct {
	*Process
	Listen     string
	ConfigPath string
}

// AgentConfig is what a case decides about an agent.
type AgentConfig struct {
	Name      string
	Listen    string // empty: a free address
	Discovery string
	MemoryMB  int
	Sockets   int
	Known     string // a list in discovery's form
	Settings  map[string]any
}

// Text returns the configuration file.
func (c *AgentConfig) Text() ([]byte, error) {
	document := map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets},
		"known":    json.RawMessage(c.Known),
		"settings": c.Settings,
	}
	return json.MarshalIndent(document, "", " ")
}

// StartAgent starts an agent with the run command of the deploy file, and waits until GET /up answers 200.
func StartAgent(root, dir string, c AgentConfig) (*Agent, error) {
	command, err := RunCommand(root, "run")
	if err != nil {
		return nil, err
	}
	if c.Listen == "" {
		if c.Listen, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	a := &Agent{Listen: c.Listen, ConfigPath: filepath.Join(dir, c.Name+".json")}
	if err := a.Configure(c); err != nil {
		return nil, err
	}
	env := []string{"GW_NAME=" + c.Name, "GW_LISTEN=" + c.Listen, "GW_DISCOVERY=" + c.Discovery, "GW_CONFIG=" + a.ConfigPath}
	if a.Process, err = StartProgram(root, command, dir, c.Name+".log", env...); err != nil {
		return nil, err
	}
	if err := a.awaitReady(10 * time.Second); err != nil {
		a.Stop()
		return nil, err
	}
	return a, nil
}

// Configure writes the configuration beside the present one and renames it over that.
func (a *Agent) Configure(c AgentConfig) error {
	c.Listen = a.Listen
	text, err := c.Text()
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.ConfigPath+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.ConfigPath+".new", a.ConfigPath)
}

func (a *Agent) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); time.Since(start) < limit; time.Sleep(20 * time.Millisecond) {
		if !a.Running() {
			return fmt.Errorf("the agent ended: %s", a.State())
		}
		response, err := client.Get("http://" + a.Listen + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the agent is not ready")
}

// caseLimit is how long a case may take. It is cut off then, and counts as one that could not run.
const caseLimit = 115 * time.Second

// started holds the programs that the case has started, so that all of them end with it.
var started struct {
	sync.Mutex
	processes []*Process
}

func stopAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		p.Stop()
	}
}

// Main runs a case with a temporary folder and its record, ends all programs that it has started, and exits with the
// status that it returns.
func Main(run func(root, dir string, record *Record) int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	status := make(chan int, 1)
	go func() { status <- runCase(run) }()
	select {
	case s := <-status:
		stopAll()
		os.Exit(s)
	case <-signals:
	case <-time.After(caseLimit):
		fmt.Println("cannot run: over the time of a case")
	}
	stopAll()
	os.Exit(Unable)
}

func runCase(run func(root, dir string, record *Record) int) int {
	root, err := Root()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Unable
	}
	record, err := NewRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Unable
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		record.Say("cannot run: %v", err)
		return Unable
	}
	defer os.RemoveAll(dir)
	record.Say("disruption: %v", Trouble())
	return run(root, dir, record)
}
