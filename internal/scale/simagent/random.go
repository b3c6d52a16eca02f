package simagent

import (
	"math/rand/v2"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// exponential draws a duration with a mean in seconds.
func (s *shard) exponential(meanSeconds float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * meanSeconds * float64(time.Second))
}

// pickService chooses the service of a root call by the calls' chances, u being uniform in [0, 1).
func pickService(u float64, calls []world.Call) int {
	sum := 0.0
	for _, c := range calls {
		sum += c.Chance
	}
	u *= sum
	for _, c := range calls {
		u -= c.Chance
		if u < 0 {
			return c.Service
		}
	}
	return calls[len(calls)-1].Service
}

// bernoulli draws whether something happens that has the chance p. A certain event draws nothing.
func bernoulli(rng *rand.Rand, p float64) bool { return p >= 1 || rng.Float64() < p }
