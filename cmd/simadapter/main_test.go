package main

import (
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// asProgram makes the test binary run the program instead of the tests.
const asProgram = "SIMADAPTER_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// The simulator relies on one reply per batch on standard output, exit status 0 at the end of the input, and exit
// status 1 with one line on standard error after a malformed batch.
func TestExitStatus(t *testing.T) {
	const batch = "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
	const reply = "\x00\x00\x00\x01\x00\x00\x00\x00"
	for name, c := range map[string]struct {
		input, output, stderr string
		status                int
	}{
		"empty":     {"", "", "", 0},
		"one batch": {batch, reply, "", 0},
		"truncated": {batch + "\x00", reply, "simadapter: batch 2, offset 20: truncated header\n", 1},
	} {
		cmd := exec.CommandContext(t.Context(), os.Args[0])
		cmd.Env = append(os.Environ(), asProgram+"=1")
		cmd.Stdin = strings.NewReader(c.input)
		var stderr strings.Builder
		cmd.Stderr = &stderr
		output, err := cmd.Output()
		status := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			status = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if status != c.status || string(output) != c.output || stderr.String() != c.stderr {
			t.Errorf("%s: got status %d, output %x, stderr %q; want status %d, output %x, stderr %q",
				name, status, output, stderr.String(), c.status, c.output, c.stderr)
		}
	}
}
