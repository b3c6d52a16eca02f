// Command case-8 checks that requests that a client sends at once on one connection are answered in their time.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	servers     = 6
	clients     = 2
	atOnce      = 24 // requests that a client sends at once
	serviceTime = 200 * time.Millisecond
	budget      = 2500 * time.Millisecond
	// lostAfter is when a request without a final answer is lost.
	lostAfter = budget + 500*time.Millisecond
	rounds    = 3
)

func main() { s.Main(run) }

// tally counts the requests.
type tally struct {
	mu               sync.Mutex
	sent, lost, late int
	deadlines        map[string]time.Time // of requests, by id
	overtime         int                  // requests that reached a counter server after their client's time
}

func (t *tally) sending(call *s.Call, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.deadlines[call.ID] = at.Add(budget)
}

func (t *tally) answered(record *s.Record, id string, took time.Duration, answer s.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := answer.Err != nil || took > lostAfter
	if lost {
		t.lost++
	} else if took > budget {
		t.late++
	}
	record.Line("client got for %s after %v: %d %v, lost: %v", id, took.Round(time.Millisecond), answer.Status, answer.Err, lost)
}

func (t *tally) ran(record *s.Record, name string, r s.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := time.Until(t.deadlines[r.ID])
	if left < 0 {
		t.overtime++
	}
	record.Line("%s runs %s, told a budget of %s, left to its client: %v", name, r.ID, r.Budget, left.Round(time.Millisecond))
}

func newCalls() []*s.Call {
	var calls []*s.Call
	for range atOnce {
		calls = append(calls, &s.Call{Class: "plant-lookup", Method: http.MethodGet, ID: s.NewID(), Budget: budget})
	}
	return calls
}

// sendAtOnce sends all requests in one write on one connection, and reads the answers in order.
func (t *tally) sendAtOnce(record *s.Record, client *s.Client) {
	conn, err := client.Dial()
	if err != nil {
		record.Line("no connection: %v", err)
		return
	}
	defer conn.Close()
	calls := newCalls()
	var text []byte
	start := time.Now()
	for _, call := range calls {
		t.sending(call, start)
		text = append(text, call.Bytes()...)
	}
	record.Line("client sends %d requests at once, %s to %s", atOnce, calls[0].ID, calls[atOnce-1].ID)
	_, err = conn.Write(text)
	in := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(start.Add(20 * time.Second)) // fails only on a closed connection
	for _, call := range calls {
		answer := s.Answer{Err: err}
		if err == nil {
			answer = s.ReadAnswer(in)
			err = answer.Err
		}
		t.answered(record, call.ID, time.Since(start), answer)
	}
}

// sendEach sends the same number of requests, each on a connection of its own.
func (t *tally) sendEach(record *s.Record, client *s.Client) {
	var calls sync.WaitGroup
	for _, call := range newCalls() {
		calls.Go(func() {
			start := time.Now()
			t.sending(call, start)
			answer := client.Do(call)
			t.answered(record, call.ID, time.Since(start), answer)
		})
	}
	calls.Wait()
}

func run(root, dir string, record *s.Record) int {
	t := &tally{deadlines: map[string]time.Time{}}
	var members []s.Member
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		server, err := s.NewServer(name, func(r s.Request, conn net.Conn) bool {
			t.ran(record, name, r)
			time.Sleep(serviceTime)
			_, err := conn.Write(s.OK([]byte("for " + r.ID)))
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
		Name: "n1", Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384, Known: discovery.List(),
		Settings: s.Settings(s.Class("plant-lookup", "pure", 2500, 6000)),
	})
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	client := &s.Client{Addr: agent.Listen}
	for range rounds {
		var round sync.WaitGroup
		for range clients {
			round.Go(func() {
				if s.Trouble() {
					t.sendAtOnce(record, client)
				} else {
					t.sendEach(record, client)
				}
			})
		}
		round.Wait()
	}
	record.Say("requests sent: %d, answered after their time: %d, lost (no answer, or half a second later still): %d", t.sent, t.late, t.lost)
	record.Say("requests that reached a counter server after their client's time: %d", t.overtime)
	if t.lost > 0 {
		return s.Broken
	}
	return s.Held
}
