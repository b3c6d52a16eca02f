package upstream

import (
	"slices"
	"strconv"
	"strings"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/settings"
)

// parseLoadReport parses a report such as outstanding=7,backlog=2. Fields that are not in fields, and values that are
// not numbers, are ignored, so an invalid report is the same as none.
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
