package pick

import (
	"math"
	"time"

	"shallotcleat/core/speed"
)

// Limits of a server's slowdown.
const (
	// meanWeight is the greatest weight of the latest call in a moving mean.
	meanWeight = 0.1
	// slowdownTimeConstant is the averaging time of the slowdown where calls are frequent.
	slowdownTimeConstant = 3 * time.Second
	minSlowdown          = 0.4
	maxSlowdown          = 5
)

// Slowdown is the mean ratio of the observed to the expected time to the first event of a server's calls that a process
// observed since its last report to the peers.
type Slowdown struct {
	server uint64
	ratio  float64
	calls  int
	// prefillRate is the rate with which the expected times were computed.
	prefillRate float64
}

// NewSlowdown returns a slowdown: the hash of the server's id, the mean ratio of the observed to the expected time to
// the first event, and the number of calls that were observed. The expected times are those of the default prefill rate.
func NewSlowdown(server uint64, ratio float64, calls int) Slowdown {
	return Slowdown{server: server, ratio: ratio, calls: calls, prefillRate: defaultPrefillRate}
}

// WithPrefillRate returns the slowdown with the prefill rate, in tokens per second, with which the expected times were computed. An
// implausible one stands for the default: processes of earlier versions send none.
func (sd Slowdown) WithPrefillRate(rate float64) Slowdown {
	if rate > 0 && speed.NewEstimate(rate, 0).IsPlausible() {
		sd.prefillRate = rate
	}
	return sd
}

// PrefillRate returns the prefill rate, in tokens per second, with which the expected times were computed.
func (sd Slowdown) PrefillRate() float64 { return sd.prefillRate }

// Server returns the hash of the server's id.
func (sd Slowdown) Server() uint64 { return sd.server }

// Ratio returns the mean ratio of the observed to the expected time to the first event.
func (sd Slowdown) Ratio() float64 { return sd.ratio }

// Calls returns the number of calls that were observed.
func (sd Slowdown) Calls() int { return sd.calls }

// slowdownSum is the sum of observed ratios that have not been sent to the peers yet.
type slowdownSum struct {
	sum   float64
	calls int
}

// observeSlowdown records the ratio of the observed to the expected time to a call's first event, also for the peers.
// The caller holds mu.
func (pk *Picker) observeSlowdown(now time.Time, id string, st *state, observed, expected time.Duration) {
	ratio := min(max(float64(observed)/float64(max(expected, time.Millisecond)), minSlowdown), maxSlowdown)
	st.updateSlowdown(now, ratio, 1)
	sum := pk.slowdowns[id]
	pk.slowdowns[id] = slowdownSum{sum: sum.sum + ratio, calls: sum.calls + 1}
}

// updateSlowdown adds the mean ratio of a number of calls to the moving mean. The more frequent the calls, the less each
// of them weighs.
func (st *state) updateSlowdown(now time.Time, ratio float64, calls int) {
	byCalls := 1 - math.Pow(1-meanWeight, float64(calls))
	byTime := 1 - math.Exp(-float64(now.Sub(st.slowdownAt))/float64(slowdownTimeConstant))
	st.slowdownAt = now
	st.slowdown += (ratio - st.slowdown) * min(byCalls, max(byTime, 0))
}

// TakeSlowdowns returns the slowdowns that were observed since the last call, for the peers. With many processes, one
// process sends too few calls to each server to estimate its slowdown alone.
func (pk *Picker) TakeSlowdowns() []Slowdown {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	var slowdowns []Slowdown
	for id, sum := range pk.slowdowns {
		if sv := pk.view.Server(id); sv != nil {
			slowdowns = append(slowdowns,
				NewSlowdown(sv.Hash(), sum.sum/float64(sum.calls), sum.calls).WithPrefillRate(pk.state(id).prefillRate))
		}
	}
	clear(pk.slowdowns)
	return slowdowns
}

// ApplySlowdowns adds the slowdowns that a peer observed. It ignores invalid ones and those of unknown servers.
func (pk *Picker) ApplySlowdowns(now time.Time, slowdowns []Slowdown) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, sd := range slowdowns {
		sv := pk.view.ByHash(sd.server)
		if sv == nil || sd.calls <= 0 || !(sd.ratio >= minSlowdown && sd.ratio <= maxSlowdown) {
			continue
		}
		st := pk.state(sv.ID())
		ratio := sd.ratio * pk.prefillRate(now, sv, st) / sd.prefillRate
		st.updateSlowdown(now, min(max(ratio, minSlowdown), maxSlowdown), sd.calls)
	}
}
