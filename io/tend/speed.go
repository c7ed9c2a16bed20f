package tend

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/speed"
	"shallotcleat/io/trace"
)

const (
	// maxReportTime is the time for a report above which it is unknown when the engine wrote it. Other reports take about 1 ms.
	maxReportTime = 10 * time.Millisecond
	// speedLogPeriod is the least time between two log lines about the engine's speed, and minLoggedChange the least relative change.
	speedLogPeriod  = 10 * time.Second
	minLoggedChange = 0.25
)

// speedometer estimates the speeds of the tender's engine from the reports that the watcher reads. The watcher's goroutine owns it.
type speedometer struct {
	estimator *speed.Estimator
	recorder  *trace.Recorder
	logged    speed.Estimate
	loggedAt  time.Time
}

func newSpeedometer(rec *trace.Recorder) *speedometer {
	return &speedometer{estimator: speed.NewEstimator(), recorder: rec}
}

// observe takes the engine's response to a report that was asked for at askedAt and came at now. An engine that is loading weights
// prefills nothing.
func (sm *speedometer) observe(askedAt, now time.Time, state EngineState, err error) {
	took := now.Sub(askedAt)
	if err != nil || !state.RunsKnown || state.LoadState.Busy() || took > maxReportTime {
		sm.estimator.Interrupt()
		return
	}
	sm.estimator.Observe(speed.NewReport(askedAt.Add(took/2), state.Runs))
	es := sm.estimate()
	sm.recorder.RecordSpeed(es.PrefillRate(), es.Step())
	sm.log(now, es)
}

// log logs the first estimate and large changes.
func (sm *speedometer) log(now time.Time, es speed.Estimate) {
	changed := hasChanged(sm.logged.PrefillRate(), es.PrefillRate()) || hasChanged(sm.logged.Step().Seconds(), es.Step().Seconds())
	if !changed || !sm.loggedAt.IsZero() && now.Sub(sm.loggedAt) < speedLogPeriod {
		return
	}
	sm.recorder.Log().WithFields(logrus.Fields{"event": "engine_speed", "prefill_rate": math.Round(es.PrefillRate()),
		"step": es.Step().String(), "previous_prefill_rate": math.Round(sm.logged.PrefillRate())}).Info("estimated the engine's speed")
	sm.logged, sm.loggedAt = es, now
}

func hasChanged(logged, value float64) bool { return math.Abs(value-logged) > minLoggedChange*logged }

// wantsReports reports whether more frequent reports would improve the estimate.
func (sm *speedometer) wantsReports(now time.Time) bool { return sm.estimator.WantsReports(now) }

func (sm *speedometer) estimate() speed.Estimate { return sm.estimator.Estimate() }
