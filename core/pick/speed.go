package pick

import (
	"math"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/speed"
)

// minRateChange is the relative change of a server's prefill rate below which the previous one is kept, so that the slowdown does not
// refer to another rate with each message of a tender.
const minRateChange = 0.1

// SetSpeed records the speeds of a server that its tender estimated, and reports whether they are plausible and used.
func (pk *Picker) SetSpeed(now time.Time, id, service string, es speed.Estimate) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.speeds.Record(now, id, service, es)
}

// DecodeStep returns the time of a decode step of a server, or zero if unknown.
func (pk *Picker) DecodeStep(now time.Time, id string) time.Duration {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.speeds.Step(now, id)
}

// prefillRate returns the prompt tokens per second that a server is assumed to prefill: its tender's estimate, without one the median of its
// service, and without that the default. The caller holds mu.
func (pk *Picker) prefillRate(now time.Time, sv *fleet.Server, st *state) float64 {
	rate, source := pk.speeds.PrefillRate(now, sv.ID(), sv.Service())
	if source == speed.Unknown {
		rate = defaultPrefillRate
	}
	if source != st.rateSource || math.Abs(rate/st.prefillRate-1) > minRateChange {
		st.setPrefillRate(rate, source)
	}
	return st.prefillRate
}

// setPrefillRate changes the rate that the slowdown refers to. A better known rate takes from the slowdown only what it explains: a
// slowdown of 2 at twice the true rate becomes 1, and one of 1, which was not learned, remains. If the server's own estimate is lost, the
// expected times remain.
func (st *state) setPrefillRate(rate float64, source speed.Source) {
	factor := rate / st.prefillRate
	rescaled := min(max(st.slowdown*factor, minSlowdown), maxSlowdown)
	switch {
	case source < st.rateSource:
		st.slowdown = rescaled
	case st.slowdown > 1 && factor < 1:
		st.slowdown = max(rescaled, 1)
	case st.slowdown < 1 && factor > 1:
		st.slowdown = min(rescaled, 1)
	}
	st.prefillRate, st.rateSource = rate, source
}
