package speed

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A tender that sends implausible values, or one that stops sending, must not decide where requests go: its engine has the median of its
// service.
func TestFailedTendersEngineHasMedian(t *testing.T) {
	now := time.Unix(1000, 0)
	fl := NewFleet()
	record := func() {
		for i := range 5 {
			if !fl.Record(now, fmt.Sprint("e", i), "chat", NewEstimate(float64(50_000+10_000*i), 4*time.Millisecond)) {
				t.Errorf("the estimate of e%d was not used", i)
			}
		}
	}
	record()
	now = now.Add(medianPeriod)
	for _, es := range []Estimate{NewEstimate(math.NaN(), 0), NewEstimate(math.Inf(1), 0), NewEstimate(-1, 0), NewEstimate(1, 0),
		NewEstimate(1e9, 0), NewEstimate(60_000, time.Hour), NewEstimate(60_000, -1), NewEstimate(70_000*maxMedianFactor+1, 0),
		NewEstimate(70_000/maxMedianFactor-1, 0)} {
		if fl.Record(now, "odd", "chat", es) {
			t.Errorf("the estimate %+v was used", es)
		}
	}
	if rate, source := fl.PrefillRate(now, "odd", "chat"); rate != 70_000 || source != Median {
		t.Errorf("an engine with implausible estimates has %.0f tokens per second from source %d, want the median", rate, source)
	}
	if rate, source := fl.PrefillRate(now, "e0", "chat"); rate != 50_000 || source != Own {
		t.Errorf("an engine has %.0f tokens per second from source %d, want its own estimate", rate, source)
	}
	if rate, source := fl.PrefillRate(now, "x", "other"); rate != 0 || source != Unknown {
		t.Errorf("a service without estimates has %.0f tokens per second from source %d", rate, source)
	}
	fl.Record(now, "silent", "chat", NewEstimate(100_000, 2*time.Millisecond))
	now = now.Add(estimateTTL)
	record()
	now = now.Add(medianPeriod)
	if rate, source := fl.PrefillRate(now, "silent", "chat"); rate != 70_000 || source != Median {
		t.Errorf("an engine whose tender is silent has %.0f tokens per second from source %d, want the median", rate, source)
	}
	if step := fl.Step(now, "silent"); step != 0 {
		t.Errorf("an engine whose tender is silent has a step of %s", step)
	}
	now = now.Add(2 * estimateTTL)
	if rate, source := fl.PrefillRate(now, "e0", "chat"); rate != 0 || source != Unknown {
		t.Errorf("without tenders an engine has %.0f tokens per second from source %d", rate, source)
	}
	if len(fl.records) > 0 {
		t.Errorf("%d old estimates are kept", len(fl.records))
	}
}

// A tender that has just started knows no speed yet. The engine keeps the estimate of before.
func TestUnknownSpeedKeepsEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	fl := NewFleet()
	fl.Record(now, "e", "chat", NewEstimate(60_000, 4*time.Millisecond))
	fl.Record(now, "e", "chat", NewEstimate(0, 0))
	fl.Record(now, "e", "chat", NewEstimate(0, 5*time.Millisecond))
	if rate, _ := fl.PrefillRate(now, "e", "chat"); rate != 60_000 || fl.Step(now, "e") != 5*time.Millisecond {
		t.Errorf("got %.0f tokens per second and %s, want 60000 and 5ms", rate, fl.Step(now, "e"))
	}
}
