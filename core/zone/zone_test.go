package zone

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// loadWith returns the load of a zone with servers of 32 slots, each with running calls and a wait.
func loadWith(zone string, servers, running int, wait time.Duration) Load {
	ld := NewLoad(zone)
	for range servers {
		ld.Add(32, running, wait, 1, 1)
	}
	return ld
}

// steps makes steps under constant loads and returns the last share.
func steps(dc *Decider, now *time.Time, count int, loads ...Load) Share {
	var sh Share
	for range count {
		*now = now.Add(interval)
		sh = dc.Update(*now, loads, MinHopCost)
	}
	return sh
}

// The share must rise within the 2 to 3 s in which a peak builds up, in bounded steps, and fall more slowly to exactly zero.
func TestShareFollowsPeakInBoundedSteps(t *testing.T) {
	now, dc := time.Unix(1000, 0), NewDecider("a")
	idle := loadWith("b", 17, 4, 5*time.Millisecond)
	busy := loadWith("a", 17, 20, 217*time.Millisecond)
	last := 0.0
	for i := range 20 {
		f := steps(dc, &now, 1, busy, idle).Fraction()
		if f < last || f > last+maxRise+1e-9 {
			t.Fatalf("step %d: the share went from %.2f to %.2f", i, last, f)
		}
		last = f
	}
	if math.Abs(last-0.8) > 0.05 {
		t.Errorf("share after 2 s: got %.2f, want 0.8", last)
	}
	for i := range 50 {
		f := steps(dc, &now, 1, loadWith("a", 17, 4, 5*time.Millisecond), idle).Fraction()
		if f > last || f < last-maxFall-1e-9 {
			t.Fatalf("falling step %d: the share went from %.2f to %.2f", i, last, f)
		}
		last = f
	}
	if last != 0 {
		t.Errorf("share 5 s after the peak: got %.2f, want 0", last)
	}
}

// Small changes of the loads, as they occur by chance, must not move the share.
func TestShareIgnoresSmallChanges(t *testing.T) {
	now, dc := time.Unix(1000, 0), NewDecider("a")
	idle := loadWith("b", 17, 4, 0)
	want := steps(dc, &now, 30, loadWith("a", 17, 20, 112*time.Millisecond), idle).Fraction()
	for i := range 40 {
		wait := 112*time.Millisecond - time.Duration(i%2)*8*time.Millisecond
		if got := steps(dc, &now, 1, loadWith("a", 17, 20, wait), idle).Fraction(); got != want {
			t.Fatalf("the share went from %.3f to %.3f for a wait of %s", want, got, wait)
		}
	}
}

// Gates step at the same times, but one may have no calls for a while. It must have the share of the others at its next call.
func TestGateWithoutCallsCatchesUp(t *testing.T) {
	now := time.Unix(1000, 0)
	busy, idle := loadWith("a", 17, 20, 200*time.Millisecond), loadWith("b", 17, 4, 0)
	often, rarely := NewDecider("a"), NewDecider("a")
	steps(often, &now, 1, busy, idle)
	rarely.Update(now, []Load{busy, idle}, MinHopCost)
	want := steps(often, &now, 7, busy, idle)
	if rarely.IsDue(now) == false {
		t.Fatal("no step is due after 700 ms")
	}
	if got := rarely.Update(now, []Load{busy, idle}, MinHopCost); math.Abs(got.Fraction()-want.Fraction()) > 1e-9 {
		t.Errorf("share: got %.2f, want %.2f as at the other gates", got.Fraction(), want.Fraction())
	}
	if rarely.IsDue(now) {
		t.Error("a second step is due at the same time")
	}
}

