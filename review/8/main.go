// Command case-8 checks that clients get the whole of a long answer from a counter server that takes seconds to write it.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	servers    = 3
	pieces     = 4
	pieceBytes = 50_000 // together 200,000: over 64 KiB
	longPause  = 4 * time.Second
	shortPause = 500 * time.Millisecond
	requests   = 12
	budget     = 3 * time.Second
	// patience is how long a client waits for the rest of an answer that has begun.
	patience = 30 * time.Second
)

func main() { s.Main(run) }

// serve writes an answer in pieces, with a pause before each but the first.
func serve(record *s.Record, name string, pause time.Duration, r s.Request, conn net.Conn) bool {
	record.Line("%s runs %s", name, r.ID)
	time.Sleep(20 * time.Millisecond)
	piece := bytes.Repeat([]byte{r.ID[0]}, pieceBytes)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Load-Report: queue=0,latency_ms=20\r\n\r\n", pieces*pieceBytes)
	text := append([]byte(head), piece...)
	for i := range pieces {
		if i > 0 {
			time.Sleep(pause)
			text = piece
		}
		if _, err := conn.Write(text); err != nil {
			record.Line("%s cannot write piece %d of the answer to %s: %v", name, i+1, r.ID, err)
			return false
		}
		record.Line("%s has written piece %d of the answer to %s", name, i+1, r.ID)
	}
	return true
}

func run(root, dir string, record *s.Record) int {
	pause := shortPause
	if s.Trouble() {
		pause = longPause
	}
	var members []s.Member
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		server, err := s.NewServer(name, func(r s.Request, conn net.Conn) bool { return serve(record, name, pause, r, conn) })
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
		Name: "n1", Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384, Known: discovery.List(),
		Settings: s.Settings(s.Class("plant-lookup", "pure", 2500, 6000), s.Class("card-sale", "side_effect", 2500, 6000)),
	})
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	client := &s.Client{Addr: agent.Listen, Patience: patience}
	var clients sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	cut := 0
	for i := range requests {
		time.Sleep(200 * time.Millisecond)
		clients.Go(func() {
			call := &s.Call{Class: "plant-lookup", Method: http.MethodGet, ID: s.NewID(), Budget: budget}
			if i%2 == 1 {
				call = &s.Call{Class: "card-sale", Method: http.MethodPost, ID: s.NewID(), Budget: budget, Body: []byte("item=1")}
			}
			record.Line("client sends %s %s", call.ID, call.Class)
			answer := client.Do(call)
			result := fmt.Sprintf("%d, whole %v", answer.Status, answer.Err == nil)
			record.Line("client got for %s after %v: %s, %d bytes, %v", call.ID, answer.Took, result, len(answer.Body), answer.Err)
			mu.Lock()
			defer mu.Unlock()
			results[call.Class+" "+result]++
			if answer.Status == http.StatusOK && answer.Err != nil {
				cut++
			}
		})
	}
	clients.Wait()
	record.Say("answers: %v", results)
	record.Say("answers 200 that were cut off while their counter server still gave them: %d", cut)
	if cut > 0 {
		return s.Broken
	}
	return s.Held
}
