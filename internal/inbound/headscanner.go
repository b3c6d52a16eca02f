package inbound

import "bytes"

// headScanner finds in a request's head what net/http does not report: which of the two framings of a body it states. It is
// the goroutine's that reads the connection.
type headScanner struct {
	line             []byte // the present one, as far as a name in question reaches
	lines            int
	reused           bool // the request is not its connection's first
	ended            bool // all of the head has been seen
	contentLength    bool
	transferEncoding bool
}

// reset begins with the head of the next request.
func (h *headScanner) reset() {
	*h = headScanner{line: h.line[:0], reused: true}
}

// scan takes in what was read, which may go beyond the head.
func (h *headScanner) scan(text []byte) {
	for _, b := range text {
		if h.ended {
			return
		}
		if b == '\n' {
			h.endLine()
		} else if len(h.line) < len("Transfer-Encoding:") {
			h.line = append(h.line, b)
		}
	}
}

func (h *headScanner) endLine() {
	name, _, _ := bytes.Cut(h.line, []byte{':'})
	h.contentLength = h.contentLength || bytes.EqualFold(name, []byte("Content-Length"))
	h.transferEncoding = h.transferEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	h.ended = h.lines > 0 && len(bytes.TrimRight(h.line, "\r")) == 0
	h.lines++
	h.line = h.line[:0]
}
