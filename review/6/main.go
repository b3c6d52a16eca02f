// Command case-6 checks that no keyed request runs twice after SIGHUP with a broken file, from which the agent must take
// nothing.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	serversPerZone = 3
	requestsPerS   = 60
	resetEvery     = 30 // one exchange in so many is reset after it has run
	beforeSignal   = 5 * time.Second
	afterSignal    = 40 * time.Second
)

var zones = []string{"perth-east", "bunbury"}

func main() { s.Main(run) }

// world is what the counter servers have run. Those of one zone drop a repeat of a key that one of them has met.
type world struct {
	record *s.Record

	mu      sync.Mutex
	met     map[string]bool     // zone and key
	ran     map[string][]string // the zones in which a key ran
	dropped int                 // repeats within a zone
	resets  int
	count   int
}

func (w *world) serve(name, zone string, r s.Request, conn net.Conn) bool {
	time.Sleep(10*time.Millisecond + rand.N(10*time.Millisecond))
	w.mu.Lock()
	w.count++
	reset := w.count%resetEvery == 0
	if reset {
		w.resets++
	}
	repeat := r.Key != "" && w.met[zone+" "+r.Key]
	switch {
	case r.Key == "":
	case repeat:
		w.dropped++
	default:
		w.met[zone+" "+r.Key] = true
		w.ran[r.Key] = append(w.ran[r.Key], zone)
	}
	w.record.Line("%s in %s got %s with key %q, a repeat that it drops: %v, resets: %v", name, zone, r.ID, r.Key, repeat, reset)
	w.mu.Unlock()
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // makes the close a reset; fails only on a closed connection
		return false
	}
	_, err := conn.Write(s.OK([]byte("for " + r.Key + r.ID)))
	return err == nil
}

// settings returns the settings. Only the class that has a key says which counter servers drop repeats, and for how long.
func settings() map[string]any {
	lookup, hold := s.Class("plant-lookup", "pure", 2500, 6000), s.Class("stock-hold", "token", 2500, 6000)
	sale := s.Class("card-sale", "side_effect", 2500, 6000)
	for _, class := range []map[string]any{lookup, sale} {
		delete(class, "dedupScope")
		delete(class, "repeatWindow")
	}
	hold["dedupScope"] = "zone"
	set := s.Settings(lookup, hold, sale)
	set["localities"] = zones
	return set
}

// lackKey removes the key that says which counter servers drop repeats.
func lackKey(set map[string]any) {
	for _, class := range set["categories"].([]map[string]any) {
		delete(class, "dedupScope")
	}
}

func run(root, dir string, record *s.Record) int {
	w := &world{record: record, met: map[string]bool{}, ran: map[string][]string{}}
	var members []s.Member
	for _, zone := range zones {
		for i := range serversPerZone {
			name := fmt.Sprintf("s-%s-%d", zone, i+1)
			server, err := s.NewServer(name, func(r s.Request, conn net.Conn) bool { return w.serve(name, zone, r, conn) })
			if err != nil {
				record.Say("cannot run: %v", err)
				return s.Unable
			}
			member := server.Member("Ready")
			member.Zone = zone
			members = append(members, member)
		}
	}
	discovery, err := s.NewDiscovery(record, members...)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	config := s.AgentConfig{
		Name: "n1", Discovery: discovery.Addr, MemoryMB: 64, Sockets: 384, Known: discovery.List(), Settings: settings(),
	}
	agent, err := s.StartAgent(root, dir, config)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	client := &s.Client{Addr: agent.Listen}
	results := map[string]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	send := func(until time.Time) {
		for time.Now().Before(until) {
			time.Sleep(time.Duration(rand.ExpFloat64() / requestsPerS * float64(time.Second)))
			clients.Go(func() {
				call := &s.Call{
					Class: "stock-hold", Method: http.MethodPost, ID: s.NewID(), Key: s.NewID(), Budget: 3 * time.Second, Body: []byte("item=1"),
				}
				record.Line("client sends %s with key %s", call.ID, call.Key)
				answer := client.Do(call)
				record.Line("client got for %s with key %s: %d %v", call.ID, call.Key, answer.Status, answer.Err)
				mu.Lock()
				defer mu.Unlock()
				results[fmt.Sprintf("%d, whole %v", answer.Status, answer.Err == nil)]++
			})
		}
	}
	send(time.Now().Add(beforeSignal))
	next := config
	next.Settings = settings()
	if s.Trouble() {
		lackKey(next.Settings)
	}
	if err := agent.Configure(next); err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	if err := agent.Signal(syscall.SIGHUP); err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	record.Say("SIGHUP; the file lacks a key: %v", s.Trouble())
	send(time.Now().Add(afterSignal))
	clients.Wait()
	twice := 0
	for key, ran := range w.ran {
		if len(ran) > 1 {
			twice++
			record.Line("key %s ran in %s", key, strings.Join(ran, " and "))
		}
	}
	record.Say("answers by status: %v", results)
	record.Say("exchanges that were reset: %d of %d; repeats that counter servers dropped: %d", w.resets, w.count, w.dropped)
	record.Say("keyed requests that ran twice: %d", twice)
	if twice > 0 {
		return s.Broken
	}
	return s.Held
}
