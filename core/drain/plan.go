package drain

import "time"

// Plan is the schedule of a graceful stop: until when requests are taken that may last longer than the process, and when those that still run are
// cut off.
type Plan struct {
	takeUntil time.Time
	cut       time.Time
}

// NewPlan returns the plan of a stop that began at a time.
func NewPlan(began time.Time, takeFor, cutAfter time.Duration) Plan {
	return Plan{takeUntil: began.Add(min(takeFor, cutAfter)), cut: began.Add(cutAfter)}
}

// Cut returns when running requests are cut off.
func (pl Plan) Cut() time.Time { return pl.cut }

// Takes reports whether a request may be passed on to a server: its deadline is before the cut, or it came while the load balancer may not know of the
// stop yet and is expected to be served before the cut. expected is zero if nothing is known of such requests.
func (pl Plan) Takes(now, deadline time.Time, expected time.Duration) bool {
	if !now.Before(pl.cut) {
		return false
	}
	if !deadline.After(pl.cut) {
		return true
	}
	return now.Before(pl.takeUntil) && !now.Add(expected).After(pl.cut)
}
