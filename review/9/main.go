// Command case-9 checks that a peer whose request is not a proper one gets an error or a close, and is not served.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	peers     = 20
	duration  = 10 * time.Second
	owedUntil = 3 * time.Second // from connecting
)

// improper is a request of HTTP/1.1 that is none of the protocol page: it has no class, no id and no budget.
const improper = "OPTIONS * HTTP/1.1\r\nHost: service.internal\r\n\r\n"

func main() { s.Main(run) }

// tryPeer connects as a peer, sends the improper request, and returns what it got.
func tryPeer(client *s.Client, record *s.Record) (result string, served bool) {
	conn, err := client.Dial()
	if err != nil {
		return "no connection", false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(owedUntil)) // fails only on a closed connection
	if _, err := conn.Write([]byte(improper)); err != nil {
		return "closed", false
	}
	answer := s.ReadAnswer(bufio.NewReader(conn))
	status := max(answer.Status, -answer.Status)
	record.Line("peer sent %q, got %d %q %v", improper, status, answer.Body, answer.Err)
	var timeout net.Error
	switch {
	case errors.As(answer.Err, &timeout) && timeout.Timeout():
		return "nothing", false
	case answer.Err != nil:
		return "closed", false
	}
	return fmt.Sprint(status), status == http.StatusOK
}

func run(root, dir string, record *s.Record) int {
	server, err := s.NewServer("s-1", func(r s.Request, conn net.Conn) bool {
		record.Line("s-1 ran %q %s %s", r.ID, r.Method, r.Path)
		time.Sleep(10 * time.Millisecond)
		_, err := conn.Write(s.OK([]byte("for " + r.ID)))
		return err == nil
	})
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	discovery, err := s.NewDiscovery(record, server.Member("Ready"))
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	agent, err := s.StartAgent(root, dir, s.AgentConfig{
		Name: "n1", Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384, Known: discovery.List(),
		Settings: s.Settings(s.Class("plant-lookup", "pure", 2500, 6000)),
	})
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	client := &s.Client{Addr: agent.Listen}
	var all sync.WaitGroup
	var mu sync.Mutex
	clients, got := map[string]int{}, map[string]int{}
	served := 0
	start := time.Now()
	all.Go(func() { // the application
		for time.Since(start) < duration {
			call := &s.Call{Class: "plant-lookup", Method: http.MethodGet, ID: s.NewID(), Budget: 3 * time.Second}
			answer := client.Do(call)
			own := string(answer.Body) == "for "+call.ID
			record.Line("client sent %s, got %d %v, its own answer: %v", call.ID, answer.Status, answer.Err, own)
			clients[fmt.Sprintf("%d, own %v", answer.Status, own)]++
			time.Sleep(50 * time.Millisecond)
		}
	})
	for i := range peers {
		all.Go(func() {
			time.Sleep(duration * time.Duration(i) / peers)
			if !s.Trouble() {
				return
			}
			result, ok := tryPeer(client, record)
			mu.Lock()
			defer mu.Unlock()
			got[result]++
			if ok {
				served++
			}
		})
	}
	all.Wait()
	record.Say("the application's answers: %v", clients)
	record.Say("what peers got: %v", got)
	record.Say("the counter server ran %d requests", server.Count.Load())
	if served > 0 || got["nothing"] > 0 {
		return s.Broken
	}
	return s.Held
}
