package crash

import (
	"testing"
	"time"
)

// A rule offers a trial in each of two periods to a process, and none after that; a granted trial lets one prompt pass. The rule ends once a
// prompt with its parts is answered, and is refuted where it comes from another process later.
func TestTrialsOfRule(t *testing.T) {
	start := time.Unix(1000, 0)
	parts := []uint64{1, badPart, 2}
	dt := NewDetector()
	rl := NewRule([]uint64{badPart}, start, start)
	dt.AddRules(start, []Rule{rl})
	for _, tt := range []struct {
		after     time.Duration
		grant     bool
		wantOffer int
		wantTrial bool
	}{
		{after: trialDelay - time.Second},
		{after: trialDelay, wantOffer: 1},
		{after: trialDelay + time.Second},
		{after: trialDelay + 2*time.Second, grant: true, wantTrial: true},
		{after: trialDelay + 3*time.Second},
		{after: 3*trialDelay - time.Second},
		{after: 3 * trialDelay, wantOffer: 2},
		{after: 3*trialDelay + offerInterval/2},
		{after: 3*trialDelay + offerInterval, grant: true, wantTrial: true},
		{after: 7 * trialDelay},
		{after: 1000 * trialDelay},
	} {
		now := start.Add(tt.after)
		verdict := dt.Decide(now, parts, true)
		if tt.grant {
			dt.SettleTrial(now, rl.Key(), verdict.Offer, true)
			verdict = dt.Decide(now, parts, true)
		}
		if verdict.Trial != tt.wantTrial || verdict.Forbidden == tt.wantTrial || verdict.Offer != tt.wantOffer {
			t.Errorf("after %s: %+v, want trial %t, offer %d", tt.after, verdict, tt.wantTrial, tt.wantOffer)
		}
		if verdict.Forbidden && verdict.RetryAfter <= 0 {
			t.Errorf("after %s: retry after %s", tt.after, verdict.RetryAfter)
		}
	}
	now := start.Add(8 * trialDelay)
	dt.AddServed(now, parts)
	dt.Refresh(now)
	if dt.Decide(now, parts, true).Forbidden {
		t.Error("a part is refused after it was answered")
	}
	if sightings := dt.AddRules(now, []Rule{NewRule([]uint64{badPart}, start, now)}); dt.Decide(now, parts, true).Forbidden || len(sightings) == 0 {
		t.Errorf("a refuted rule came back, or was not refuted: %v", sightings)
	}
}

// A trial of one rule does not let a prompt pass that another one forbids.
func TestTrialInSpiteOfOneRuleOnly(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	first, second := NewRule([]uint64{1}, start, start), NewRule([]uint64{2}, start, start)
	dt.AddRules(start, []Rule{first, second})
	dt.SettleTrial(start, first.Key(), 0, true)
	if verdict := dt.Decide(start, []uint64{1, 2}, true); !verdict.Forbidden || verdict.Trial {
		t.Errorf("got %+v", verdict)
	}
	if verdict := dt.Decide(start, []uint64{1}, true); verdict.Forbidden || !verdict.Trial {
		t.Errorf("got %+v for a prompt that the other rule allows", verdict)
	}
}

// Guards against BUDGET: a rule that ended because nobody sent its request for ten minutes let servers crash on it again.
func TestRuleStaysWhenUnused(t *testing.T) {
	const processes, transit = 20, 100 * time.Millisecond
	start := time.Unix(1000, 0)
	var detectors []*Detector
	for range processes {
		detectors = append(detectors, NewDetector())
	}
	detectors[0].AddRules(start, []Rule{NewRule([]uint64{badPart}, start, start)})
	told := 0
	for after := time.Duration(0); after < ruleToldFor+2*usePrecision; after += time.Second / 2 {
		now := start.Add(after)
		told = 0
		for i, dt := range detectors {
			for _, rl := range dt.RulesToTell(now) {
				told++
				late := NewRule(rl.Parts(), rl.Since().Add(transit), rl.UsedAt().Add(transit))
				detectors[(i+1)%processes].AddRules(now, []Rule{late})
				detectors[(i+7)%processes].AddRules(now, []Rule{late})
			}
			dt.Refresh(now)
		}
	}
	if told > 0 {
		t.Errorf("%d processes still tell others of a rule that refuses no prompt", told)
	}
	for i, dt := range detectors {
		if !dt.Decide(start.Add(time.Hour), []uint64{badPart}, false).Forbidden {
			t.Errorf("process %d has forgotten the rule", i)
		}
	}
}

// Many rules are told in turn, and the least recently used ones are dropped first.
func TestManyRules(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	for i := range uint64(maxRules + 10) {
		now := start.Add(time.Duration(i) * time.Millisecond)
		dt.AddRules(now, []Rule{NewRule([]uint64{RequestKey(i)}, now, now)})
	}
	if got := len(dt.RuleKeys()); got != maxRules {
		t.Errorf("%d rules, want %d", got, maxRules)
	}
	now := start.Add(2 * shareDelay)
	if dt.Decide(now, []uint64{RequestKey(9)}, false).Forbidden || !dt.Decide(now, []uint64{RequestKey(10)}, false).Forbidden {
		t.Error("other rules than the oldest ones were dropped")
	}
	told := make(map[uint64]bool)
	for range maxRules / maxToldRules {
		for _, rl := range dt.RulesToTell(now) {
			told[rl.Key()] = true
		}
	}
	if len(told) != maxRules {
		t.Errorf("%d rules were told, want all %d", len(told), maxRules)
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
		dt.AddReport(NewReport(uint64(after), uint64(after), start.Add(after), suspects))
		dt.Refresh(start.Add(after))
	}
	forbidden := func(parts ...uint64) bool {
		return dt.Decide(start.Add(time.Minute/2), parts, true).Forbidden
	}
	dt.AddServed(start, []uint64{1})
	dt.AddServed(start.Add(1500*time.Millisecond), []uint64{1})
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

// Crashes that have reasons of their own blame no part: those of one server again and again, and those of all servers while none answers.
func TestCrashesWithOtherReasonsBlameNothing(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name     string
		address  func(i int) uint64
		answered bool
	}{
		{"one server", func(int) uint64 { return 1 }, true},
		{"nothing answered", func(i int) uint64 { return uint64(i) }, false},
	} {
		dt := NewDetector()
		for i := range minCrashesOneServer - 1 {
			at := start.Add(time.Duration(i) * time.Second)
			dt.AddReport(NewReport(uint64(i), tt.address(i), at, map[uint64]time.Time{badPart: at.Add(-time.Millisecond)}))
			if tt.answered {
				dt.AddServed(at.Add(time.Millisecond), []uint64{7})
			}
			dt.Refresh(at.Add(time.Second))
		}
		if len(dt.RuleKeys()) > 0 {
			t.Errorf("%s: a part is blamed", tt.name)
		}
	}
}

// Two reports of one crash count once, also if one of them comes late.
func TestLateReportsOfOneCrashCountOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	for i := range 4 {
		at := start.Add(time.Duration(i) * 2 * time.Second)
		dt.AddReport(NewReport(5, uint64(i), at, map[uint64]time.Time{badPart: at.Add(-time.Millisecond)}))
		dt.AddServed(at.Add(time.Millisecond), []uint64{7})
	}
	if dt.Refresh(start.Add(9 * time.Second)); len(dt.RuleKeys()) > 0 {
		t.Error("one crash blames a part")
	}
}
