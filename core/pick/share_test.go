package pick

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// playShares plays engines of deployment A for 12 s, and then for 20 s in which one of twelve is down at a time: 25 gates of uneven numbers of
// callers and 16 workspaces, of which w0 has 12 % of the usual load and flood times that in the second part. Calls have ranks 0, 1 and 3.
func playShares(flood float64, tellsWork bool) *sim {
	const demand, part = 0.72, 0.12
	sm := newSim(25, 12, demand)
	sm.reportsSpeed, sm.tellsWork = true, tellsWork
	sm.target = 500 * time.Millisecond
	ratio := 1.0
	sm.next = func() (int, string, int) {
		gate := int(float64(len(sm.gates)) * math.Sqrt(sm.random.Float64()))
		rank := []int{0, 1, 3}[sm.random.IntN(3)]
		if sm.random.Float64() < part*ratio/(1-part+part*ratio) {
			return gate, "w0", rank
		}
		// The square makes a few workspaces large.
		uniform := sm.random.Float64()
		workspace := 1 + int(15*uniform*uniform)
		if workspace%2 == 1 {
			// All callers of these workspaces come to one or two gates.
			gate = (3*workspace + sm.random.IntN(2)) % len(sm.gates)
		}
		return gate, fmt.Sprint("w", workspace), rank
	}
	sm.run(12 * time.Second)
	clear(sm.callsByWorkspace)
	clear(sm.inTimeByWorkspace)
	clear(sm.callsByRank)
	clear(sm.inTimeByRank)
	ratio = flood
	sm.demand = demand * (1 - part + part*flood)
	for i := range 5 {
		sm.run(2 * time.Second)
		en := sm.engines[i]
		for _, call := range en.queue {
			call.attempt.End(sm.now, NoResponse)
		}
		en.queue, en.down = nil, true
		sm.run(2 * time.Second)
		en.down = false
	}
	return sm
}

// inTimeParts returns the part of the calls of all workspaces but w0 that were served in time, the least such part of any of these, and that
// of w0.
func (sm *sim) inTimeParts() (others, least, flooding float64) {
	inTime, all := 0, 0
	least = 1
	for name, calls := range sm.callsByWorkspace {
		if name != "w0" {
			inTime, all = inTime+sm.inTimeByWorkspace[name], all+calls
			least = min(least, float64(sm.inTimeByWorkspace[name])/float64(calls))
		}
	}
	return float64(inTime) / float64(all), least, float64(sm.inTimeByWorkspace["w0"]) / float64(sm.callsByWorkspace["w0"])
}

// One workspace has 7.5 times its usual load while engines crash. Calls of the others must be served in time as without that, although each
// gate sees a part of the callers only, and higher ranks no less often than lower ones.
func TestFloodAtEnginesDoesNotReachOtherWorkspaces(t *testing.T) {
	usual, leastUsual, _ := playShares(1, true).inTimeParts()
	alone, leastAlone, _ := playShares(7.5, false).inTimeParts()
	sm := playShares(7.5, true)
	shared, leastShared, flooding := sm.inTimeParts()
	t.Logf("others (and the least of them) in time: %.3f (%.3f) without the flood; with it %.3f (%.3f), %.3f (%.3f) if gates see their own callers only; w0 in time: %.3f",
		usual, leastUsual, shared, leastShared, alone, leastAlone, flooding)
	if leastShared < leastUsual-0.05 {
		t.Errorf("%.3f of the calls of some workspace were served in time, %.3f of any without the flood", leastShared, leastUsual)
	}
	if shared < usual-0.05 {
		t.Errorf("%.3f of the calls of others were served in time, %.3f without the flood", shared, usual)
	}
	last := 1.0
	for _, rank := range []int{0, 1, 3} {
		part := float64(sm.inTimeByRank[rank]) / float64(sm.callsByRank[rank])
		t.Logf("rank %d in time: %.3f", rank, part)
		if part > last+0.01 {
			t.Errorf("rank %d was served in time more often (%.3f) than a higher rank (%.3f)", rank, part, last)
		}
		last = part
	}
}
