package realagent

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// buildFlags are those of deploy/balancer.toml, so that the measured agent is built like the deployed one.
var buildFlags = []string{"-buildvcs=false", "-trimpath", "-tags=nethttpomithttp2", "-ldflags=-linkmode=external"}

// Build builds the agent from the repository at root into the directory dir and returns the path of the binary. Its
// errors include the compiler's output.
func Build(ctx context.Context, root, dir string) (bin string, err error) {
	dir, err = filepath.Abs(dir)
	if err != nil {
		return "", fmt.Errorf("building the agent: %w", err)
	}
	bin = filepath.Join(dir, "agent")
	args := append([]string{"build"}, buildFlags...)
	cmd := exec.CommandContext(ctx, "go", append(args, "-o", bin, "./cmd/agent")...)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the agent: %w\n%s", err, output)
	}
	return bin, nil
}
