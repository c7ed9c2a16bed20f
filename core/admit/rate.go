package admit

import "time"

// Parameters of the rate estimate.
const (
	// sampleWeight is the weight of a new sample in the exponentially weighted moving average.
	sampleWeight = 0.2
	// estimateLifetime is the time without samples after which the advertised rate has fully replaced the smoothed rate,
	// so that a server that was slow is tried again.
	estimateLifetime = 20 * time.Second
	// minSampleTokens is the minimum number of tokens in a sample.
	minSampleTokens = 64
)

// PrefillRate estimates the prefill rate of a server in prompt tokens per second. It is not safe for concurrent use:
// the owner serializes calls.
type PrefillRate struct {
	advertised float64
	smoothed   float64
	observedAt time.Time
}

// SetAdvertised sets the rate that the server reports for itself, in tokens per second. Samples above it are capped to
// it.
func (rt *PrefillRate) SetAdvertised(rate float64) { rt.advertised = rate }

// Observe adds a sample: the server processed tokens prompt tokens in elapsed. Small samples are ignored.
func (rt *PrefillRate) Observe(now time.Time, tokens int, elapsed time.Duration) {
	if tokens < minSampleTokens || elapsed <= 0 {
		return
	}
	sample := float64(tokens) / elapsed.Seconds()
	if rt.advertised > 0 {
		sample = min(sample, rt.advertised)
	}
	old := rt.Estimate(now)
	if old <= 0 {
		old = sample
	}
	rt.smoothed = old*(1-sampleWeight) + sample*sampleWeight
	rt.observedAt = now
}

// Estimate returns the expected rate in tokens per second, or zero if none is known.
func (rt *PrefillRate) Estimate(now time.Time) float64 {
	if rt.smoothed <= 0 {
		return rt.advertised
	}
	age := min(float64(now.Sub(rt.observedAt))/float64(estimateLifetime), 1)
	return rt.smoothed*(1-age) + rt.advertised*age
}
