package realagent

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	tailLines    = 12       // kept per agent
	maxLineBytes = 64 << 10 // longer lines are truncated
)

// logTail keeps the last lines of a log.
type logTail struct {
	lines [tailLines]string
	n     int // lines added
}

func (t *logTail) add(line string) {
	t.lines[t.n%tailLines] = line
	t.n++
}

func (t *logTail) text() string {
	var b strings.Builder
	for i := max(0, t.n-tailLines); i < t.n; i++ {
		fmt.Fprintf(&b, "  %s\n", t.lines[i%tailLines])
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// lineWriter calls onLine for each line written to it, with the time of the write that completed the line. It buffers
// an unfinished line until the next write.
type lineWriter struct {
	onLine     func(at time.Time, line string)
	unfinished []byte
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	at := time.Now()
	for rest := p; len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		w.unfinished = append(w.unfinished, line[:min(len(line), maxLineBytes-len(w.unfinished))]...)
		if ended {
			w.onLine(at, string(w.unfinished))
			w.unfinished = w.unfinished[:0]
		}
		rest = after
	}
	return len(p), nil
}

// logFields parses a line in slog's text format: key=value pairs, with values quoted if necessary. A line in another
// format, such as one of a panic, has no fields.
func logFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			break
		}
		value, after := cutValue(rest)
		fields[key] = value
		line = strings.TrimPrefix(after, " ")
	}
	return fields
}

// cutValue splits the text after a key's equals sign into the value, unquoted if necessary, and the rest.
func cutValue(text string) (value, rest string) {
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		value, rest, _ = strings.Cut(text, " ")
		return value, rest
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		value = quoted
	}
	return value, text[len(quoted):]
}
