package simagent

import (
	"math/rand/v2"
	"time"

	"example.org/ryeloft/internal/scale/world"
)

// exponential returns an exponentially distributed random duration with the given mean.
func (s *shard) exponential(meanSeconds float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * meanSeconds * float64(time.Second))
}

// pickService returns the service of a root call, weighted by the calls' chances. u is uniform in [0, 1).
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

// bernoulli returns true with probability p. It consumes no random number if p >= 1.
func bernoulli(rng *rand.Rand, p float64) bool { return p >= 1 || rng.Float64() < p }
