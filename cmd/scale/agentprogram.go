package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"example.org/ryeloft/internal/scale/run"
	"example.org/ryeloft/internal/scale/scenario"
)

// agentProgram returns the path of the agent binary for a run and a function that removes it afterwards. If no flag
// names one and the scenario has real agents, it builds the binary. The path is empty if none is needed.
func (f *scenarioFlags) agentProgram(c *console, s *scenario.Scenario) (program string, remove func(), err error) {
	noop := func() {}
	if f.AgentBinary != "" {
		program, err = executable(f.AgentBinary)
		return program, noop, err
	}
	if s.Fleet.Real == 0 {
		return "", noop, nil
	}
	root, err := findRepository()
	if err != nil {
		return "", noop, usageError{fmt.Errorf("agent-binary: %w", err)}
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return "", noop, fmt.Errorf("building the agent: %w", err)
	}
	remove = func() {
		if err := os.RemoveAll(dir); err != nil {
			c.log.Warn("removing the agent binary failed", "dir", dir, "error", err)
		}
	}
	c.progress("builds the agent")
	program, err = run.Build(c.ctx, root, dir)
	if err != nil {
		remove()
		return "", noop, err
	}
	return program, remove, nil
}

// executable returns the absolute path of a program named by a flag.
func executable(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", usageError{fmt.Errorf("agent-binary: %s is not an executable file", path)}
	}
	return filepath.Abs(path)
}

// errNoRepository is returned when the working directory is not in the repository, so that no agent can be built.
var errNoRepository = errors.New("must be set outside the repository, where the agent cannot be built")

// findRepository returns the root directory of the module, searching from the working directory upwards.
func findRepository() (string, error) {
	const moduleLine = "module example.org/ryeloft\n"
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		text, err := os.ReadFile(filepath.Join(dir, "go.mod"))
		if err == nil && strings.HasPrefix(string(text), moduleLine) {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errNoRepository
		}
		dir = parent
	}
}
