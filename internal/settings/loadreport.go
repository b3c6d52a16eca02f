package settings

import (
	"math"

	"example.org/ryeloft/internal/balancer"
)

// UnknownLoad returns a load report without any value.
func UnknownLoad() balancer.LoadReport {
	return balancer.LoadReport{InFlight: -1, Queue: -1, ServiceTime: -1}
}

// SetLoadField sets the value that the settings give a name to in a load report. What cannot be a value stays absent; a
// name without a use only makes the report known.
func SetLoadField(report *balancer.LoadReport, name string, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return
	}
	report.Known = true
	switch name {
	case "outstanding":
		report.InFlight = value
	case "backlog":
		report.Queue = value
	case "recent_ms":
		report.ServiceTime = Milliseconds(value)
	}
}
