package pick

import (
	"math"
	"time"
)

// Limits of a server's pace.
const (
	// paceWeight is the greatest part of a mean that one more call makes up.
	meanWeight = 0.1
	// paceTime is the time over which a pace is averaged where calls are frequent.
	slowdownTimeConstant = 3 * time.Second
	minSlowdown          = 0.4
	maxSlowdown          = 5
)

// Pace is what a process saw of a server's pace since it last told others.
type Slowdown struct {
	server uint64
	ratio  float64
	calls  int
}

// NewPace returns a pace: the hash of the server's id, the mean ratio of the time to the first event to the expected one, and the
// number of calls that it was seen with.
func NewSlowdown(server uint64, ratio float64, calls int) Slowdown {
	return Slowdown{server: server, ratio: ratio, calls: calls}
}

// Server returns the hash of the server's id.
func (sd Slowdown) Server() uint64 { return sd.server }

// Ratio returns the mean ratio of the time to the first event to the expected one.
func (sd Slowdown) Ratio() float64 { return sd.ratio }

// Calls returns the number of calls.
func (sd Slowdown) Calls() int { return sd.calls }

// paceSum adds up the ratios that others have not been told yet.
type slowdownSum struct {
	sum   float64
	calls int
}

// observe takes the time to a call's first event, and the one that was expected; the caller holds mu.
func (pk *Picker) observeSlowdown(now time.Time, id string, st *state, observed, expected time.Duration) {
	ratio := min(max(float64(observed)/float64(max(expected, time.Millisecond)), minSlowdown), maxSlowdown)
	st.updateSlowdown(now, ratio, 1)
	sum := pk.slowdowns[id]
	pk.slowdowns[id] = slowdownSum{sum: sum.sum + ratio, calls: sum.calls + 1}
}

// observe takes the mean ratio of some calls. The more often calls are seen the less each of them counts.
func (st *state) updateSlowdown(now time.Time, ratio float64, calls int) {
	byCalls := 1 - math.Pow(1-meanWeight, float64(calls))
	byTime := 1 - math.Exp(-float64(now.Sub(st.slowdownAt))/float64(slowdownTimeConstant))
	st.slowdownAt = now
	st.slowdown += (ratio - st.slowdown) * min(byCalls, max(byTime, 0))
}

// TakePaces returns the paces that other processes should be told since the last call. One process sends too few calls to each
// server to know its pace by itself when there are many processes.
func (pk *Picker) TakeSlowdowns() []Slowdown {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	var slowdowns []Slowdown
	for id, sum := range pk.slowdowns {
		if sv := pk.view.Server(id); sv != nil {
			slowdowns = append(slowdowns, NewSlowdown(sv.Hash(), sum.sum/float64(sum.calls), sum.calls))
		}
	}
	clear(pk.slowdowns)
	return slowdowns
}

// HearPaces takes the paces that another process saw.
func (pk *Picker) ApplySlowdowns(now time.Time, slowdowns []Slowdown) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, sd := range slowdowns {
		sv := pk.view.ByHash(sd.server)
		if sv == nil || sd.calls <= 0 || !(sd.ratio >= minSlowdown && sd.ratio <= maxSlowdown) {
			continue
		}
		pk.state(sv.ID()).updateSlowdown(now, sd.ratio, sd.calls)
	}
}
