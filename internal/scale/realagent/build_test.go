package realagent

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBuild checks that the agent is built like the deployed one, and that a build error includes the compiler's
// output.
func TestBuild(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/balancer.toml")
	if want := "CGO_ENABLED=1 go build " + strings.Join(buildFlags, " ") + " -o "; err != nil || !strings.Contains(string(text), want) {
		t.Errorf("deploy/balancer.toml does not build with %q: %v", want, err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module broken\n\ngo 1.25\n", "cmd/agent/main.go": "package main\n\nfunc main() { missing() }\n",
	} {
		path := filepath.Join(dir, name)
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte(text), 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	_, err = Build(t.Context(), dir, dir)
	if err == nil || !strings.Contains(err.Error(), "building the agent") || !strings.Contains(err.Error(), "undefined: missing") {
		t.Errorf("got error %v, want one with the compiler's output", err)
	}
	if _, err := os.Stat(filepath.Join(dir, "agent")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("binary after a failed build: got %v, want %v", err, fs.ErrNotExist)
	}
}
