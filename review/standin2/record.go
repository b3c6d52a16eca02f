package standin2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1
	Unable = 2 // the case could not run
)

// Record writes what was sent, answered and run to a file, one line an occurrence, and the last lines to standard
// output as well. Any goroutine may use it.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file, or replaces it.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Line writes a line with the time since the start of the case.
func (r *Record) Line(format string, args ...any) {
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", at.Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say writes a line, and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close flushes and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
