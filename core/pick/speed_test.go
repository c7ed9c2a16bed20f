package pick

import (
	"fmt"
	"math"
	"testing"
	"time"

	"shallotcleat/core/speed"
)

// Engines of 0.7, 0.7 and 1.7 times the usual speed serve one service of deployment A, whose 25 gates have all just started. They must split
// the load in proportion to the speeds from their first second, when they have learned no ratios.
func TestNewGatesSplitLoadBySpeed(t *testing.T) {
	const target = 250 * time.Millisecond
	run := func(reportsSpeed bool) (fastShare, inTime float64) {
		sm := newSim(25, 9, 0.95)
		sm.reportsSpeed = reportsSpeed
		for i, en := range sm.engines {
			en.speed = []float64{0.7, 0.7, 1.7}[i%3]
		}
		sm.run(time.Second)
		total, fast := 0, 0
		for i, en := range sm.engines {
			total += sm.tokensByEngine[en.id]
			if i%3 == 2 {
				fast += sm.tokensByEngine[en.id]
			}
		}
		callCount := sm.callCount
		sm.demand = 0
		sm.run(2 * time.Second)
		sm.callCount = callCount
		return float64(fast) / float64(total), sm.fractionWithin(target)
	}
	without, inTimeWithout := run(false)
	with, inTimeWith := run(true)
	const fair = 1.7 / (0.7 + 0.7 + 1.7)
	t.Logf("load of the fast engines: %.3f with their speeds, %.3f without, %.3f in proportion; begun within %s: %.3f and %.3f",
		with, without, fair, target, inTimeWith, inTimeWithout)
	if math.Abs(with-fair) > 0.04 {
		t.Errorf("the fast engines got %.3f of the load, want about %.3f", with, fair)
	}
	if inTimeWith < inTimeWithout {
		t.Errorf("%.3f of the calls began in time, %.3f without the speeds", inTimeWith, inTimeWithout)
	}
}

// speedPicker returns a picker of three servers, of which the first two have estimates.
func speedPicker(now time.Time) *Picker {
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a", "a"))
	for i, rate := range []float64{40_000, 60_000} {
		pk.SetSpeed(now, fmt.Sprint("server-", i), "chat", speed.NewEstimate(rate, 0))
	}
	return pk
}

// rate returns the prefill rate that a picker assumes of a server.
func (pk *Picker) rate(now time.Time, id string) float64 {
	return pk.prefillRate(now, pk.view.Server(id), pk.state(id))
}

// An engine without an estimate has the median of its service, and without any the default. Tenders that send implausible estimates or stop
// sending must not change where calls go.
func TestServersWithoutEstimateHaveMedian(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := speedPicker(now)
	for _, es := range []speed.Estimate{speed.NewEstimate(math.NaN(), 0), speed.NewEstimate(1e12, 0), speed.NewEstimate(3, 0)} {
		if pk.SetSpeed(now, "server-2", "chat", es) {
			t.Errorf("estimate %+v was used", es)
		}
	}
	if got := pk.rate(now, "server-2"); got != 60_000 {
		t.Errorf("a server without an estimate has %.0f tokens per second, want the median of 60000", got)
	}
	if got := pk.rate(now, "server-0"); got != 40_000 {
		t.Errorf("a server has %.0f tokens per second, want its estimate of 40000", got)
	}
	later := now.Add(time.Minute)
	if got := pk.rate(later, "server-0"); got != defaultPrefillRate {
		t.Errorf("a server has %.0f tokens per second a minute after the last message of a tender, want the default", got)
	}
}

// The ratio corrects only what the estimate does not explain: a slowdown that was learned with the default rate must not be applied to the
// estimate again, one that was not learned remains 1, and a lost estimate leaves the expected times.
func TestSlowdownRefersToEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	pk.state("server-0").slowdown = 3
	pk.SetSpeed(now, "server-0", "chat", speed.NewEstimate(defaultPrefillRate/2, 0))
	pk.SetSpeed(now, "server-1", "chat", speed.NewEstimate(defaultPrefillRate/2, 0))
	pk.rate(now, "server-0")
	pk.rate(now, "server-1")
	if got := pk.states["server-0"].slowdown; got != 1.5 {
		t.Errorf("a learned slowdown of 3 became %.2f with an estimate of half the default, want 1.5", got)
	}
	if got := pk.states["server-1"].slowdown; got != 1 {
		t.Errorf("a slowdown that was not learned became %.2f, want 1", got)
	}
	hash := pk.view.Server("server-1").Hash()
	pk.states["server-1"].slowdownAt = now.Add(-time.Hour)
	pk.ApplySlowdowns(now, []Slowdown{NewSlowdown(hash, 2, 1000)})
	if got := pk.states["server-1"].slowdown; math.Abs(got-1) > 0.01 {
		t.Errorf("a peer's ratio of 2 to the default became %.2f to half the default, want 1", got)
	}
	later := now.Add(time.Minute)
	pk.rate(later, "server-0")
	if got := pk.states["server-0"].slowdown; got != 3 {
		t.Errorf("a slowdown became %.2f with the estimate lost, want 3", got)
	}
}