// What is decided in states that a single step must answer: who has servers, reports and free capacity.
func TestReasons(t *testing.T) {
	unreported := NewLoad("a")
	for range 17 {
		unreported.AddUnreported()
	}
	unreportedOther := unreported
	unreportedOther.zone = "b"
	busy := loadWith("a", 17, 30, 300*time.Millisecond)
	tests := []struct {
		name     string
		loads    []Load
		reason   Reason
		fraction float64
	}{
		{name: "enough", loads: []Load{loadWith("a", 17, 4, 10*time.Millisecond), loadWith("b", 17, 4, 0)}, reason: Enough},
		{name: "busy", loads: []Load{busy, loadWith("b", 17, 4, 0)}, reason: Wait, fraction: maxRise},
		{name: "all slots taken elsewhere", loads: []Load{busy, loadWith("b", 17, 32, 0)}, reason: NothingFree},
		{name: "others wait too", loads: []Load{busy, loadWith("b", 17, 10, maxGuestWait)}, reason: NothingFree},
		{name: "no reports", loads: []Load{unreported, loadWith("b", 17, 4, 0)}, reason: Unknown},
		{name: "no reports elsewhere", loads: []Load{busy, unreportedOther}, reason: NothingFree},
		{name: "no server", loads: []Load{loadWith("b", 17, 4, 0)}, reason: NoServer, fraction: 1},
		{name: "no server, others full", loads: []Load{loadWith("b", 17, 32, time.Second)}, reason: NoServer, fraction: 1},
		{name: "no server anywhere", reason: NothingFree},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			sh := steps(NewDecider("a"), &now, 1, tt.loads...)
			if sh.Reason() != tt.reason || sh.Fraction() != tt.fraction {
				t.Errorf("got %q and %.2f, want %q and %.2f", sh.Reason(), sh.Fraction(), tt.reason, tt.fraction)
			}
		})
	}
}

// When other zones fill up, the share must shrink in proportion to what is free instead of switching off.
func TestShareShrinksAsOthersFill(t *testing.T) {
	busy, last := loadWith("a", 17, 30, time.Second), 1.0
	for running := 14; running < 24; running++ {
		now, dc := time.Unix(1000, 0), NewDecider("a")
		f := steps(dc, &now, 400, busy, loadWith("b", 17, running, 0)).Fraction()
		if f > last+riseMargin || f < last-0.25 {
			t.Errorf("share with %d calls at each server elsewhere: %.2f after %.2f", running, f, last)
		}
		last = f
	}
	if last > 0.2 {
		t.Errorf("share with 23 of 24 slots taken: %.2f", last)
	}
}

// Calls are spread over the zones in proportion to what is free; calls with the same prefix go to one zone.
func TestDestinations(t *testing.T) {
	now, dc := time.Unix(1000, 0), NewDecider("a")
	sh := steps(dc, &now, 10, loadWith("a", 17, 20, 300*time.Millisecond), loadWith("b", 5, 4, 0), loadWith("c", 15, 4, 0))
	anywhere := func(string) bool { return true }
	byNumber, byKey := make(map[string]int), make(map[string]int)
	const calls = 4000
	for i := range calls {
		byNumber[sh.Destination((float64(i)+0.5)/calls, 0, anywhere)]++
		byKey[sh.Destination(0.5, uint64(i)*0x9E3779B97F4A7C15+1, anywhere)]++
	}
	for name, counts := range map[string]map[string]int{"number": byNumber, "key": byKey} {
		if got := float64(counts["c"]) / calls; math.Abs(got-0.75) > 0.03 {
			t.Errorf("by %s, %.2f of the calls go to the zone with 0.75 of the free capacity", name, got)
		}
	}
	if first, second := sh.Destination(0.1, 77, anywhere), sh.Destination(0.9, 77, anywhere); first != second {
		t.Errorf("calls with the same prefix go to %s and %s", first, second)
	}
	if got := sh.Destination(0.5, 0, func(zone string) bool { return zone == "b" }); got != "b" {
		t.Errorf("with only b allowed: %q", got)
	}
	if got := sh.Destination(0.5, 0, func(string) bool { return false }); got != "" {
		t.Errorf("with no zone allowed: %q", got)
	}
}

