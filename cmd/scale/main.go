// Command scale plays a fleet of agents, hollow and real, on one machine and says what each role costs and how that grows.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"example.org/ryeloft/internal/scale/control"
	"example.org/ryeloft/internal/scale/result"
	"example.org/ryeloft/internal/scale/role"
	"example.org/ryeloft/internal/scale/run"
	"example.org/ryeloft/internal/scale/scenario"
	"example.org/ryeloft/internal/scale/simagent"
	"example.org/ryeloft/internal/scale/sweep"
)

// Exit codes: 0 all budgets held, 1 one did not or the run failed, 2 a flag or a file cannot be used.
const (
	exitFailed = 1
	exitUsage  = 2
)

// roles are the parts of a run that this program is when it finds role.Env set.
var roles = map[string]func() error{"control": control.Main, "relay": control.RelayMain, "hollow": simagent.Main}

func main() {
	if part := os.Getenv(role.Env); part != "" {
		os.Exit(runPart(part))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := runCommand(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// runPart is the whole program as a part. A terminal sends its interrupt to the parts as well; they end with their input,
// when the one that started them has gathered what there is.
func runPart(part string) int {
	signal.Ignore(syscall.SIGINT, syscall.SIGTERM)
	main, ok := roles[part]
	if !ok {
		fmt.Fprintf(os.Stderr, "scale: %s=%q is no part of a run\n", role.Env, part)
		return exitUsage
	}
	if err := main(); err != nil {
		fmt.Fprintf(os.Stderr, "scale: %s: %v\n", part, err)
		return exitFailed
	}
	return 0
}

// usageError is what a flag or a file of the caller's is to blame for; its text names the field.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// errOverBudget is a run whose text already says what did not hold.
var errOverBudget = errors.New("over budget")

type cli struct {
	Run     runCmd     `cmd:"" help:"Play one scenario and hold it against its budgets."`
	Sweep   sweepCmd   `cmd:"" help:"Play a scenario at several sizes and fit how each figure grows."`
	Metrics metricsCmd `cmd:"" name:"figures" help:"Let the figures of single runs join the figures file of a sweep."`
	Check   checkCmd   `cmd:"" help:"Say whether a scenario file can be played, without playing it."`

	Log   string `placeholder:"FILE" help:"Where the log goes, as JSON lines; standard error if absent."`
	Level string `enum:"debug,info,warn,error" default:"warn" help:"Least level of the log: debug, info, warn or error."`
}

// console are where a command writes.
type console struct {
	ctx         context.Context
	out, errOut io.Writer
	log         *slog.Logger
}

func (o *console) progress(text string) { fmt.Fprintln(o.errOut, time.Now().Format("15:04:05"), text) }

// runCommand is the whole program but for the process around it.
func runCommand(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("scale"), kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }),
		kong.Description("Plays a fleet of agents on this machine's loopback and says what each role costs."))
	if err != nil {
		fmt.Fprintln(errOut, "scale:", err)
		return exitUsage
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 { // help was asked for
		return exited
	}
	if err == nil {
		err = dispatch(ctx, parsed, &c, out, errOut)
	}
	var usage usageError
	var parse *kong.ParseError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errOverBudget):
		return exitFailed
	case errors.As(err, &usage), errors.As(err, &parse):
		fmt.Fprintln(errOut, "scale:", err)
		return exitUsage
	default:
		fmt.Fprintln(errOut, "scale:", err)
		return exitFailed
	}
}

func dispatch(ctx context.Context, parsed *kong.Context, c *cli, out, errOut io.Writer) error {
	to := errOut
	if c.Log != "" {
		f, err := os.Create(c.Log)
		if err != nil {
			return usageError{fmt.Errorf("log: %w", err)}
		}
		defer f.Close()
		to = f
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.Level)); err != nil {
		return usageError{fmt.Errorf("level: %w", err)}
	}
	log := slog.New(slog.NewJSONHandler(to, &slog.HandlerOptions{Level: level}))
	return parsed.Run(&console{ctx, out, errOut, log})
}

// scenarioFlags are the flags that take the place of what the scenario's file says.
type scenarioFlags struct {
	Scenario string `arg:"" help:"A scenario's TOML file."`

	Agents           *int     `placeholder:"N" help:"Agents in all, real ones among them; 0: one beside each server."`
	Real             *int     `placeholder:"N" help:"Agents that are real processes."`
	Servers          *int     `placeholder:"N" help:"Counter servers."`
	Services         *int     `placeholder:"N" help:"Services that the servers belong to."`
	Relays           *int     `placeholder:"N" help:"Relays of the list between control and the agents; 0: none."`
	Depth            *int     `placeholder:"N" help:"How deep calls go."`
	Seed             *uint64  `placeholder:"N" help:"What the world is drawn from."`
	Seconds          *float64 `placeholder:"S" help:"Length of the measured part."`
	CallsPerSecond   *float64 `placeholder:"X" help:"Calls a second of the fleet, at all depths."`
	ChangesPerMinute *float64 `placeholder:"X" help:"Changes of the configuration a minute."`
	AgentBinary      string   `placeholder:"PATH" help:"The real agents' program; built from this repository if absent."`
}

