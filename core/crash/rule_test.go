package crash

import (
	"testing"
	"time"
)

// A rule yields to one trial in each period, by one process, and ends once a prompt with its parts is answered; a crash leaves it in force.
func TestTrialsOfRule(t *testing.T) {
	start := time.Unix(1000, 0)
	may, mayNot := func() bool { return true }, func() bool { return false }
	parts := []uint64{1, badPart, 2}
	dt := NewDetector()
	dt.AddRules(start, []Rule{NewRule([]uint64{badPart}, start, start)})
	for _, tt := range []struct {
		after     time.Duration
		mayTry    func() bool
		wantTrial bool
	}{
		{trialDelay - time.Second, may, false},
		{trialDelay, mayNot, false},
		{trialDelay, may, true},
		{trialDelay + time.Second, may, false},
		{3*trialDelay - time.Second, may, false},
		{3 * trialDelay, may, true},
		{7 * trialDelay, may, true},
	} {
		verdict := dt.Decide(start.Add(tt.after), parts, tt.mayTry)
		if verdict.Trial != tt.wantTrial || verdict.Forbidden == tt.wantTrial {
			t.Errorf("after %s: %+v, want trial %t", tt.after, verdict, tt.wantTrial)
		}
		if verdict.Forbidden && verdict.RetryAfter <= 0 {
			t.Errorf("after %s: retry after %s", tt.after, verdict.RetryAfter)
		}
	}
	dt.AddServed(start.Add(8*trialDelay), parts)
	if verdict := dt.Decide(start.Add(8*trialDelay), parts, mayNot); verdict.Forbidden {
		t.Error("a part is refused after it was answered")
	}
	dt.AddRules(start.Add(8*trialDelay), []Rule{NewRule([]uint64{badPart}, start, start.Add(8*trialDelay))})
	if verdict := dt.Decide(start.Add(8*trialDelay), parts, mayNot); verdict.Forbidden {
		t.Error("a rule that was refuted came back from another process")
	}
}

// Two processes that tell each other of a rule keep it no longer than it refuses prompts.
func TestRuleEndsWhenUnused(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second := NewDetector(), NewDetector()
	first.AddRules(start, []Rule{NewRule([]uint64{badPart}, start, start)})
	for after := time.Duration(0); after < 2*ruleTTL; after += time.Minute {
		now := start.Add(after)
		second.AddRules(now, first.Rules(now))
		first.AddRules(now, second.Rules(now))
		first.expire(now)
		second.expire(now)
	}
	if len(first.RuleKeys())+len(second.RuleKeys()) > 0 {
		t.Error("a rule that refuses no prompt does not end")
	}
}

// Parts that were seen together only are refused together only.
func TestPartsSeenTogetherAreBlamedTogether(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	report := func(after time.Duration, parts ...uint64) {
		suspects := make(map[uint64]time.Time)
		for _, part := range parts {
			suspects[part] = start.Add(after - 100*time.Millisecond)
		}
		dt.AddReport(start.Add(after), NewReport(uint64(after), start.Add(after), suspects))
	}
	forbidden := func(parts ...uint64) bool {
		return dt.Decide(start.Add(time.Minute/2), parts, func() bool { return false }).Forbidden
	}
	dt.AddServed(start, []uint64{1})
	for i := range 3 {
		report(time.Duration(i+1)*time.Second, 1, badPart, 7)
	}
	if !forbidden(1, badPart, 7) || forbidden(1, 7) || forbidden(badPart) {
		t.Error("the parts are not refused together only")
	}
	// Another process has seen one of them in another prompt.
	report(10*time.Second, 1, badPart, 8)
	if !forbidden(badPart, 9) || forbidden(1, 7) || forbidden(1, 8) {
		t.Error("the part that is in all prompts is not refused alone")
	}
}
