package clock

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// wallReadings are the methods and functions that strip the monotonic reading of a time, or create a time without one.
// Intervals between such times are measured on the wall clock.
var wallReadings = map[string]bool{
	"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true,
	"Round": true, "Truncate": true, "Local": true, "UTC": true, "In": true, "AddDate": true, "Date": true, "Parse": true,
}

// packagesWithoutTimes are packages with functions of the same names that do not concern times.
var packagesWithoutTimes = map[string]bool{"math": true, "filepath": true, "settings": true, "config": true, "netip": true, "discovery": true, "url": true, "json": true}

// The agent and the relay must not read the wall clock outside this package. Intervals that were measured on it let
// slow clients continue for an hour after a step, and failed good ones.
func TestWallClockNotReadOutsideThisPackage(t *testing.T) {
	files := 0
	for _, folder := range agentSources(t) {
		names, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			files++
			for _, reading := range wallReadingsOf(t, name) {
				t.Errorf("%s: the wall clock is read outside internal/clock", reading)
			}
		}
	}
	if files < minSources {
		t.Errorf("found %d source files, want at least %d", files, minSources)
	}
}

// wallReadingsOf returns the positions of calls to wallReadings in a file.
func wallReadingsOf(t *testing.T, name string) (places []string) {
	t.Helper()
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		what, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !wallReadings[what.Sel.Name] {
			return true
		}
		if of, ok := what.X.(*ast.Ident); ok && packagesWithoutTimes[of.Name] {
			return true
		}
		places = append(places, fmt.Sprintf("%s:%d: %s", name, set.Position(n.Pos()).Line, what.Sel.Name))
		return true
	})
	return places
}

// The search must find readings where there are some: in this package.
func TestWallReadingsAreFound(t *testing.T) {
	if places := wallReadingsOf(t, "clock.go"); len(places) != 2 {
		t.Errorf("got %q, want two readings", places)
	}
}

// minSources is a lower bound of the number of source files of the agent and the relay.
const minSources = 30

// agentSources returns the folders of the agent and the relay, and of all internal packages except clock and those of
// the scale run.
func agentSources(t *testing.T) []string {
	t.Helper()
	const root = "../.."
	folders := []string{filepath.Join(root, "cmd/agent"), filepath.Join(root, "cmd/relay")}
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case !entry.IsDir():
			return nil
		case entry.Name() == "clock", entry.Name() == "scale", entry.Name() == "testdata":
			return fs.SkipDir
		case strings.HasSuffix(entry.Name(), "test"): // helpers shared by the tests of several packages
			return nil
		}
		folders = append(folders, path)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return folders
}
