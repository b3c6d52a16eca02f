// Package protocol names what the agent reads and writes on the wire between clients, itself and servers: headers, paths,
// statuses and the form of a time budget. It holds no state. The names on the wire are the protocol's; the names here are
// those of the field.
package protocol

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of a request.
const (
	HeaderRequestID      = "X-Call-Id"
	HeaderClass          = "X-Call-Class"
	HeaderTenant         = "X-Caller"
	HeaderBudget         = "X-Budget"
	HeaderRetry          = "X-Again" // 1: the client repeats a request
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers of a server's answer.
const (
	HeaderLoadReport = "X-Load-Report"
	HeaderRejected   = "X-Rejected" // 1: the request did not run
)

// Paths that are no request of a class.
const (
	PathReady = "/up"           // of the agent: whether it takes clients
	PathLive  = "/alive"        // of a server: whether it lives
	PathLoad  = "/metrics/load" // of a server: its load
)

// Statuses of the agent's own answers.
const (
	StatusRejected = http.StatusServiceUnavailable // the request did not run
	StatusFailed   = http.StatusBadGateway         // the request may have run
)

// MaxHeadBytes bounds the head of a request and that of an answer.
const MaxHeadBytes = 32 << 10

// maxBudget is the longest budget that a request may state.
const maxBudget = time.Hour

// ErrBadBudget says that a text is no time budget.
var ErrBadBudget = errors.New("not a time budget")

// ParseBudget reads a time such as 480m or 350000u: milliseconds or microseconds.
func ParseBudget(text string) (time.Duration, error) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	if !ok {
		return 0, fmt.Errorf("%q has no unit: %w", text, ErrBadBudget)
	}
	value, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, fmt.Errorf("%q has no number: %w", text, ErrBadBudget)
	}
	budget := value * float64(unit)
	if budget > 0 && budget <= float64(maxBudget) {
		return time.Duration(math.Round(budget)), nil
	}
	return 0, fmt.Errorf("%q is out of range: %w", text, ErrBadBudget)
}

// FormatBudget writes a budget in microseconds, one at least.
func FormatBudget(budget time.Duration) string {
	return fmt.Sprintf("%du", max(1, budget.Microseconds()))
}
