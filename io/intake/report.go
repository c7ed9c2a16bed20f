package intake

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/clock"
	"shallotcleat/core/memory"
	"shallotcleat/io/trace"
)

// reportInterval is the interval of the log lines about refusals; maxLoggedRefusals bounds those that name a request within it.
const (
	reportInterval    = 500 * time.Millisecond
	maxLoggedRefusals = 5
)

// Reporter logs and counts what a budget refuses. It is safe for concurrent use.
type Reporter struct {
	budget   *memory.Budget
	recorder *trace.Recorder
	logged   atomic.Int64
}

// NewReporter returns a reporter, and makes the memory held a metric.
func NewReporter(bg *memory.Budget, rec *trace.Recorder) *Reporter {
	err := rec.ObserveMemory(func() map[string]int64 {
		held := make(map[string]int64)
		for _, kind := range memory.Kinds() {
			held[string(kind)] = bg.Held(kind)
		}
		return held
	})
	if err != nil {
		rec.Log().WithError(err).Warn("no metric of the memory held")
	}
	return &Reporter{budget: bg, recorder: rec}
}

// Start reports until cancel is called.
func (rp *Reporter) Start(ck clock.Clock) (cancel func()) { return ck.Every(reportInterval, rp.report) }

// MayLog reports whether a line about one refused request may be logged; the others are only counted.
func (rp *Reporter) MayLog() bool { return rp.logged.Add(1) <= maxLoggedRefusals }

// report counts the refusals since its last call and logs one line about them, if any.
func (rp *Reporter) report() {
	rp.logged.Store(0)
	refused, evicted := rp.budget.TakeCounts()
	fields := logrus.Fields{"event": "memory_short", "budget_bytes": rp.budget.Total()}
	for _, kind := range memory.Kinds() {
		rp.recorder.CountMemoryRefusals(string(kind), "no_room", refused[kind])
		rp.recorder.CountMemoryRefusals(string(kind), "evicted", evicted[kind])
		fields["held_"+string(kind)] = rp.budget.Held(kind)
		if refused[kind]+evicted[kind] > 0 {
			fields["refused_"+string(kind)], fields["evicted_"+string(kind)] = refused[kind], evicted[kind]
		}
	}
	if len(refused)+len(evicted) > 0 {
		rp.recorder.Log().WithFields(fields).Warn("memory is short; callers were refused")
	}
}
