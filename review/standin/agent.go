// Package standin has what the review's cases share: the agent as a process, and stand-ins for discovery, counter
// servers and clients, all on loopback addresses.
package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // false: the same run without the disruption
	Dir     string // temporary folder
	root    string // of the repository
	start   time.Time
	record  *os.File
	lines   chan string
	written chan struct{}
	agents  []*Agent
}

// Main runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. run returns the
// breaks of the rule.
func Main(run func(*Case) (broken []string, err error)) {
	os.Exit(mainStatus(run))
}

func mainStatus(run func(*Case) ([]string, error)) int {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("ROOT"), start: time.Now()}
	var err error
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(c.Dir)
	if c.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c.lines = make(chan string, 1<<16)
	c.written = make(chan struct{})
	go func() {
		for line := range c.lines {
			fmt.Fprintln(c.record, line)
		}
		close(c.written)
	}()
	broken, err := run(c)
	for _, a := range c.agents {
		a.Kill()
	}
	status := 0
	switch {
	case err != nil:
		c.Log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		status = 2
	case len(broken) > 0:
		for i, b := range broken {
			c.Log("RULE BROKEN: %s", b)
			if i < 10 {
				fmt.Println("RULE BROKEN:", b)
			}
		}
		fmt.Printf("%d breaks\n", len(broken))
		status = 1
	default:
		c.Log("the rule held")
		fmt.Println("the rule held")
	}
	c.lines <- "end"
	close(c.lines)
	<-c.written
	c.record.Close()
	return status
}

// Log writes a line to the record, with the time since the start.
func (c *Case) Log(format string, args ...any) {
	defer func() { _ = recover() }() // after the end of the run
	c.lines <- fmt.Sprintf("%9.3f ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...)
}

// Object is a JSON object.
type Object = map[string]any

// Settings returns settings like those of the wire page's example, which is the deployment of perth-counter.
func Settings() Object {
	class := func(name, effect string, aim, deadline, credit, late, window float64) Object {
		return Object{
			"aim": aim, "credit": credit, "deadline": deadline, "dedupScope": "all", "effect": effect, "lateWorth": late,
			"name": name, "repeatWindow": window, "stream": false,
		}
	}
	return Object{
		"accounts": []any{},
		"categories": []any{
			class("plant-lookup", "pure", 2500, 6000, 1, 0.2, 5000),
			class("price-check", "pure", 2000, 5000, 5, 0.3, 5000),
			class("stock-hold", "token", 2500, 6000, 3, 0.2, 30000),
			class("card-sale", "side_effect", 2500, 6000, 10, 0.25, 5000),
		},
		"clients":   Object{"marksRetry": false},
		"discovery": "subscribe",
		"extra":     Object{"warmKeys": true},
		"fees": Object{
			"connection": 0, "crossZone": 0.1, "discovery": 0, "handshake": 0, "lateFail": 0.03, "moves": 0, "origin": 0,
			"peer": 0, "probe": 0.01, "waste": 0.072,
		},
		"goal": Object{"whole": 0.75, "worstClass": 0.2, "worstTenant": 0, "worstWindow": 0.05},
		"limits": Object{
			"cancel": true, "connectTimeout": 250, "cpuUsPerRequest": 0, "cpuUsPerS": 10666, "idleClose": 15000,
			"maxAttempts": 4, "maxRetryAfter": 2000, "openCap": 26666, "peerMessages": false, "probes": true,
			"retryAfter": true, "secondCopies": true, "streamsPerConn": 1,
		},
		"localities":     []any{"perth-east", "perth-north"},
		"overShareWorth": 0.1, "rank": 0, "replicasOfMe": 3,
		"report": Object{"fields": []any{"backlog", "recent_ms"}, "how": "inline"},
		"rules": Object{
			"answerSlack": 20, "coldFrom": 0.31, "drainGrace": 300, "mustAskIn": 10000, "overloadFactor": 3,
			"overloadFor": 2000, "warmAfter": 8800,
		},
		"skus": []any{"fast", "standard", "small"}, "stages": []any{"counter-servers"}, "tick": 5, "tier": 0,
		"weights": "off", "workload": "mesh", "worthBy": "work", "zone": 0,
	}
}

// Config describes an agent's configuration file.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	MemoryMB  int
	Sockets   int
	Known     json.RawMessage
	Settings  Object
}

