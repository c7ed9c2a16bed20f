package retry

import (
	"testing"
	"time"
)

// No window contains more retries than the budget allows, whatever the arrival pattern.
func TestWindowBudgetLimitsRetries(t *testing.T) {
	const (
		window    = 10 * time.Second
		ratio     = 0.2
		allowance = 8
		step      = 50 * time.Millisecond
	)
	wb := NewWindowBudget(window, ratio)
	now := time.Unix(1000, 0)
	type sample struct {
		at      time.Time
		firsts  int
		retries int
	}
	var samples []sample
	for i := range 1200 {
		now = now.Add(step)
		sm := sample{at: now}
		// Calls arrive for five seconds, then none for five; retries are requested all the time.
		if i/100%2 == 0 {
			sm.firsts = 3
			for range sm.firsts {
				wb.RecordFirst(now)
			}
		}
		for range 5 {
			if wb.Take(now, allowance) {
				sm.retries++
			}
		}
		samples = append(samples, sm)
	}
	for i := range samples {
		firsts, retries := 0, 0
		for _, sm := range samples[i:] {
			if sm.at.Sub(samples[i].at) >= window {
				break
			}
			firsts += sm.firsts
			retries += sm.retries
		}
		// First attempts of the preceding window also permit retries.
		earlierFirsts := 0
		for _, sm := range samples[:i] {
			if samples[i].at.Sub(sm.at) < window {
				earlierFirsts += sm.firsts
			}
		}
		if limit := ratio*float64(firsts+earlierFirsts) + allowance; float64(retries) > limit {
			t.Fatalf("%d retries in the window from %s, want at most %.0f", retries, samples[i].at, limit)
		}
	}
}

// Retries are permitted again once the window has passed. The times have a monotonic clock reading, as in production.
func TestWindowBudgetAllowsRetriesAfterWindow(t *testing.T) {
	wb := NewWindowBudget(time.Second, 0)
	now := time.Now()
	for i := range 3 {
		if got := wb.Take(now, 2); got != (i < 2) {
			t.Errorf("retry %d: allowed %t", i, got)
		}
	}
	if !wb.Take(now.Add(2*time.Second), 2) {
		t.Error("retry refused after the window has passed")
	}
}
