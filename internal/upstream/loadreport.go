package upstream

import (
	"slices"
	"strconv"
	"strings"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// parseLoadReport reads a report such as inflight=7,queue=2. Names that the settings do not list, and what is no number, are
// left out: a bad report is an absent one.
func parseLoadReport(text string, fields []string) balancer.LoadReport {
	load := settings.UnknownLoad()
	for pair := range strings.SplitSeq(strings.TrimSpace(text), ",") {
		name, value, _ := strings.Cut(pair, "=")
		name = strings.TrimSpace(name)
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err == nil && slices.Contains(fields, name) {
			settings.SetLoadField(&load, name, number)
		}
	}
	return load
}