// load reads the scenario with the flags in place of its own figures.
func (z *scenarioFlags) load(o *console) (*scenario.Scenario, error) {
	s, err := scenario.Load(z.Scenario)
	if err != nil {
		return nil, usageError{err}
	}
	for _, note := range adjustToFlags(s, z) {
		o.progress(note)
	}
	err = s.Override(scenario.Overrides{
		Agents: z.Agents, Real: z.Real, Servers: z.Servers, Services: z.Services, Depth: z.Depth, Relays: z.Relays, Seed: z.Seed,
		Seconds: z.Seconds, ChangesPerMinute: z.ChangesPerMinute, CallsPerSecond: z.CallsPerSecond,
	})
	if err != nil {
		return nil, usageError{err}
	}
	if err := validate(s); err != nil {
		return nil, usageError{err}
	}
	return s, nil
}

// validate says what of a scenario cannot be played.
func validate(s *scenario.Scenario) error {
	if err := s.Validate(); err != nil {
		return err
	}
	return run.Check(s)
}

// agentProgram is the agent's program for a run, and what removes it afterwards.
func (z *scenarioFlags) agentProgram(o *console, s *scenario.Scenario) (bin string, remove func(), err error) {
	nothing := func() {}
	if z.AgentBinary != "" {
		info, err := os.Stat(z.AgentBinary)
		if err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return "", nothing, usageError{fmt.Errorf("agent-binary: %s is no program", z.AgentBinary)}
		}
		bin, err = filepath.Abs(z.AgentBinary)
		return bin, nothing, err
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
		return "", nothing, err
	}
	remove = func() { os.RemoveAll(dir) }
	o.progress("builds the agent")
	if bin, err = run.Build(o.ctx, root, dir); err != nil {
		remove()
		return "", nothing, err
	}
	return bin, remove, nil
}

// findRepository is the folder of the module, looked for from the present one upward.
func findRepository() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if text, err := os.ReadFile(filepath.Join(dir, "go.mod")); err == nil && strings.HasPrefix(string(text), "module example.org/ryeloft\n") {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			return "", errors.New("must be given outside of the repository: there is no agent to build")
		}
		dir = up
	}
}

type runCmd struct {
	scenarioFlags
	JSON string `name:"json" placeholder:"FILE" help:"Where the whole result goes, as JSON."`
}

func (c *runCmd) Run(o *console) error {
	s, err := c.load(o)
	if err != nil {
		return err
	}
	if err := checkWritable("json", c.JSON); err != nil {
		return err
	}
	bin, remove, err := c.agentProgram(o, s)
	if err != nil {
		return err
	}
	defer remove()
	r, err := run.Run(o.ctx, s, run.Options{AgentProgram: bin, Log: o.log, Progress: o.progress, Stderr: o.errOut})
	if r == nil {
		return err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, r); err != nil {
			return err
		}
	}
	if err := run.WriteText(o.out, r); err != nil {
		return err
	}
	if err == nil && len(run.Violations(r)) > 0 {
		return errOverBudget
	}
	return err
}

// checkWritable says before a run whether its file can be written, and leaves what is in it.
func checkWritable(field, path string) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return usageError{fmt.Errorf("%s: %w", field, err)}
	}
	return f.Close()
}

