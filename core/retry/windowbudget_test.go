package retry

import (
	"testing"
	"time"
)

// In no window are there more repeats than the budget allows, however the calls come.
func TestWindowBoundsRepeats(t *testing.T) {
	const (
		span      = 10 * time.Second
		ratio     = 0.2
		allowance = 8
		step      = 50 * time.Millisecond
	)
	wd := NewWindowBudget(span, ratio)
	now := time.Unix(1000, 0)
	type moment struct {
		at      time.Time
		first   int
		repeats int
	}
	var moments []moment
	for i := range 1200 {
		now = now.Add(step)
		mo := moment{at: now}
		// Bursts of calls for five seconds, then silence for five; repeats are always asked for.
		if i/100%2 == 0 {
			mo.first = 3
			for range mo.first {
				wd.RecordFirst(now)
			}
		}
		for range 5 {
			if wd.Take(now, allowance) {
				mo.repeats++
			}
		}
		moments = append(moments, mo)
	}
	for i := range moments {
		first, repeats := 0, 0
		for _, mo := range moments[i:] {
			if mo.at.Sub(moments[i].at) >= span {
				break
			}
			first += mo.first
			repeats += mo.repeats
		}
		// First tries of the window before pay for repeats too.
		before := 0
		for _, mo := range moments[:i] {
			if moments[i].at.Sub(mo.at) < span {
				before += mo.first
			}
		}
		if limit := ratio*float64(first+before) + allowance; float64(repeats) > limit {
			t.Fatalf("%d repeats in the window from %s, at most %.0f", repeats, moments[i].at, limit)
		}
	}
}

// A clock that is set back or forth neither grants more nor blocks for good.
func TestWindowUsesSteadyTime(t *testing.T) {
	wd := NewWindowBudget(time.Second, 0)
	now := time.Now()
	for i := range 3 {
		if got := wd.Take(now, 2); got != (i < 2) {
			t.Errorf("repeat %d: granted %t", i, got)
		}
	}
	if !wd.Take(now.Add(2*time.Second), 2) {
		t.Error("nothing is granted after the window")
	}
}
