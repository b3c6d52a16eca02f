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

// agentProgram returns the agent's program for a run, and what removes it afterwards. It builds the program where no flag
// names one and the scenario has real agents.
func (f *scenarioFlags) agentProgram(c *console, s *scenario.Scenario) (program string, remove func(), err error) {
	nothing := func() {}
	if f.AgentBinary != "" {
		program, err = executable(f.AgentBinary)
		return program, nothing, err
	}
	if s.Fleet.Real == 0 {
		return "", nothing, nil
	}
	root, err := findRepository()
	if err != nil {
		return "", nothing, usageError{fmt.Errorf("agent-binary: %w", err)}
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return "", nothing, fmt.Errorf("building the agent: %w", err)
	}
	remove = func() {
		if err := os.RemoveAll(dir); err != nil {
			c.log.Warn("agent program not removed", "dir", dir, "error", err)
		}
	}
	c.progress("builds the agent")
	program, err = run.Build(c.ctx, root, dir)
	if err != nil {
		remove()
		return "", nothing, err
	}
	return program, remove, nil
}

// executable is the absolute path of a program that a flag names.
func executable(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		return "", usageError{fmt.Errorf("agent-binary: %s is no program", path)}
	}
	return filepath.Abs(path)
}

// errNoRepository is why no agent can be built.
var errNoRepository = errors.New("must be given outside of the repository: there is no agent to build")

// findRepository is the directory of the module, looked for from the working directory upward.
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
