package agenttest

import "fmt"

// Framing is how a request's body is delimited.
type Framing struct {
	Name    string
	Header  string // the header that announces the body, without the line break
	End     string // what follows the last part
	chunked bool
}

// Framings returns the two framings of a body of the given length.
func Framings(length int) []Framing {
	return []Framing{
		{Name: "length", Header: fmt.Sprintf("Content-Length: %d", length)},
		{Name: "chunks", Header: "Transfer-Encoding: chunked", End: "0\r\n\r\n", chunked: true},
	}
}

// Part returns a part of the body as it is sent.
func (f Framing) Part(text string) string {
	if !f.chunked {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}
