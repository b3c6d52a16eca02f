package repository

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// redModule has two packages with a test of the same name. One case of it fails in package a.
var redModule = map[string]string{
	"go.mod": "module example.org/red\n\ngo 1.25\n",
	"a/a_test.go": `package a

import "testing"

func TestWatch(t *testing.T) {
	t.Run("two at once (1+1)", func(t *testing.T) { t.Error("red") })
	t.Run("one", func(t *testing.T) { t.Log("one of a runs") })
}
`,
	"b/b_test.go": `package b

import "testing"

func TestWatch(t *testing.T) {
	t.Run("two at once (1+1)", func(t *testing.T) { t.Log("two of b runs") })
}
`,
}

// An entry of KNOWN-RED.txt must skip exactly the test that it names, in the package that it names. Otherwise it could
// hide failures of other tests. An entry that matches no test is an error.
func TestKnownRedEntries(t *testing.T) {
	script, err := filepath.Abs(filepath.Join(root, "tools", "known-red.sh"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range redModule {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		entries string
		passes  bool
		output  []string // texts that the output contains
	}{
		"the test":             {"./a:TestWatch/two_at_once_(1+1) seed 1: red\n", true, []string{"one of a runs", "two of b runs"}},
		"with a bench entry":   {"bench:zone a day: red\n\n./a:TestWatch/two_at_once_(1+1) red\n", true, []string{"one of a runs", "two of b runs"}},
		"no entry":             {"", false, []string{"--- FAIL: TestWatch/two_at_once_(1+1)"}},
		"another package":      {"./b:TestWatch red\n", false, []string{"--- FAIL: TestWatch/two_at_once_(1+1)", "one of a runs"}},
		"no such test":         {"./a:TestOther red\n", false, []string{"./a:TestOther matches no test"}},
		"no such case":         {"./a:TestWatch/two red\n", false, []string{"./a:TestWatch/two matches no test"}},
		"a regular expression": {"./a:Test.* red\n", false, []string{"./a:Test.* matches no test"}},
		"no package":           {"TestWatch red\n", false, []string{"TestWatch is not PACKAGE:TEST"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(c.entries), 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := exec.CommandContext(t.Context(), "bash", "-euo", "pipefail", "-c",
				`source "$1"; known_red_check "$2"; known_red_test "$2" -v -count=1 -- ./...`, "bash", script, file)
			cmd.Dir = dir
			out, err := cmd.CombinedOutput()
			if (err == nil) != c.passes {
				t.Errorf("got error %v, want success: %v\n%s", err, c.passes, out)
			}
			for _, text := range c.output {
				if !strings.Contains(string(out), text) {
					t.Errorf("got\n%s\nwant it to contain %q", out, text)
				}
			}
		})
	}
}
