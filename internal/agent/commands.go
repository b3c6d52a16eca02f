package agent

import (
	"fmt"
	"io"

	"example.org/ryeloft/internal/admin"
)

// commands returns the console commands by name.
func (a *agent) commands() map[string]admin.Command {
	return map[string]admin.Command{
		"check":     func(io.Writer) error { return a.clients.CheckReady() },
		"drain-on":  a.startDrain,
		"drain-off": func(io.Writer) error { return a.clients.StopDrain() },
		"vars":      a.writeMetrics,
	}
}

func (a *agent) startDrain(io.Writer) error {
	a.clients.StartDrain()
	return nil
}

func (a *agent) writeMetrics(w io.Writer) error {
	if err := a.metrics.WriteText(w); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, "eof")
	return err
}
