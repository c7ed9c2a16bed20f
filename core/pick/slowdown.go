package pick

import (
	"math"
	"time"
)

// Limits of a server's pace.
const (
	// paceWeight is the greatest part of a mean that one more call makes up.
	paceWeight = 0.1
	// paceTime is the time over which a pace is averaged where calls are frequent.
	paceTime  = 3 * time.Second
	leastPace = 0.4
	mostPace  = 5
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
func (pc Slowdown) Server() uint64 { return pc.server }

// Ratio returns the mean ratio of the time to the first event to the expected one.
func (pc Slowdown) Ratio() float64 { return pc.ratio }

// Calls returns the number of calls.
func (pc Slowdown) Calls() int { return pc.calls }

// paceSum adds up the ratios that others have not been told yet.
type paceSum struct {
	sum   float64
	calls int
}

// observe takes the time to a call's first event, and the one that was expected; the caller holds mu.
func (pk *Picker) observe(now time.Time, id string, st *state, took, expected time.Duration) {
	ratio := min(max(float64(took)/float64(max(expected, time.Millisecond)), leastPace), mostPace)
	st.observe(now, ratio, 1)
	sum := pk.paces[id]
	pk.paces[id] = paceSum{sum: sum.sum + ratio, calls: sum.calls + 1}
}

// observe takes the mean ratio of some calls. The more often calls are seen the less each of them counts.
func (st *state) observe(now time.Time, ratio float64, calls int) {
	byCalls := 1 - math.Pow(1-paceWeight, float64(calls))
	byTime := 1 - math.Exp(-float64(now.Sub(st.pacedAt))/float64(paceTime))
	st.pacedAt = now
	st.pace += (ratio - st.pace) * min(byCalls, max(byTime, 0))
}

// TakePaces returns the paces that other processes should be told since the last call. One process sends too few calls to each
// server to know its pace by itself when there are many processes.
func (pk *Picker) TakeSlowdowns() []Slowdown {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	var paces []Slowdown
	for id, sum := range pk.paces {
		if sv := pk.view.Server(id); sv != nil {
			paces = append(paces, NewSlowdown(sv.Hash(), sum.sum/float64(sum.calls), sum.calls))
		}
	}
	clear(pk.paces)
	return paces
}

// HearPaces takes the paces that another process saw.
func (pk *Picker) ApplySlowdowns(now time.Time, paces []Slowdown) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, pc := range paces {
		sv := pk.view.ByHash(pc.server)
		if sv == nil || pc.calls <= 0 || !(pc.ratio >= leastPace && pc.ratio <= mostPace) {
			continue
		}
		pk.state(sv.ID()).observe(now, pc.ratio, pc.calls)
	}
}
