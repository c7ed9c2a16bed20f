package admit

import "time"

// Constants of the estimate.
const (
	// rateWeight is the part of a new measurement in the smoothed rate.
	rateWeight = 0.2
	// rateForget is the time in which a measured rate gives way to the claimed one without new measurements, so that a
	// server that was slow is tried again.
	rateForget = 20 * time.Second
	// leastSample is the fewest tokens from which a rate is measured.
	leastSample = 64
)

// Rate estimates how many prompt tokens a second a server computes; its owner serialises the calls.
type PrefillRate struct {
	claimed  float64
	measured float64
	at       time.Time
}

// SetClaimed notes the rate that the server says of itself.
func (rt *PrefillRate) SetAdvertised(rate float64) { rt.claimed = rate }

// Measure notes that the server computed some tokens in a time.
func (rt *PrefillRate) Observe(now time.Time, tokens int, elapsed time.Duration) {
	if tokens < leastSample || elapsed <= 0 {
		return
	}
	sample := float64(tokens) / elapsed.Seconds()
	if rt.claimed > 0 {
		sample = min(sample, rt.claimed)
	}
	old := rt.Estimate(now)
	if old <= 0 {
		old = sample
	}
	rt.measured = old*(1-rateWeight) + sample*rateWeight
	rt.at = now
}

// Now returns the rate to expect in tokens per second; zero means that none is known.
func (rt *PrefillRate) Estimate(now time.Time) float64 {
	if rt.measured <= 0 {
		return rt.claimed
	}
	age := min(float64(now.Sub(rt.at))/float64(rateForget), 1)
	return rt.measured*(1-age) + rt.claimed*age
}
