// Command case-10 checks that an agent sends nothing to a draining counter server once the drain counts as told, when SIGHUP
// moves discovery to a service that is crowded and refuses the agent's first calls.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"time"

	s "example.org/ryeloft/review/standin2"
)

const (
	agents      = 6 // in the fleet, as the settings say; the case runs the last one
	servers     = 5
	callWork    = 450 * time.Millisecond // of a call that does not continue a watch; for all agents 2.7 s
	refusals    = 4                      // calls that the crowded service refuses
	refusalTime = 30 * time.Millisecond
	quietTime   = 10 * time.Second
	drainAfter  = 200 * time.Millisecond // from SIGHUP
	toldAfter   = 6 * time.Second        // from the drain, which discovery has at once
	grace       = 300 * time.Millisecond
	slack       = 50 * time.Millisecond // that time limits on sockets have
	watchedTime = 16 * time.Second      // from SIGHUP
)

func main() { s.Main(run) }

// service is a discovery service that needs a time for each call that does not continue a watch, and may refuse calls.
type service struct {
	list   *s.Discovery
	record *s.Record
	name   string
	addr   string

	mu       sync.Mutex
	refuse   int                  // how many calls it still refuses
	answered map[string]time.Time // when a watch was last answered, by connection
}

func newService(name string, list *s.Discovery, refuse int, record *s.Record) (*service, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &service{
		list: list, record: record, name: name, addr: l.Addr().String(), refuse: refuse, answered: map[string]time.Time{},
	}
	go func() { _ = http.Serve(l, d) }() // until the case ends
	return d, nil
}

// begin reports whether a call is refused, and whether it continues a watch: it then comes on the same connection within
// 200 ms of the last answer to a watch there.
func (d *service) begin(conn string) (refused, continues bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refuse > 0 {
		d.refuse--
		return true, false
	}
	return false, time.Since(d.answered[conn]) < 200*time.Millisecond
}

// ServeHTTP implements http.Handler.
func (d *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.record.Line("%s discovery gets a call %q", d.name, r.URL.RawQuery)
	refused, continues := d.begin(r.RemoteAddr)
	if refused {
		time.Sleep(refusalTime)
		w.WriteHeader(http.StatusServiceUnavailable)
		d.record.Line("%s discovery has refused %q", d.name, r.URL.RawQuery)
		return
	}
	if !continues {
		time.Sleep(callWork)
	}
	answer := httptest.NewRecorder()
	d.list.ServeHTTP(answer, r)
	if r.Context().Err() != nil {
		return
	}
	_, err := w.Write(answer.Body.Bytes())
	d.record.Line("%s discovery has answered %q: %v", d.name, r.URL.RawQuery, err)
	if r.URL.Query().Has("after") {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.answered[r.RemoteAddr] = time.Now()
	}
}

// judge counts the requests that come to the draining server too late.
type judge struct {
	record *s.Record

	mu    sync.Mutex
	limit time.Time // from then on the draining server gets nothing
	late  int
	most  time.Duration
}

func (j *judge) arrived(r s.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.limit.IsZero() || !r.Arrived.After(j.limit) {
		return
	}
	over := r.Arrived.Sub(j.limit)
	j.late++
	j.most = max(j.most, over)
	j.record.Line("s-1 drains and ran %s, %v after nothing may come any more", r.ID, over)
}

// traffic sends requests to the agent until the context ends, and returns the answers by status.
func traffic(ctx context.Context, agent *s.Agent, record *s.Record) map[string]int {
	client := &s.Client{Addr: agent.Listen}
	results := map[string]int{}
	for {
		select {
		case <-ctx.Done():
			return results
		case <-time.After(time.Duration(10+rand.IntN(30)) * time.Millisecond):
		}
		call := &s.Call{Class: "plant-lookup", Method: http.MethodGet, ID: s.NewID(), Budget: 3 * time.Second}
		answer := client.Do(call)
		record.Line("client sent %s, got %d %v", call.ID, answer.Status, answer.Err)
		results[fmt.Sprintf("%d, whole %v", answer.Status, answer.Err == nil)]++
	}
}

func run(root, dir string, record *s.Record) int {
	j := &judge{record: record}
	var members []s.Member
	for i := range servers {
		name := fmt.Sprintf("s-%d", i+1)
		server, err := s.NewServer(name, func(r s.Request, conn net.Conn) bool {
			record.Line("%s runs %s", name, r.ID)
			if name == "s-1" {
				j.arrived(r)
			}
			time.Sleep(10 * time.Millisecond)
			_, err := conn.Write(s.OK([]byte("for " + r.ID)))
			return err == nil
		})
		if err != nil {
			record.Say("cannot run: %v", err)
			return s.Unable
		}
		members = append(members, server.Member("Ready"))
	}
	list, err := s.NewDiscovery(record, members...)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	old, err := newService("old", list, 0, record)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	refuse := 0
	if s.Trouble() {
		refuse = refusals
	}
	next, err := newService("new", list, refuse, record)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	set := s.Settings(s.Class("plant-lookup", "pure", 2500, 6000))
	set["rank"] = agents - 1
	set["replicasOfMe"] = agents
	config := s.AgentConfig{
		Name: "n6", Discovery: old.addr, MemoryMB: 64, Sockets: 384, Known: list.List(), Settings: set,
	}
	agent, err := s.StartAgent(root, dir, config)
	if err != nil {
		record.Say("cannot run: %v", err)
		return s.Unable
	}
	ctx, stop := context.WithCancel(context.Background())
	results := make(chan map[string]int)
	go func() { results <- traffic(ctx, agent, record) }()
	status := moveAndDrain(agent, config, next.addr, list, members[0], j)
	stop()
	record.Say("answers by status: %v", <-results)
	if status != nil {
		record.Say("cannot run: %v", status)
		return s.Unable
	}
	record.Say("requests to s-1 later than %v after its drain: %d, up to %v later", toldAfter+grace+slack, j.late, j.most)
	if j.late > 0 {
		return s.Broken
	}
	return s.Held
}

// moveAndDrain moves discovery to another address by SIGHUP, has a server drain, and waits for the end of the case.
func moveAndDrain(agent *s.Agent, config s.AgentConfig, addr string, list *s.Discovery, server s.Member, j *judge) error {
	time.Sleep(quietTime)
	config.Discovery = addr
	if err := agent.Configure(config); err != nil {
		return err
	}
	if err := agent.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	j.record.Say("SIGHUP moves discovery")
	time.Sleep(drainAfter)
	server.Phase = "Terminating"
	list.Change(server)
	j.mu.Lock()
	j.limit = time.Now().Add(toldAfter + grace + slack)
	j.mu.Unlock()
	j.record.Say("s-1 begins to drain")
	time.Sleep(watchedTime - drainAfter)
	return nil
}
