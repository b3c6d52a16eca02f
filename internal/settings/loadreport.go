package settings

import (
	"math"

	"example.org/ryeloft/internal/balancer"
)

// UnknownLoad returns a load report in which every value is absent.
func UnknownLoad() balancer.LoadReport {
	return balancer.LoadReport{InFlight: -1, Queue: -1, ServiceTime: -1}
}

// SetLoadField sets the field of report that has the given name in the settings. NaN, infinite and negative values are
// ignored. A valid value under an unused name only marks the report as known.
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
