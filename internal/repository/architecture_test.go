package repository

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../.."

// A package can be added without documentation. The architecture page must name each package by its path; those under
// internal/scale are named by the path below it.
func TestArchitecturePageNamesEachPackage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	list := exec.CommandContext(t.Context(), "go", "list", "./...")
	list.Dir = root
	packages, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	for path := range strings.Lines(string(packages)) {
		path = strings.TrimPrefix(strings.TrimSpace(path), "example.org/ryeloft/")
		path = strings.TrimPrefix(path, "internal/scale/")
		if !strings.Contains(string(page), "`"+path+"`") {
			t.Errorf("docs/architecture.md does not name package %s", path)
		}
	}
}
