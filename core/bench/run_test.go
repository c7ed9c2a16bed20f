package bench

import (
	"testing"
	"time"
)

// Targets of the placement policy, as docs/POLICY.md states them.
const (
	minHitShareOfBound = 0.9
	maxRecomputedShare = 0.5
)

// TestPolicyTargets checks the policy's targets with one seed for each deployment and condition. docs/POLICY.md has the
// full table, including the targets that are missed.
func TestPolicyTargets(t *testing.T) {
	t.Parallel()
	for _, dep := range Deployments() {
		for _, cond := range Conditions() {
			t.Run(dep.Name()+"/"+cond.Name(), func(t *testing.T) {
				t.Parallel()
				results := make(map[Policy]Result)
				for _, pl := range Policies() {
					results[pl] = Run(Options{Deployment: dep, Condition: cond, Policy: pl, Load: 0.7, Seed: 1, Length: 2 * time.Minute})
				}
				checkTargets(t, cond, results)
			})
		}
	}
}

func checkTargets(t *testing.T, cond Condition, results map[Policy]Result) {
	t.Helper()
	measured := results[Shallotcleat]
	if measured.HitRate() < minHitShareOfBound*measured.HitRateBound() {
		t.Errorf("hit rate = %.3f, want at least %.1f of the bound %.3f", measured.HitRate(), minHitShareOfBound, measured.HitRateBound())
	}
	for pl, rs := range results {
		if pl != Shallotcleat && measured.TimeToFirstToken(99) >= rs.TimeToFirstToken(99) {
			t.Errorf("p99 time to first token = %v, want less than that of %s, %v", measured.TimeToFirstToken(99), pl, rs.TimeToFirstToken(99))
		}
	}
	if baseline := results[ConsistentHash].RecomputedTokens(); cond.Name() == "calm" &&
		float64(measured.RecomputedTokens()) > maxRecomputedShare*float64(baseline) {
		t.Errorf("recomputed %d tokens; consistent hashing recomputed %d", measured.RecomputedTokens(), baseline)
	}
}

func TestRunIsDeterministic(t *testing.T) {
	t.Parallel()
	opts := Options{
		Deployment: Deployments()[0], Condition: Conditions()[2], Policy: Shallotcleat, Load: 0.85, Seed: 3, Length: 70 * time.Second}
	if first, second := Run(opts).String(), Run(opts).String(); first != second {
		t.Errorf("results of equal options differ: %s and %s", first, second)
	}
}

// TestSlowServerIsAvoided checks that a server that becomes ten times slower than it advertises gets few requests after
// five seconds and is tried again later.
func TestSlowServerIsAvoided(t *testing.T) {
	t.Parallel()
	const length = 3 * time.Minute
	const middle, reactionTime, windowLength = length / 2, 5 * time.Second, 25 * time.Second
	for _, dep := range Deployments() {
		rs := Run(Options{Deployment: dep, Condition: Conditions()[3], Policy: Shallotcleat, Load: 0.7, Seed: 1, Length: length})
		before := rs.SentCount(0, middle-windowLength, middle)
		after := rs.SentCount(0, middle+reactionTime, middle+reactionTime+windowLength)
		later := rs.SentCount(0, middle+reactionTime+windowLength, length)
		t.Logf("%s: %d requests before the slowdown, %d after it, %d later", dep.Name(), before, after, later)
		if after*slowdownFactor > before*2 {
			t.Errorf("%s: %d requests in %v before the slowdown and %d after it, want at most a fifth", dep.Name(), before, windowLength, after)
		}
		if later == 0 {
			t.Errorf("%s: the slow server got no request later", dep.Name())
		}
	}
}
