package tend

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"shallotcleat/core/speed"
	"shallotcleat/core/weight"
)

// observePrefill lets a speedometer observe an engine that prefills 1,000 tokens in 20 ms. Each observation takes took.
func observePrefill(sm *speedometer, took time.Duration, change func(i int, state *EngineState) error) {
	at := time.Unix(1000, 0)
	for i := range 100 {
		at = at.Add(20 * time.Millisecond)
		state := EngineState{Version: 1, LoadState: weight.NewLoadState(1, false, 0), RunsKnown: true,
			Runs: []speed.Run{speed.NewRun("r", 1000*i, 0)}}
		err := change(i, &state)
		sm.observe(at, at.Add(took), state, err)
	}
}

// The gates must get the speed of the tender's engine, and not measurements that hold a load of weights, a failed report, one of
// unknown time or one without the expected form.
func TestSpeedIsSentToGates(t *testing.T) {
	td := newTestTender(t)
	unchanged := func(int, *EngineState) error { return nil }
	wt := newWatcher(td)
	observePrefill(wt.speedometer, time.Millisecond, unchanged)
	if got := float64(wt.engineNews(false, false).GetPrefillRate()); math.Abs(got/50_000-1) > 0.1 {
		t.Errorf("the message to gates has %.0f tokens per second, want 50000", got)
	}
	for name, observe := range map[string]func(sm *speedometer){
		"slow reports": func(sm *speedometer) { observePrefill(sm, 2*maxReportTime, unchanged) },
		"unknown runs": func(sm *speedometer) {
			observePrefill(sm, time.Millisecond, func(_ int, state *EngineState) error { state.RunsKnown = false; return nil })
		},
		"failed reports": func(sm *speedometer) {
			observePrefill(sm, time.Millisecond, func(i int, _ *EngineState) error {
				if i%2 == 0 {
					return errors.New("no response")
				}
				return nil
			})
		},
		"loads": func(sm *speedometer) {
			observePrefill(sm, time.Millisecond, func(i int, state *EngineState) error {
				state.LoadState = weight.NewLoadState(1, i%2 == 0, 0)
				return nil
			})
		},
	} {
		sm := newSpeedometer(td.opts.Recorder)
		observe(sm)
		if es := sm.estimate(); es != (speed.Estimate{}) {
			t.Errorf("%s gave the estimate %+v", name, es)
		}
	}
}

// The tender asks more often only while the engine prefills and the last measurement is old: a report costs processor time.
func TestReportsAreFrequentOnlyDuringMeasurements(t *testing.T) {
	td := newTestTender(t)
	sm := newSpeedometer(td.opts.Recorder)
	at := time.Unix(1000, 0)
	state := EngineState{Version: 1, LoadState: weight.NewLoadState(1, false, 0), RunsKnown: true}
	sm.observe(at, at, state, nil)
	if sm.wantsReports(at) {
		t.Error("an idle engine is asked often")
	}
	observePrefill(sm, 0, func(int, *EngineState) error { return nil })
	at = at.Add(2 * time.Second)
	if !sm.wantsReports(at.Add(time.Minute)) {
		t.Error("an engine that prefills is not asked often a minute after the last measurement")
	}
}

// An engine that does not report its runs is polled as before, and the message to gates has no speed.
func TestEngineWithoutRunsHasNoSpeed(t *testing.T) {
	wt := newWatcher(newTestTender(t))
	wt.poll(context.Background())
	if ns := wt.engineNews(false, false); ns.GetPrefillRate() != 0 || ns.GetStepUs() != 0 || wt.speedometer.wantsReports(time.Now()) {
		t.Errorf("the message to gates has %f tokens per second and %d us", ns.GetPrefillRate(), ns.GetStepUs())
	}
}