// Agent is a process of the agent, started with the command of the deploy file.
type Agent struct {
	Config
	c      *Case
	cmd    *exec.Cmd
	path   string
	exited chan struct{}
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// runCommand returns the command of the deploy file that starts the agent.
func (c *Case) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("the deploy file has no run")
}

// StartAgent starts an agent and waits until GET /up is answered with 200.
func (c *Case) StartAgent(cfg Config) (*Agent, error) {
	a := &Agent{Config: cfg, c: c, exited: make(chan struct{})}
	a.path = filepath.Join(c.Dir, cfg.Name+".json")
	if err := a.WriteConfig(cfg); err != nil {
		return nil, err
	}
	run, err := c.runCommand()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(c.Dir, "tmp-"+cfg.Name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	a.cmd = exec.Command("/bin/sh", "-c", run)
	a.cmd.Dir = c.root
	a.cmd.Env = append(os.Environ(), "GW_CONFIG="+a.path, "GW_NAME="+cfg.Name, "GW_LISTEN="+cfg.Listen,
		"GW_DISCOVERY="+cfg.Discovery, "TMPDIR="+tmp)
	a.cmd.Stderr = &logWriter{c: c, prefix: "agent log: "}
	a.cmd.Stdout = a.cmd.Stderr
	a.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := a.cmd.Start(); err != nil {
		return nil, err
	}
	c.agents = append(c.agents, a)
	c.Log("agent %s started: %s, process %d", cfg.Name, run, a.cmd.Process.Pid)
	go func() {
		err := a.cmd.Wait()
		c.Log("agent %s has ended: %v", cfg.Name, err)
		close(a.exited)
	}()
	for range 300 {
		resp, err := http.Get("http://" + cfg.Listen + "/up")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				c.Log("agent %s is up", cfg.Name)
				return a, nil
			}
		}
		select {
		case <-a.exited:
			return nil, errors.New("the agent has ended")
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil, errors.New("the agent is not up after 15 s")
}

// WriteConfig writes the configuration file anew.
func (a *Agent) WriteConfig(cfg Config) error {
	object := Object{
		"name": cfg.Name, "listen": cfg.Listen, "discovery": cfg.Discovery, "seed": "8c1f30d27a5be964",
		"limits":   Object{"cores": 1.0, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets},
		"settings": cfg.Settings,
	}
	if cfg.Known != nil {
		object["known"] = cfg.Known
	}
	text, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(a.path+".new", a.path)
}

// Signal sends a signal to the agent.
func (a *Agent) Signal(s syscall.Signal) {
	a.c.Log("agent %s gets %v", a.Name, s)
	_ = a.cmd.Process.Signal(s)
}

// Running reports whether the process runs.
func (a *Agent) Running() bool {
	select {
	case <-a.exited:
		return false
	default:
		return true
	}
}

// Exited returns a channel that is closed when the process has ended.
func (a *Agent) Exited() <-chan struct{} { return a.exited }

// Kill ends the process and waits for its end.
func (a *Agent) Kill() {
	if a.Running() {
		_ = a.cmd.Process.Kill()
	}
	<-a.exited
}

// logWriter writes lines to the record.
type logWriter struct {
	c      *Case
	prefix string
	rest   []byte
}

func (w *logWriter) Write(p []byte) (int, error) {
	w.rest = append(w.rest, p...)
	for {
		i := bytes.IndexByte(w.rest, '\n')
		if i < 0 {
			return len(p), nil
		}
		w.c.Log("%s%s", w.prefix, w.rest[:i])
		w.rest = w.rest[i+1:]
	}
}
