// Command case-7 checks that an agent stays under its memory limit while clients send bodies, and counter servers send
// answers, of the 64 KiB that the protocol allows.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	memoryMB    = 32   // the least of the terms
	sockets     = 1024 // the most of the terms
	connections = 300  // under a third of the sockets
	servers     = 16
	longBytes   = 64 << 10 // the longest body of the protocol page
	shortBytes  = 212      // the body of the protocol page's example
	serviceTime = 300 * time.Millisecond
	duration    = 25 * time.Second
	budget      = 6 * time.Second
)

func main() { s.Main(run) }

// killOverLimit does what the platform does to an agent over its memory limit. Of the agent's memory it counts only the
// anonymous part, not the pages of the program file.
func killOverLimit(agent *s.Agent, record *s.Record, done <-chan struct{}) (mostKB int, killed bool) {
	for {
		select {
		case <-done:
			return mostKB, false
		case <-time.After(10 * time.Millisecond):
		}
		kB, err := agent.Status("RssAnon")
		if err != nil {
			return mostKB, false
		}
		if kB > mostKB {
			mostKB = kB
			record.Line("agent uses %d kB", kB)
		}
		if kB > memoryMB*1024 {
			all, _ := agent.Status("VmRSS") // for the record only
			record.Say("platform kills the agent: %d kB of anonymous memory (%d kB in all) of %d kB", kB, all, memoryMB*1024)
			_ = agent.Signal(syscall.SIGKILL) // fails if it has ended
			return mostKB, true
		}
	}
}

func run(root, dir string, record *s.Record) int {
	size := shortBytes
	if s.Trouble() {
		size = longBytes
	}
	answer := s.OK(bytes.Repeat([]byte("a"), size))
	var members []s.Member
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		server, err := s.NewServer(name, func(r s.Request, conn net.Conn) bool {
			record.Line("%s ran %s, a body of %d bytes", name, r.ID, len(r.Body))
			time.Sleep(serviceTime)
			_, err := conn.Write(answer)
			return err == nil
		})
		if err != nil {
			record.Say("cannot run: %v", err)
			return s.Unable
		}
		members = append(members, server.Member("Ready"))
	}
	discovery, err := s.NewDiscovery(record, members...)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	agent, err := s.StartAgent(root, dir, s.AgentConfig{
		Name: "n1", Discovery: discovery.Addr, MemoryMB: memoryMB, Sockets: sockets, Known: discovery.List(),
		Settings: s.Settings(s.Class("stock-hold", "token", 2500, 6000)),
	})
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	done := make(chan struct{})
	var mostKB int
	var killed bool
	var platform sync.WaitGroup
	platform.Go(func() { mostKB, killed = killOverLimit(agent, record, done) })
	body := bytes.Repeat([]byte("b"), size)
	var clients sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	end := time.Now().Add(duration)
	for range connections {
		client := &s.Client{Addr: agent.Listen} // one connection
		clients.Go(func() {
			for time.Now().Before(end) && agent.Running() {
				call := &s.Call{
					Class: "stock-hold", Method: http.MethodPost, ID: s.NewID(), Key: s.NewID(), Budget: budget, Body: body,
				}
				record.Line("client sends %s, a body of %d bytes", call.ID, len(body))
				got := client.Do(call)
				result := fmt.Sprint(got.Status)
				if got.Err != nil {
					result = "no answer"
				}
				record.Line("client got for %s: %s %v", call.ID, result, got.Err)
				mu.Lock()
				results[result]++
				mu.Unlock()
				if got.Status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	close(done)
	platform.Wait()
	record.Say("answers by status: %v", results)
	record.Say("most anonymous memory: %d kB of %d kB", mostKB, memoryMB*1024)
	if killed {
		return s.Broken
	}
	if !agent.Running() {
		record.Say("the agent ended: %s", agent.State())
		return s.Broken
	}
	return s.Held
}
