// Command case-6 checks that clients get only answers that a counter server made for their request, while a few answers
// of the counter servers are followed by a second one some milliseconds later.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	servers        = 3
	requestsPerS   = 90
	duration       = 50 * time.Second
	spoiltEvery    = 50 // one answer in so many is followed by a second one
	minLateBy      = 2 * time.Millisecond
	maxLateBy      = 6 * time.Millisecond
	minServiceTime = 10 * time.Millisecond
	maxServiceTime = 25 * time.Millisecond
)

func main() { s.Main(run) }

// world is what the counter servers have done.
type world struct {
	record *s.Record
	mu     sync.Mutex
	made   map[string][]string // the bodies of 200 answers, by id of the request
	count  int
	spoilt int
}

func between(low, high time.Duration) time.Duration { return low + rand.N(high-low) }

// serve answers a request. Where the answer is to be spoilt, it is sent once more some milliseconds later.
func (w *world) serve(name string, r s.Request, conn net.Conn) bool {
	time.Sleep(between(minServiceTime, maxServiceTime))
	body := fmt.Sprintf("%s made %d for %s", name, rand.Uint64(), r.ID)
	w.mu.Lock()
	w.made[r.ID] = append(w.made[r.ID], body)
	w.count++
	spoil := s.Trouble() && w.count%spoiltEvery == 0
	if spoil {
		w.spoilt++
	}
	w.mu.Unlock()
	answer := s.OK([]byte(body))
	w.record.Line("%s ran %s %s", name, r.ID, r.Path)
	if _, err := conn.Write(answer); err != nil {
		return false
	}
	if spoil {
		late := between(minLateBy, maxLateBy)
		go func() {
			time.Sleep(late)
			_, err := conn.Write(answer)
			w.record.Line("%s answers %s a second time, %v late, error %v", name, r.ID, late, err)
		}()
	}
	return true
}

func (w *world) isOwn(id, body string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, made := range w.made[id] {
		if made == body {
			return true
		}
	}
	return false
}

// kinds are the classes of the site, with their shares.
var kinds = []struct {
	name, method, effect string
	share                float64
}{
	{"plant-lookup", http.MethodGet, "pure", 0.33},
	{"price-check", http.MethodGet, "pure", 0.31},
	{"stock-hold", http.MethodPost, "token", 0.21},
	{"card-sale", http.MethodPost, "side_effect", 0.15},
}

func newCall() *s.Call {
	at := rand.Float64()
	for i, kind := range kinds {
		at -= kind.share
		if at >= 0 && i < len(kinds)-1 {
			continue
		}
		call := &s.Call{Class: kind.name, Method: kind.method, ID: s.NewID(), Budget: 3 * time.Second}
		if kind.method == http.MethodPost {
			call.Body = []byte("item=1")
		}
		if kind.effect == "token" {
			call.Key = s.NewID()
		}
		return call
	}
	panic("unreachable")
}

func run(root, dir string, record *s.Record) int {
	w := &world{record: record, made: map[string][]string{}}
	var members []s.Member
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		server, err := s.NewServer(name, func(r s.Request, conn net.Conn) bool { return w.serve(name, r, conn) })
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
	var classes []map[string]any
	for _, kind := range kinds {
		classes = append(classes, s.Class(kind.name, kind.effect, 2500, 6000))
	}
	agent, err := s.StartAgent(root, dir, s.AgentConfig{
		Name: "n1", Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384, Known: discovery.List(), Settings: s.Settings(classes...),
	})
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	client := &s.Client{Addr: agent.Listen}
	var clients sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	foreign := map[string]int{} // by class
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / requestsPerS * float64(time.Second)))
		clients.Go(func() {
			call := newCall()
			record.Line("client sends %s %s", call.ID, call.Class)
			answer := client.Do(call)
			result := fmt.Sprint(answer.Status)
			if answer.Err != nil {
				result = "no whole answer"
			}
			wrong := answer.Err == nil && answer.Status == http.StatusOK && !w.isOwn(call.ID, string(answer.Body))
			record.Line("client got for %s: %s %q %v, of another request: %v", call.ID, result, answer.Body, answer.Err, wrong)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
			if wrong {
				foreign[call.Class]++
			}
		})
	}
	clients.Wait()
	record.Say("answers by status: %v", results)
	record.Say("answers that came a second time: %d of %d", w.spoilt, w.count)
	record.Say("answers 200 with the body of another request, by class: %v", foreign)
	if len(foreign) > 0 {
		return s.Broken
	}
	return s.Held
}
