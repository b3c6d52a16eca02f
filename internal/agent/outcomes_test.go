package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"example.org/ryeloft/internal/agenttest"
	"example.org/ryeloft/internal/protocol"
	"example.org/ryeloft/internal/stream"
)

// Each row of the protocol's table of outcomes, first at one server that then serves: a keyed request may go
// again whatever happened, an unsafe one only if it cannot have run.
func TestOutcomes(t *testing.T) {
	rejected := "HTTP/1.1 %d No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
	for _, row := range []struct {
		name   string
		text   string
		closes bool
		ran    bool // it may have
	}{
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, true},
		{"turned away with 503", fmt.Sprintf(rejected, 503), false, false},
		{"turned away with 504", fmt.Sprintf(rejected, 504), false, false},
		{"503 of its own", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, true},
		{"reset", "", true, true},
		{"broken answer", "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf", true, true},
		{"shorter than it says, the connection open", "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf", false, true},
		{"half a head, the connection open", "HTTP/1.1 200 OK\r\nContent-", false, true},
		{"said to be oversized", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhalf", false, true},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhalf", false, true},
		{"bad chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf", false, true},
		{"another protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + agenttest.OKAnswer, false, true},
		{"nonsense", "SSH-2.0-x\r\n\r\n", true, true},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200<<10), true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			script := func(n int, _ *http.Request) (string, bool) {
				if n == 0 {
					return row.text, row.closes
				}
				return agenttest.OKAnswer, false
			}
			for _, class := range []string{"keyed", "unsafe"} {
				// The other attempt goes to the second server, so one script serves for both.
				both := agenttest.NewServer(t, script)
				other := agenttest.NewServer(t, agenttest.Serve)
				a := startWith(t, agenttest.Settings, both, other)
				for len(both.Requests) == 0 { // until the draw falls on the first
					status, body := a.do(t, a.request(class, "15000m"))
					again := class == "keyed" || !row.ran
					switch {
					case len(both.Requests) == 0 && status == 200:
						<-other.Requests
					case again && (status != 200 || body != "served"):
						t.Errorf("%s: answered %d %q", class, status, body)
					case !again && status != protocol.StatusFailed:
						t.Errorf("%s: answered %d", class, status)
					case again && len(both.Requests)+len(other.Requests) != 2, !again && len(both.Requests)+len(other.Requests) != 1:
						t.Errorf("%s: sent %d times", class, len(both.Requests)+len(other.Requests))
					}
				}
			}
		})
	}
}

// A good answer is served whatever stands before and behind it; its connection is not used again, or what stands
// behind it would be the next request's answer.
func TestBytesAroundAnAnswer(t *testing.T) {
	for what, text := range map[string]string{
		"a copy behind":   agenttest.OKAnswer + strings.Replace(agenttest.OKAnswer, "served", "again!", 1),
		"noise behind":    agenttest.OKAnswer + "\x00\x01\r\n\r\n",
		"hints before":    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + agenttest.OKAnswer,
		"a broken report": strings.Replace(agenttest.OKAnswer, "Content-Type", "X-Load-Report: outstanding=-Inf,=,\r\nContent-Type", 1),
	} {
		a := startWith(t, agenttest.Settings, agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return text, false }))
		for range 3 {
			if status, body := a.do(t, a.request("unsafe", "15000m")); status != 200 || body != "served" {
				t.Errorf("%s: answered %d %q", what, status, body)
			}
		}
	}
}

// A keyed request that may have run is not sent to a server that does not know its key.
func TestKeyedStaysInItsCell(t *testing.T) {
	breaks := func(int, *http.Request) (string, bool) { return "", true }
	x, y := agenttest.NewServer(t, breaks), agenttest.NewServer(t, breaks)
	a := startWith(t, agenttest.Settings, x, y)
	a.do(t, a.request("celled", "15000m"))
	if len(x.Requests) > 0 && len(y.Requests) > 0 {
		t.Error("sent to both cells")
	}
}

func TestConnectFailed(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	gone := &agenttest.Server{Addr: closed.Addr().String()}
	a := startWith(t, agenttest.Settings, gone)
	if status, _ := a.do(t, a.request("unsafe", "15000m")); status != protocol.StatusRejected {
		t.Errorf("answered %d: what never ran can be refused", status)
	}
}

func TestTimeout(t *testing.T) {
	b := agenttest.NewServer(t, func(int, *http.Request) (string, bool) { return "", false })
	a := startWith(t, agenttest.Settings, b)
	status, _ := a.do(t, a.request("unsafe", "150m"))
	if status != protocol.StatusFailed {
		t.Errorf("answered %d: it may have run", status)
	}
	agenttest.Receive(t, "close of the connection", b.Closed)
	if len(b.Requests) != 1 {
		t.Errorf("sent %d times", len(b.Requests))
	}
}

// An answer that is cut is never passed on as whole, however it is framed and wherever it breaks: a short one fails, and
// the client of a long one sees that there was more.
func TestCutAnswersAreNotWhole(t *testing.T) {
	long := string(agenttest.Pattern(stream.MaxBufferedBytes + 1000))
	for name, text := range map[string]string{
		"no length":             "HTTP/1.1 200 OK\r\n\r\nhalf",
		"no length and nothing": "HTTP/1.1 200 OK\r\n\r\n",
		"a length":              "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nhalf",
		"no last chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no end of chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
		"long, no length":       "HTTP/1.1 200 OK\r\n\r\n" + long,
		"long, a length":        "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long,
		"long, no last chunk":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
	} {
		for _, end := range []string{"reset", "end"} {
			if end == "end" && strings.Contains(name, "no length") {
				continue // that is how such an answer ends
			}
			t.Run(name+", "+end, func(t *testing.T) {
				a := startStreaming(t, func(w http.ResponseWriter, _ *http.Request) {
					c, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					if end == "reset" {
						c.(*net.TCPConn).SetLinger(0)
					}
					io.WriteString(c, text)
					c.Close()
				})
				resp, err := a.client.Do(a.request("unsafe", "15000m"))
				if err != nil {
					return // cut before its first bytes went on
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				if resp.StatusCode == http.StatusOK && err == nil {
					t.Errorf("%d bytes were passed on as whole", len(body))
				}
			})
		}
	}
}
