package crash

import (
	"testing"
	"time"
)

// A rule offers one trial in each period to a process; a granted trial lets one prompt pass. The rule ends once a prompt with its parts is
// answered, and is refuted where it comes from another process later.
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
		{after: 7 * trialDelay, wantOffer: 3},
	} {
		now := start.Add(tt.after)
		if tt.grant {
			dt.GrantTrial(now, rl.Key())
		}
		verdict := dt.Decide(now, parts)
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
	if dt.Decide(now, parts).Forbidden {
		t.Error("a part is refused after it was answered")
	}
	if sightings := dt.AddRules(now, []Rule{NewRule([]uint64{badPart}, start, now)}); dt.Decide(now, parts).Forbidden || len(sightings) == 0 {
		t.Errorf("a refuted rule came back, or was not refuted: %v", sightings)
	}
}

// A trial of one rule does not let a prompt pass that another one forbids.
func TestTrialInSpiteOfOneRuleOnly(t *testing.T) {
	start := time.Unix(1000, 0)
	dt := NewDetector()
	first, second := NewRule([]uint64{1}, start, start), NewRule([]uint64{2}, start, start)
	dt.AddRules(start, []Rule{first, second})
	dt.GrantTrial(start, first.Key())
	if verdict := dt.Decide(start, []uint64{1, 2}); !verdict.Forbidden || verdict.Trial {
		t.Errorf("got %+v", verdict)
	}
	if verdict := dt.Decide(start, []uint64{1}); verdict.Forbidden || !verdict.Trial {
		t.Errorf("got %+v for a prompt that the other rule allows", verdict)
	}
}

// Processes that tell each other of a rule keep it no longer than it refuses prompts, also if messages take a while and nothing crashes.
func TestRuleEndsWhenUnused(t *testing.T) {
	const processes, transit = 20, 100 * time.Millisecond
	start := time.Unix(1000, 0)
	var detectors []*Detector
	for range processes {
		detectors = append(detectors, NewDetector())
	}
	detectors[0].AddRules(start, []Rule{NewRule([]uint64{badPart}, start, start)})
	for after := time.Duration(0); after < ruleTTL+2*usePrecision; after += time.Second / 2 {
		now := start.Add(after)
		for i, dt := range detectors {
			for _, rl := range dt.Rules(now) {
				late := NewRule(rl.Parts(), rl.Since().Add(transit), rl.UsedAt().Add(transit))
				detectors[(i+1)%processes].AddRules(now, []Rule{late})
				detectors[(i+7)%processes].AddRules(now, []Rule{late})
			}
			dt.Refresh(now)
		}
	}
	for i, dt := range detectors {
		if len(dt.RuleKeys()) > 0 {
			t.Errorf("process %d keeps a rule that refuses no prompt", i)
		}
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
		return dt.Decide(start.Add(time.Minute/2), parts).Forbidden
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
