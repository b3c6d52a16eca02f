package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of the server list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// List is an answer of discovery.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Discovery is a stand-in for the discovery service.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	list    List
	since   map[string]uint64 // revision of the last change of each member
	changed chan struct{}
}

// StartDiscovery starts a discovery service with a list.
func StartDiscovery(members []Member) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Addr: l.Addr().String(), list: List{Revision: 41, Complete: true, Members: members}, since: map[string]uint64{},
		changed: make(chan struct{}),
	}
	go http.Serve(l, d)
	return d, nil
}

// Known returns the list as a configuration names it.
func (d *Discovery) Known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	text, _ := json.Marshal(d.list)
	return text
}

// Change replaces or adds a member.
func (d *Discovery) Change(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Revision++
	d.since[m.ID] = d.list.Revision
	found := false
	for i := range d.list.Members {
		if d.list.Members[i].ID == m.ID {
			d.list.Members[i] = m
			found = true
		}
	}
	if !found {
		d.list.Members = append(d.list.Members, m)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// answer returns the answer to a call and whether it has anything newer than the revision.
func (d *Discovery) answer(after uint64, known bool) (List, bool, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !known || after < 41 || after > d.list.Revision {
		whole := d.list
		whole.Members = append([]Member(nil), d.list.Members...)
		return whole, true, d.changed
	}
	changes := List{Revision: d.list.Revision, Members: []Member{}}
	for _, m := range d.list.Members {
		if d.since[m.ID] > after {
			changes.Members = append(changes.Members, m)
		}
	}
	return changes, d.list.Revision > after, d.changed
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
	defer timer.Stop()
	for {
		list, newer, changed := d.answer(after, err == nil)
		expired := false
		if !newer {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if newer || expired {
			_ = json.NewEncoder(w).Encode(list)
			return
		}
	}
}
