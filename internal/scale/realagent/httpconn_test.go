package realagent

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

func TestEchoResponses(t *testing.T) {
	e, err := StartEchoServers(1)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", e.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	conn := newHTTPConn(c)
	for _, q := range []struct {
		request string
		status  int
		body    string
	}{
		{"GET /echo/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a1\r\n\r\n", 200, "a1"},
		{"POST /echo/1 HTTP/1.1\r\nHost: x\r\nX-Call-Id: a2\r\nContent-Length: 4\r\n\r\nbody", 200, "a2"},
		{"GET /echo/1 HTTP/1.1\r\nHost: x\r\n\r\n", 404, "no X-Call-Id\n"},
		{"GET /alive HTTP/1.1\r\nHost: x\r\n\r\n", 200, "alive\n"},
	} {
		r, err := conn.roundTrip([]byte(q.request))
		if err != nil || r.status != q.status || string(r.body) != q.body || r.close {
			t.Errorf("%q: got %d %q, close %v, error %v; want %d %q", q.request, r.status, r.body, r.close, err, q.status, q.body)
		}
	}
	r, err := conn.roundTrip([]byte("GET /metrics/load HTTP/1.1\r\nHost: x\r\n\r\n"))
	if err != nil || !strings.HasPrefix(string(r.body), "outstanding=1,backlog=0,recent_ms=") {
		t.Errorf("got load report %q, error %v; want 1 outstanding request and no backlog", r.body, err)
	}
	if err := e.Close(); err != nil {
		t.Error(err)
	}
	if _, err := conn.roundTrip([]byte("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n")); !errors.Is(err, errNoResponse) {
		t.Errorf("after Close: got error %v, want %v", err, errNoResponse)
	}
}

func TestParseResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
	for text, want := range map[string]struct {
		complete, bad, close bool
		status               int
		body                 string
	}{
		head + "\r\nok":                      {complete: true, status: 200, body: "ok"},
		head + "connection: CLOSE\r\n\r\nok": {complete: true, status: 200, body: "ok", close: true},
		head + "\r\no":                       {status: 200, body: "o"},
		head:                                 {},
		head + "\r\nokay":                    {bad: true},
		"HTTP/1.1 503 X\r\ncontent-length:0\r\n\r\n":     {complete: true, status: 503},
		"HTTP/1.1 200 OK\r\n\r\n":                        {bad: true},
		"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n":  {bad: true},
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok": {bad: true},
		"HTTP/1.1 \r\n\r\n":                              {bad: true},
	} {
		r, complete, err := parseResponse([]byte(text))
		if (err != nil) != want.bad {
			t.Errorf("%q: got error %v, want error: %v", text, err, want.bad)
		}
		if err == nil && (complete != want.complete || r.status != want.status || string(r.body) != want.body || r.close != want.close) {
			t.Errorf("%q: got %+v, complete %v; want %+v", text, r, complete, want)
		}
	}
}
