package main

import (
	"fmt"
	"maps"
	"strings"

	"example.org/ryeloft/internal/scale/sweep"
)

// metricsCmd adds the metrics of single runs to the metrics file of a sweep, as the command "figures".
type metricsCmd struct {
	File string            `arg:"" help:"A metrics file, as sweep --json writes it."`
	Add  map[string]string `required:"" placeholder:"NAME=FILE;..." help:"Results of single runs (run --json) whose metrics are added to the file as run.NAME.METRIC; existing metrics under NAME are replaced."`
}

// Run implements the command.
func (cmd *metricsCmd) Run(c *console) error {
	all, err := sweep.ReadMetrics(cmd.File)
	if err != nil {
		return usageError{fmt.Errorf("file: %w", err)}
	}
	added, err := readRuns(cmd.Add)
	if err != nil {
		return usageError{err}
	}
	for name, r := range added {
		maps.DeleteFunc(all, func(key string, _ sweep.Metric) bool { return strings.HasPrefix(key, "run."+name+".") })
		sweep.AddRun(all, name, r)
	}
	if err := sweep.WriteMetrics(cmd.File, all); err != nil {
		return fmt.Errorf("file: %w", err)
	}
	return c.printf("%s: %d figures, %d runs added\n", cmd.File, len(all), len(added))
}
