package standin2

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Member is an entry of the list.
type Member struct {
	ID, Addr, Phase string
	Zone            string // empty: a
	UpSince         int64
}

func (m Member) text() string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"m1","cell":0,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		m.ID, m.Addr, cmp.Or(m.Zone, "a"), m.Phase, m.UpSince)
}

func listText(revision int, complete bool, members []Member) string {
	var texts []string
	for _, m := range members {
		texts = append(texts, m.text())
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(texts, ","))
}

// Discovery is the discovery service as the protocol page describes it.
type Discovery struct {
	Addr   string
	Record *Record

	mu       sync.Mutex
	revision int
	members  []Member
	changes  []Member // changes[i] made revision first+i+1
	first    int
	changed  chan struct{}
}

// NewDiscovery starts a discovery service with a list.
func NewDiscovery(record *Record, members ...Member) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Addr: l.Addr().String(), Record: record, revision: 41, first: 41, members: members, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, d) }() // until the case ends
	return d, nil
}

// List returns the whole list in discovery's form.
func (d *Discovery) List() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return listText(d.revision, true, d.members)
}

// Change changes or adds a member. It returns the new revision.
func (d *Discovery) Change(m Member) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.changes = append(d.changes, m)
	var members []Member
	for _, old := range d.members {
		if old.ID != m.ID {
			members = append(members, old)
		}
	}
	if m.Phase != "Gone" {
		members = append(members, m)
	}
	d.members = members
	close(d.changed)
	d.changed = make(chan struct{})
	return d.revision
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(min(wait, 60_000)) * time.Millisecond)
	defer limit.Stop()
	for {
		d.mu.Lock()
		text := ""
		switch {
		case err != nil || after < d.first || after > d.revision:
			text = listText(d.revision, true, d.members)
		case after < d.revision:
			text = listText(d.revision, false, d.changes[after-d.first:])
		}
		changed, revision := d.changed, d.revision
		d.mu.Unlock()
		if text == "" {
			select {
			case <-changed:
				continue
			case <-limit.C:
				text = listText(revision, false, nil)
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_, werr := fmt.Fprintln(w, text)
		d.Record.Line("discovery %s answers %q: revision %d, error %v", d.Addr, r.URL.RawQuery, revision, werr)
		return
	}
}
