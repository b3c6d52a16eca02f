package agenttest

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Discovery is a discovery service. It returns the complete list without delay, and answers each watch with the next
// text sent to Next.
type Discovery struct {
	*httptest.Server
	Calls chan string // the raw query of each call, in order
	Next  chan []byte // the responses to watches

	mu   sync.Mutex
	list func() []byte // guarded by mu; returns nil while discovery is down
}

// NewDiscovery starts a discovery service with a complete list. With a nil list it rejects all calls.
func NewDiscovery(t *testing.T, list []byte) *Discovery {
	d := &Discovery{Calls: make(chan string, 1000), Next: make(chan []byte), list: func() []byte { return list }}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

// SetList replaces the function that returns the complete list. It is called once per discovery call.
func (d *Discovery) SetList(list func() []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.Calls <- r.URL.RawQuery
	d.mu.Lock()
	list := d.list()
	d.mu.Unlock()
	switch {
	case list == nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.RawQuery == "":
		send(w, string(list))
	default:
		d.watch(w, r)
	}
}

func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	var noChange <-chan time.Time // stays nil if the call waits for a change
	if r.URL.Query().Get("wait_ms") == "0" {
		noChange = time.After(50 * time.Millisecond)
	}
	select {
	case text := <-d.Next:
		send(w, string(text))
	case <-noChange:
		send(w, fmt.Sprintf(`{"revision":%s,"complete":false,"members":[]}`, r.URL.Query().Get("after")))
	case <-r.Context().Done():
	}
}

// List returns an endpoint list in the format of discovery.
func List(revision int, complete bool, members ...string) []byte {
	return fmt.Appendf(nil, `{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// Member returns a member of an endpoint list in the format of discovery.
func Member(id, addr, phase string, cell int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m1","cell":%d,"phase":%q,"size":1,"up_since_ms":0}`,
		id, addr, cell, phase)
}
