// Command scale plays a fleet of agents, simulated and real, on one machine and reports what each role costs and how that
// grows. It is also each of the parts of a run, which it starts as processes of their own.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/simagent"
)

// Exit codes: 0 all budgets held, 1 one did not or the run failed, 2 a flag or a file cannot be used.
const (
	exitFailed = 1
	exitUsage  = 2
)

// parts are the parts of a run that this program is when it finds role.Env set.
var parts = map[string]func() error{
	role.Control:         control.Main,
	role.Relay:           control.RelayMain,
	role.SimulatedAgents: simagent.Main,
}

func main() {
	if part := os.Getenv(role.Env); part != "" {
		os.Exit(runPart(part))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := runCommand(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// runPart is the whole program as a part. It ignores a terminal's interrupt, which comes to parts as well: they end with
// their input, once their starter has collected the results.
func runPart(part string) int {
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM)
	partMain, known := parts[part]
	if !known {
		fmt.Fprintf(os.Stderr, "scale: %s=%q is no part of a run\n", role.Env, part)
		return exitUsage
	}
	if err := partMain(); err != nil {
		fmt.Fprintf(os.Stderr, "scale: %s: %v\n", part, err)
		return exitFailed
	}
	return 0
}

// usageError is an error of the caller's flags or files; its text names the field.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errOverBudget is a run whose text already says what did not hold.
var errOverBudget = errors.New("over budget")

// cli is the command line.
type cli struct {
	Run     runCmd     `cmd:"" help:"Play one scenario and hold it against its budgets."`
	Sweep   sweepCmd   `cmd:"" help:"Play a scenario at several sizes and fit how each figure grows."`
	Metrics metricsCmd `cmd:"" name:"figures" help:"Let the figures of single runs join the figures file of a sweep."`
	Check   checkCmd   `cmd:"" help:"Say whether a scenario file can be played, without playing it."`

	Log   string `placeholder:"FILE" help:"Where the log goes, as JSON lines; standard error if absent."`
	Level string `enum:"debug,info,warn,error" default:"warn" help:"Least level of the log: debug, info, warn or error."`
}

// console is where a command writes, and what ends it.
type console struct {
	ctx         context.Context
	out, errOut io.Writer
	log         *slog.Logger
}

// progress tells a person what goes on.
func (c *console) progress(text string) {
	_, _ = fmt.Fprintln(c.errOut, time.Now().Format("15:04:05"), text) // the run is worth more than its progress lines
}

// printf writes a command's result.
func (c *console) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(c.out, format, args...)
	return err
}

// runCommand is the whole program but for the process around it. It returns the exit code.
func runCommand(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	helpExit := -1
	parser, err := kong.New(&c, kong.Name("scale"), kong.Writers(out, errOut), kong.Exit(func(code int) { helpExit = code }),
		kong.Description("Plays a fleet of agents on this machine's loopback and says what each role costs."))
	if err != nil {
		return report(errOut, usageError{err})
	}
	parsed, err := parser.Parse(args)
	if helpExit >= 0 {
		return helpExit
	}
	if err == nil {
		err = dispatch(ctx, parsed, &c, out, errOut)
	}
	return report(errOut, err)
}

// report prints an error, unless the command's text already says it, and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return 0
	}
	if errors.Is(err, errOverBudget) {
		return exitFailed
	}
	_, _ = fmt.Fprintln(errOut, "scale:", err) // the exit code says that it failed
	var usage usageError
	var parse *kong.ParseError
	if errors.As(err, &usage) || errors.As(err, &parse) {
		return exitUsage
	}
	return exitFailed
}

// dispatch opens the log and runs the command that was parsed.
func dispatch(ctx context.Context, parsed *kong.Context, c *cli, out, errOut io.Writer) (err error) {
	logTo := errOut
	if c.Log != "" {
		file, createErr := os.Create(c.Log)
		if createErr != nil {
			return usageError{fmt.Errorf("log: %w", createErr)}
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		logTo = file
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return usageError{fmt.Errorf("level: %w", err)}
	}
	log := slog.New(slog.NewJSONHandler(logTo, &slog.HandlerOptions{Level: level}))
	return parsed.Run(&console{ctx: ctx, out: out, errOut: errOut, log: log})
}
