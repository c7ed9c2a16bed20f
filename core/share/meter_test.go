package share

import (
	"fmt"
	"testing"
	"time"
)

// A workspace with ten times the work of each of seven others has well over its share; the others have less than theirs.
func TestExcess(t *testing.T) {
	mt := NewMeter()
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for i := range 8 {
			tokens := 100
			if i == 0 {
				tokens = 1000
			}
			mt.Add(now, fmt.Sprint("w", i), tokens)
		}
	}
	if got := mt.FairShareRatio(now, "w0"); got < 4 || got > 5 {
		t.Errorf("the flooding workspace has %.2f of its share, 1000*8/1700 were expected", got)
	}
	if got := mt.FairShareRatio(now, "w1"); got > 0.6 {
		t.Errorf("another workspace has %.2f of its share", got)
	}
	if got := mt.FairShareRatio(now.Add(time.Minute), "w0"); got != 0 {
		t.Errorf("after a minute of silence it still has %.2f", got)
	}
}

// A workspace alone takes no more than its share.
func TestAloneIsNoExcess(t *testing.T) {
	mt := NewMeter()
	now := time.Unix(1000, 0)
	mt.Add(now, "w", 10_000)
	if got := mt.FairShareRatio(now, "w"); got > 1 {
		t.Errorf("got %.2f", got)
	}
}