// Calls that lose no cached prefix leave first, and the whole share is kept.
func TestSplit(t *testing.T) {
	for _, tt := range []struct{ share, portable, ofPortable, ofOthers float64 }{
		{0.2, 0.5, 0.4, 0},
		{0.6, 0.5, 1, 0.2},
		{1, 0.3, 1, 1},
		{0.3, 0, 0.3, 0.3},
		{0.3, 1, 0.3, 0},
		{0, 0.4, 0, 0},
	} {
		t.Run(fmt.Sprint(tt.share, "-", tt.portable), func(t *testing.T) {
			ofPortable, ofOthers := Split(tt.share, tt.portable)
			if math.Abs(ofPortable-tt.ofPortable) > 1e-9 || math.Abs(ofOthers-tt.ofOthers) > 1e-9 {
				t.Errorf("got %.2f and %.2f, want %.2f and %.2f", ofPortable, ofOthers, tt.ofPortable, tt.ofOthers)
			}
		})
	}
}

// Without settings a hop costs what it always did; latency and bytes count only beyond that.
func TestHopCost(t *testing.T) {
	if got := (Price{}).Hop(1e9); got != MinHopCost {
		t.Errorf("hop without prices: %s", got)
	}
	pr := NewPrice(500*time.Microsecond, 100*time.Millisecond)
	if got := pr.Hop(50_000); got != MinHopCost {
		t.Errorf("hop of 50 KB at 100 ms per MB: got %s, want the minimum", got)
	}
	if got, want := pr.Hop(500_000), 51*time.Millisecond; got != want {
		t.Errorf("hop of 500 KB at 100 ms per MB: got %s, want %s", got, want)
	}
}

// A share that moves all the time must not flood the log, and the loss of a zone must not wait for the next line.
func TestReportsOfChangesAreBounded(t *testing.T) {
	now, cs := time.Unix(1000, 0), NewChanges()
	if cs.Notable(now, "chat", Share{reason: Enough}) {
		t.Error("a share of zero was reported at the start")
	}
	reports := 0
	for i := range 100 {
		if cs.Notable(now.Add(time.Duration(i)*100*time.Millisecond), "chat", Share{fraction: float64(1+i%9) / 10, reason: Wait}) {
			reports++
		}
	}
	if reports < 2 || reports > 5 {
		t.Errorf("%d reports within 10 s, want at most one in 2 s", reports)
	}
	now = now.Add(10 * time.Second)
	cs.Notable(now, "chat", Share{fraction: 0.2, reason: Wait})
	if !cs.Notable(now.Add(time.Millisecond), "chat", Share{fraction: 1, reason: NoServer}) {
		t.Error("the loss of the zone's servers was not reported at once")
	}
	cs.Retain(nil)
	if len(cs.reported) != 0 {
		t.Error("a service that is gone was kept")
	}
}

// The only server of a small service is in backoff for half a second after one failed connection. Its calls must not stay away for seconds then.
// After a long loss they return in steps, but at once where no reports tell whether the servers can take them.
func TestShareAfterLoss(t *testing.T) {
	other := loadWith("b", 1, 0, 0)
	unreported := NewLoad("a")
	unreported.AddUnreported()
	for _, tt := range []struct {
		name  string
		steps int
		back  Load
		want  float64
	}{
		{"brief", 5, loadWith("a", 1, 0, 0), 0},
		{"long", 40, loadWith("a", 1, 0, 0), 1 - maxFall},
		{"long, without reports", 40, unreported, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now, dc := time.Unix(1000, 0), NewDecider("a")
			steps(dc, &now, 5, loadWith("a", 1, 0, 0), other)
			if got := steps(dc, &now, tt.steps, other); got.Fraction() != 1 {
				t.Fatalf("share without a server: %.2f", got.Fraction())
			}
			if got := steps(dc, &now, 1, tt.back, other); math.Abs(got.Fraction()-tt.want) > 1e-9 {
				t.Errorf("share after the first step: got %.2f, want %.2f", got.Fraction(), tt.want)
			}
		})
	}
}
