package stage

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// testEngines returns engines of one zone of deployment B whose tenders report waiting calls, and memory of which half is used.
func testEngines(count, waiting int) []Engine {
	var engines []Engine
	for i := range count {
		en := NewEngine(xxhash.Sum64String(fmt.Sprint("engine-", i)), "z1")
		engines = append(engines, en.WithReport(waiting, 86_000, 172_000))
	}
	return engines
}

// testPlanner returns a planner that has observed prompts of a length and then the engines for a while.
func testPlanner(uncachedTokens int, engines []Engine) *Planner {
	pl, now := NewPlanner(), time.Unix(1000, 0)
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		pl.Observe(now, uncachedTokens)
		pl.Update(now, engines)
	}
	return pl
}

func (pl *Planner) count(role Role, engines []Engine) int {
	count := 0
	for _, en := range engines {
		if pl.Role(en.hash) == role {
			count++
		}
	}
	return count
}

// Guards against a separation where it gains nothing: few engines, little load, no long prompts, or no reports.
func TestNoSeparation(t *testing.T) {
	unreported := testEngines(17, 2)
	for i := range unreported {
		unreported[i] = NewEngine(unreported[i].hash, unreported[i].zone)
	}
	tests := []struct {
		name    string
		tokens  int
		engines []Engine
	}{
		{"few engines", 6610, testEngines(5, 2)},
		{"little load", 6610, testEngines(17, 0)},
		{"short prompts", 1800, testEngines(17, 2)},
		{"no reports", 6610, unreported},
	}
	for _, tt := range tests {
		if count := testPlanner(tt.tokens, tt.engines).count(Mixed, tt.engines); count != len(tt.engines) {
			t.Errorf("%s: %d of %d engines have no role", tt.name, count, len(tt.engines))
		}
	}
}

// Guards against gates that use different engines for streams, against too few of these for the streams of a peak, and against so many
// that prompts wait.
func TestRolesFollowTheLoad(t *testing.T) {
	engines := testEngines(17, 2)
	first, second := testPlanner(6610, engines), testPlanner(6000, engines)
	for _, en := range engines {
		if first.Role(en.hash) != second.Role(en.hash) {
			t.Errorf("two gates give engine %d different roles", en.hash)
		}
	}
	// Half of the memory of the engines for streams is used, which is more than is wanted of fewer engines.
	if count := first.count(Decode, engines); count < 2 || count > 5 {
		t.Errorf("%d engines run streams, want 2 to 5", count)
	}
	for i, en := range engines {
		engines[i] = en.WithReport(2, 1000, 172_000)
	}
	if count := testPlanner(6610, engines).count(Decode, engines); count != 1 {
		t.Errorf("%d engines run streams that use little memory, want 1", count)
	}
}

// Guards against hand-overs that cost more than they gain: over slow links, between busy engines, or from an idle one.
func TestHandOverPays(t *testing.T) {
	tests := []struct {
		name                string
		linkBytes           float64
		source, destination time.Duration
		delayed, want       bool
	}{
		{"deployment B", 1500e9 / 8, 216 * time.Millisecond, 0, false, true},
		{"slow link", 100e9 / 8, 216 * time.Millisecond, 0, false, false},
		{"idle source", 1500e9 / 8, 24 * time.Millisecond, 0, false, false},
		{"delayed", 1500e9 / 8, 24 * time.Millisecond, 0, true, true},
		{"busy destination", 1500e9 / 8, 216 * time.Millisecond, 216 * time.Millisecond, false, false},
	}
	for _, tt := range tests {
		tm, ok := NewTerms(400*time.Millisecond, 327_680, tt.linkBytes)
		if got := ok && tm.Pays(tt.source, tt.destination, tm.CopyTime(12_000, false), tt.delayed); got != tt.want {
			t.Errorf("%s: pays is %t", tt.name, got)
		}
	}
	tm, _ := NewTerms(400*time.Millisecond, 327_680, 1500e9/8)
	if within, between := tm.CopyTime(12_000, false), tm.CopyTime(12_000, true); within.Milliseconds() != 20 || between != 2*within {
		t.Errorf("copies take %v within a zone and %v between zones", within, between)
	}
	for _, bytes := range []int{0, -1} {
		if _, ok := NewTerms(400*time.Millisecond, bytes, 1); ok {
			t.Errorf("tokens of %d bytes can be copied", bytes)
		}
	}
	if _, ok := NewTerms(0, 1, 1); ok {
		t.Error("streams without a target for their pauses are handed over")
	}
}
