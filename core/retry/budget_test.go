package retry

import "testing"

// Retries add at most a tenth to the load, beside the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	bg := NewBudget()
	const tries = 10_000
	retries := 0
	for range tries {
		bg.Tried()
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
