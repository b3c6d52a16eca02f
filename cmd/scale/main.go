// Command scale runs a fleet of simulated and real agents on one machine and reports the cost of each role and how it
// grows. It starts the other processes of a run from the same program, with the role in the environment.
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

// These are the exit codes. 0 means that all budgets are met.
const (
	exitFailed = 1 // a budget is exceeded or the run failed
	exitUsage  = 2 // a flag or file is invalid
)

// roleMains maps each role to the main function of its process. The role is set in role.Env.
var roleMains = map[string]func() error{
	role.Control:         control.Main,
	role.Relay:           control.RelayMain,
	role.SimulatedAgents: simagent.Main,
}

func main() {
	if name := os.Getenv(role.Env); name != "" {
		os.Exit(runRole(name))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := runCommand(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// runRole runs the process of a role and returns the exit code. It ignores the interrupt that a terminal sends to all
// processes: the process ends when its standard input is closed, after its parent has collected the results.
func runRole(name string) int {
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM)
	roleMain, known := roleMains[name]
	if !known {
		fmt.Fprintf(os.Stderr, "scale: %s=%q is not a role\n", role.Env, name)
		return exitUsage
	}
	if err := roleMain(); err != nil {
		fmt.Fprintf(os.Stderr, "scale: %s: %v\n", name, err)
		return exitFailed
	}
	return 0
}

// usageError is an error in the user's flags or files. Its text names the field.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errOverBudget is returned by a run whose printed text already names the exceeded budgets.
var errOverBudget = errors.New("over budget")

// cli is the command line.
type cli struct {
	Run     runCmd     `cmd:"" help:"Run one scenario and check its budgets."`
	Sweep   sweepCmd   `cmd:"" help:"Run a scenario at several sizes and fit the growth of each metric."`
	Metrics metricsCmd `cmd:"" name:"figures" help:"Add the metrics of single runs to the metrics file of a sweep."`
	Check   checkCmd   `cmd:"" help:"Check whether a scenario file is valid, without running it."`

	Log   string `placeholder:"FILE" help:"File for the log, as JSON lines; standard error if absent."`
	Level string `enum:"debug,info,warn,error" default:"warn" help:"Minimum level of log lines: debug, info, warn or error."`
}

// console holds a command's outputs and its context.
type console struct {
	ctx         context.Context // is cancelled on SIGINT and SIGTERM
	out, errOut io.Writer
	log         *slog.Logger
}

// progress prints a progress message with the time.
func (c *console) progress(text string) {
	_, _ = fmt.Fprintln(c.errOut, time.Now().Format("15:04:05"), text) // a failed write must not end the run
}

// printf prints a command's result.
func (c *console) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(c.out, format, args...)
	return err
}

// runCommand parses the arguments, runs the command and returns the exit code.
func runCommand(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	helpExit := -1
	parser, err := kong.New(&c, kong.Name("scale"), kong.Writers(out, errOut), kong.Exit(func(code int) { helpExit = code }),
		kong.Description("Runs a fleet of agents on this machine's loopback interface and reports the cost of each role."))
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

// report prints an error, except errOverBudget, and returns the exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return 0
	}
	if errors.Is(err, errOverBudget) {
		return exitFailed
	}
	_, _ = fmt.Fprintln(errOut, "scale:", err) // the exit code reports the failure
	var usage usageError
	var parse *kong.ParseError
	if errors.As(err, &usage) || errors.As(err, &parse) {
		return exitUsage
	}
	return exitFailed
}

// dispatch opens the log and runs the parsed command.
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
