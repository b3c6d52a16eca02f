// Package textwriter writes text with aligned tables. A Writer is not safe for concurrent use.
package textwriter

import (
	"bufio"
	"fmt"
	"io"
	"text/tabwriter"
)

// Writer buffers text and keeps the first error for Flush.
type Writer struct {
	out *bufio.Writer
	err error
}

// New returns a Writer to out.
func New(out io.Writer) *Writer { return &Writer{out: bufio.NewWriter(out)} }

// Printf writes formatted text.
func (w *Writer) Printf(format string, args ...any) {
	_, err := fmt.Fprintf(w.out, format, args...)
	w.keep(err)
}

// Println writes a line.
func (w *Writer) Println(args ...any) {
	_, err := fmt.Fprintln(w.out, args...)
	w.keep(err)
}

// Table calls fill with a writer for tab-separated cells and writes its output with aligned columns.
func (w *Writer) Table(fill func(table *Writer)) {
	aligned := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	table := New(aligned)
	fill(table)
	w.keep(table.Flush())
	w.keep(aligned.Flush())
}

// Flush writes the buffered text and returns the first error since New.
func (w *Writer) Flush() error {
	w.keep(w.out.Flush())
	return w.err
}

func (w *Writer) keep(err error) {
	if w.err == nil {
		w.err = err
	}
}
