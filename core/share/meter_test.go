package share

import (
	"fmt"
	"testing"
	"time"
)

// A workspace with ten times the work of each of seven others far exceeds its share; the others stay below theirs.
func TestFairShareRatio(t *testing.T) {
	mt := NewMeter()
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for i := range 8 {
			tokens := 100
			if i == 0 {
				tokens = 1000
			}
			mt.Add(now, "chat", fmt.Sprint("w", i), 0, float64(tokens))
		}
	}
	if got := mt.FairShareRatio(now, "chat", "w0"); got < 4 || got > 5 {
		t.Errorf("the flooding workspace has %.2f of its share, want about 1000*8/1700", got)
	}
	if got := mt.FairShareRatio(now, "chat", "w1"); got > 0.6 {
		t.Errorf("another workspace has %.2f of its share, want at most 0.6", got)
	}
	if got := mt.FairShareRatio(now.Add(time.Minute), "chat", "w0"); got != 0 {
		t.Errorf("after an idle minute the workspace has %.2f of its share, want 0", got)
	}
}

// A single workspace does not exceed its share.
func TestSingleWorkspaceIsWithinShare(t *testing.T) {
	mt := NewMeter()
	now := time.Unix(1000, 0)
	mt.Add(now, "chat", "w", 0, 10_000)
	if got := mt.FairShareRatio(now, "chat", "w"); got > 1 {
		t.Errorf("the only workspace has %.2f of its share, want at most 1", got)
	}
}
