package drain

import (
	"testing"
	"time"
)

// Guards against requests that are passed on although the process ends before their answers, and against refusals of those that end in time.
func TestTakes(t *testing.T) {
	began := time.Unix(1000, 0)
	pl := NewPlan(began, 3*time.Second, 7*time.Second)
	for _, tt := range []struct {
		name               string
		after, timeout, ex time.Duration
		want               bool
	}{
		{"nothing known, early", 0, 20 * time.Second, 0, true},
		{"nothing known, last moment", 2999 * time.Millisecond, 20 * time.Second, 0, true},
		{"nothing known, late", 3 * time.Second, 20 * time.Second, 0, false},
		{"short, late", 3 * time.Second, 20 * time.Second, 10 * time.Millisecond, false},
		{"deadline before the cut, late", 5 * time.Second, 2 * time.Second, 0, true},
		{"deadline after the cut, late", 5 * time.Second, 2001 * time.Millisecond, 0, false},
		{"too long, early", time.Second, 20 * time.Second, 6001 * time.Millisecond, false},
		{"just short enough, early", time.Second, 20 * time.Second, 6 * time.Second, true},
		{"too long, but its deadline is before the cut", time.Second, 5 * time.Second, 10 * time.Second, true},
		{"at the cut", 7 * time.Second, 0, 0, false},
	} {
		now := began.Add(tt.after)
		if got := pl.Takes(now, now.Add(tt.timeout), tt.ex); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
	if pl := NewPlan(began, time.Minute, time.Second); pl.Takes(began.Add(time.Second), began.Add(time.Hour), 0) {
		t.Error("a request is taken after the cut")
	}
}

// Guards against an expectation that one slow request, or the order of requests, decides.
func TestExpectedDurations(t *testing.T) {
	ds := NewDurations()
	if got := ds.Expected("read"); got != 0 {
		t.Errorf("without requests: got %s", got)
	}
	for range 100 {
		ds.Record("read", 100*time.Millisecond)
		ds.Record("plan", 2*time.Second)
		ds.Record("plan", 4*time.Second)
	}
	if got := ds.Expected("read"); got != 100*time.Millisecond {
		t.Errorf("equal requests: got %s", got)
	}
	if got := ds.Expected("plan"); got < 4*time.Second || got > 6*time.Second {
		t.Errorf("requests of 2 s and 4 s: got %s", got)
	}
	ds.Record("read", 10*time.Second)
	if got := ds.Expected("read"); got > 4*time.Second {
		t.Errorf("after one slow request: got %s", got)
	}
}
