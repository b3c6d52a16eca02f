package inbound

import "bytes"

// headScanner detects which of Content-Length and Transfer-Encoding a request's head contains, which net/http does not
// report. Only the goroutine that reads the connection uses it.
type headScanner struct {
	line             []byte // the current line, cut to the length of the longer header name
	lines            int
	reused           bool // the request is not the first on its connection
	ended            bool // the head is complete
	contentLength    bool
	transferEncoding bool
}

// reset prepares for the head of the next request.
func (h *headScanner) reset() {
	*h = headScanner{line: h.line[:0], reused: true}
}

// scan processes bytes that were read, which may extend beyond the head.
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