func writeJSON(path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

type sweepCmd struct {
	scenarioFlags
	Only   []string          `placeholder:"NAME,..." help:"Dimensions: servers, agents, changes, services, depth; all if absent."`
	Sizes  map[string]string `placeholder:"NAME=N,N,N,N;..." help:"Sizes of a dimension, four at least, such as agents=50,100,200,400."`
	Target string            `default:"deploy/scale/target.toml" help:"The scenario that the fits are held against."`
	Limit  time.Duration     `default:"15m" help:"Time for all plays together; sizes that are left then are named."`
	Add    map[string]string `placeholder:"NAME=FILE;..." help:"Results of single runs (run --json) whose figures join the file as run.NAME.FIGURE."`
	JSON   string            `name:"json" placeholder:"FILE" help:"Where the figures go, as JSON."`
	Text   string            `placeholder:"FILE" help:"Where the text goes; standard output if absent."`
	Runs   string            `placeholder:"FILE" help:"Where the whole results of all plays go, as JSON."`
}

func (c *sweepCmd) Run(o *console) error {
	base, err := c.load(o)
	if err != nil {
		return err
	}
	target, err := scenario.Load(c.Target)
	if err != nil {
		return usageError{fmt.Errorf("target: %w", err)}
	}
	sizes, err := parseSizes(c.Sizes)
	if err != nil {
		return usageError{err}
	}
	added, err := readRuns(c.Add)
	if err != nil {
		return usageError{err}
	}
	for field, path := range map[string]string{"json": c.JSON, "text": c.Text, "runs": c.Runs} {
		if err := checkWritable(field, path); err != nil {
			return err
		}
	}
	bin, remove, err := c.agentProgram(o, base)
	if err != nil {
		return err
	}
	defer remove()
	w, err := sweep.Run(o.ctx, base, sweep.Options{
		Only: c.Only, Sizes: sizes, Target: target, Limit: c.Limit, Check: validate, Progress: o.progress,
		Play: func(ctx context.Context, s *scenario.Scenario) (*result.Run, error) {
			return run.Run(ctx, s, run.Options{AgentProgram: bin, Log: o.log, Progress: func(string) {}, Stderr: o.errOut})
		},
	})
	if err != nil {
		return usageError{err}
	}
	return c.write(o, w, added)
}

// write writes all that a sweep gave. An interrupted one is an error, with what there is written.
func (c *sweepCmd) write(o *console, w *sweep.Sweep, added map[string]*result.Run) error {
	if c.JSON != "" {
		figures := w.Metrics()
		for name, r := range added {
			sweep.AddRun(figures, name, r)
		}
		if err := sweep.WriteMetrics(c.JSON, figures); err != nil {
			return err
		}
	}
	if c.Runs != "" {
		if err := writeJSON(c.Runs, w.Runs); err != nil {
			return err
		}
	}
	to := o.out
	if c.Text != "" {
		f, err := os.Create(c.Text)
		if err != nil {
			return err
		}
		defer f.Close()
		to = f
	}
	if err := w.WriteText(to); err != nil {
		return err
	}
	if len(w.Skipped) > 0 {
		return fmt.Errorf("the sweep is not whole: %s", strings.Join(w.Skipped, "; "))
	}
	return context.Cause(o.ctx)
}

func parseSizes(flags map[string]string) (map[string][]float64, error) {
	all := map[string][]float64{}
	for name, text := range flags {
		for _, field := range strings.Split(text, ",") {
			v, err := strconv.ParseFloat(field, 64)
			if err != nil {
				return nil, fmt.Errorf("sizes: %s: %q is no number", name, field)
			}
			all[name] = append(all[name], v)
		}
	}
	return all, nil
}

func readRuns(files map[string]string) (map[string]*result.Run, error) {
	all := map[string]*result.Run{}
	for name, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("add: %w", err)
		}
		r := &result.Run{}
		if err := json.Unmarshal(text, r); err != nil {
			return nil, fmt.Errorf("add: %s: %w", file, err)
		}
		all[name] = r
	}
	return all, nil
}

// metricsCmd adds to a figures file what single runs gave after its sweep.
type metricsCmd struct {
	File string            `arg:"" help:"A figures file, as sweep --json writes it."`
	Add  map[string]string `required:"" placeholder:"NAME=FILE;..." help:"Results of single runs (run --json) whose figures join the file as run.NAME.FIGURE; those that it has under a name go."`
}

func (c *metricsCmd) Run(o *console) error {
	all, err := sweep.ReadMetrics(c.File)
	if err != nil {
		return usageError{fmt.Errorf("file: %w", err)}
	}
	added, err := readRuns(c.Add)
	if err != nil {
		return usageError{err}
	}
	for name, r := range added {
		maps.DeleteFunc(all, func(key string, _ sweep.Metric) bool { return strings.HasPrefix(key, "run."+name+".") })
		sweep.AddRun(all, name, r)
	}
	if err := sweep.WriteMetrics(c.File, all); err != nil {
		return fmt.Errorf("file: %w", err)
	}
	fmt.Fprintf(o.out, "%s: %d figures, %d runs added\n", c.File, len(all), len(added))
	return nil
}

type checkCmd struct {
	File string `arg:"" help:"A scenario's TOML file."`
}

func (c *checkCmd) Run(o *console) error {
	z := scenarioFlags{Scenario: c.File}
	s, err := z.load(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(o.out, "%s: %d servers, %d agents (%d real), %d events in %g s: ok\n", c.File, s.Fleet.Servers, s.Agents(), s.Fleet.Real, len(s.Events), s.Seconds)
	return nil
}
