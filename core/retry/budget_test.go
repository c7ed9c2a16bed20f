package retry

import (
	"testing"
	"time"
)

// Retries add at most a tenth to the load, beside the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	bg := NewBudget()
	const tries = 10_000
	retries := 0
	for range tries {
		bg.RecordFirst()
		for bg.Take() {
			retries++
		}
	}
	if limit := int(tries*earned) + burst; retries > limit {
		t.Errorf("%d retries for %d tries, at most %d", retries, tries, limit)
	}
	if retries < tries*earned/2 {
		t.Errorf("only %d retries for %d tries", retries, tries)
	}
}

func TestBreaker(t *testing.T) {
	var br Breaker
	now := time.Unix(0, 0)
	for range tripFailures {
		if !br.Allow(now) {
			t.Fatal("refused before the failures")
		}
		br.Record(now, true)
	}
	if br.Allow(now) {
		t.Error("a call was let through at once after the failures")
	}
	now = now.Add(probePeriod)
	if first, second := br.Allow(now), br.Allow(now); !first || second {
		t.Errorf("one call should be let through after the period, and only one: %t, %t", first, second)
	}
	br.Record(now, false)
	for range 2 {
		if !br.Allow(now) {
			t.Error("calls are refused although the service is back")
		}
	}
}
