package retry

import (
	"testing"
	"time"
)

// Retries exceed a tenth of the first attempts by at most the initial tokens.
func TestBudgetLimitsRetries(t *testing.T) {
	bg := NewBudget()
	const firsts = 10_000
	retries := 0
	for range firsts {
		bg.RecordFirst()
		for bg.Take() {
			retries++
		}
	}
	if limit := int(firsts*tokensPerFirst) + maxTokens; retries > limit {
		t.Errorf("%d retries for %d first attempts, want at most %d", retries, firsts, limit)
	}
	if retries < firsts*tokensPerFirst/2 {
		t.Errorf("%d retries for %d first attempts, want at least half of the allowed number", retries, firsts)
	}
}

func TestBreaker(t *testing.T) {
	var br Breaker
	now := time.Unix(0, 0)
	for range failureThreshold {
		if !br.Allow(now) {
			t.Fatal("call refused before the failure threshold")
		}
		br.Record(now, true)
	}
	if br.Allow(now) {
		t.Error("call allowed right after the failure threshold")
	}
	now = now.Add(probeInterval)
	if first, second := br.Allow(now), br.Allow(now); !first || second {
		t.Errorf("calls allowed after the probe interval: %t, %t; want true, false", first, second)
	}
	br.Record(now, false)
	for range 2 {
		if !br.Allow(now) {
			t.Error("call refused after a successful probe")
		}
	}
}
