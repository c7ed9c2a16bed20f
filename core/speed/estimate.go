package speed

import "time"

// Bounds of plausible estimates. Known engines prefill 40,000 to 145,000 tokens per second and take 2 to 6 ms for a step; they run up to
// 2.5 times slower in noisy periods.
const (
	minPrefillRate = 2_000
	maxPrefillRate = 2_000_000
	minStep        = 100 * time.Microsecond
	maxStep        = 500 * time.Millisecond
)

// Estimate holds the estimated speeds of an engine.
type Estimate struct {
	prefillRate float64
	step        time.Duration
}

// NewEstimate returns an estimate: prompt tokens prefilled per second and the time of a decode step, each zero if unknown.
func NewEstimate(prefillRate float64, step time.Duration) Estimate {
	return Estimate{prefillRate: prefillRate, step: step}
}

// PrefillRate returns the prompt tokens that the engine prefills per second, decode steps in between included, or zero if unknown.
func (es Estimate) PrefillRate() float64 { return es.prefillRate }

// Step returns the time of a decode step while the engine does not prefill, or zero if unknown.
func (es Estimate) Step() time.Duration { return es.step }

// IsPlausible reports whether each speed is unknown or within its bounds.
func (es Estimate) IsPlausible() bool {
	return (es.prefillRate == 0 || isPlausibleRate(es.prefillRate)) && (es.step == 0 || isPlausibleStep(es.step))
}

// isPlausibleRate is false for NaN.
func isPlausibleRate(rate float64) bool { return rate >= minPrefillRate && rate <= maxPrefillRate }

func isPlausibleStep(step time.Duration) bool { return step >= minStep && step <= maxStep }
