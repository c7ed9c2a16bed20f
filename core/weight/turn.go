package weight

import "time"

// Shares of a service's engines that load weights at the same time.
const (
	// loadsPart is the part of the engines, as a divisor.
	loadsPart = 5
	leastLoad = 2
)

// Turns spreads the loads of a service's engines over time without a message between them: each engine has a rank, and a
// window in a cycle that begins when new weights are named. While more are named before the cycle has ended, it goes on, so
// that an engine whose window comes loads the newest ones only.
type Turns struct {
	begun time.Time
	cycle time.Duration
}

// Named notes that new weights were named. Engines is how many load by turns, and load how long one of them takes.
func (tn *Turns) Named(now time.Time, engines int, load time.Duration) {
	if !tn.begun.IsZero() && now.Sub(tn.begun) < tn.cycle {
		return
	}
	tn.begun = now
	tn.cycle = time.Duration(waves(engines)) * load
}

// Window returns when an engine that is behind since a time may load.
func (tn *Turns) Window(rank, engines int, load time.Duration, behind time.Time) time.Time {
	window := tn.begun.Add(time.Duration(rank/atOnce(engines)) * load)
	if tn.cycle <= 0 {
		return window
	}
	for window.Add(load).Before(behind) {
		window = window.Add(tn.cycle)
	}
	return window
}

// atOnce returns how many engines load at the same time.
func atOnce(engines int) int { return max(engines/loadsPart, leastLoad) }

func waves(engines int) int { return (engines + atOnce(engines) - 1) / atOnce(engines) }
