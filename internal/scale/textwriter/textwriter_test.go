package textwriter

import (
	"errors"
	"strings"
	"testing"
)

func TestTablesAreAligned(t *testing.T) {
	var text strings.Builder
	w := New(&text)
	w.Printf("%d rows\n", 2)
	w.Table(func(t *Writer) {
		t.Println("name\tvalue")
		t.Printf("%s\t%d\n", "a long name", 1)
	})
	w.Println("end")
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if want := "2 rows\nname         value\na long name  1\nend\n"; text.String() != want {
		t.Errorf("got %q, want %q", &text, want)
	}
}

// failingWriter returns errDiskFull for every write but the first.
type failingWriter struct{ writes int }

var errDiskFull = errors.New("disk full")

func (f *failingWriter) Write(p []byte) (int, error) {
	f.writes++
	if f.writes > 1 {
		return 0, errDiskFull
	}
	return len(p), nil
}

func TestFirstErrorIsKept(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(*Writer)
	}{
		{"text", func(w *Writer) { w.Printf("%s", strings.Repeat("x", 100_000)) }},
		{"table", func(w *Writer) {
			w.Table(func(t *Writer) {
				for range 100 {
					t.Println(strings.Repeat("x", 1000) + "\ty")
				}
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &failingWriter{}
			w := New(out)
			w.Printf("%s", strings.Repeat("x", 10_000))
			c.write(w)
			w.Println("more")
			if err := w.Flush(); !errors.Is(err, errDiskFull) {
				t.Errorf("got error %v after %d writes, want %v", err, out.writes, errDiskFull)
			}
		})
	}
}
