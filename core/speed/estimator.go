package speed

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of an estimator.
const (
	// minPrefillSpan is the shortest measurement of prefill that is used. An engine's chunk takes 14 to 90 ms, so a shorter one would mostly
	// measure when the engine was asked.
	minPrefillSpan = 60 * time.Millisecond
	minStepSpan    = 40 * time.Millisecond
	// maxSpan ends a measurement, so that an engine that is always busy is measured, too.
	maxSpan = 250 * time.Millisecond
	// maxReportGap is the longest time between two reports that are compared. More may happen within a longer one than the reports show.
	maxReportGap = 150 * time.Millisecond
	// sampleCount is the number of latest samples that an estimate is taken from, minSampleCount the least.
	sampleCount    = 24
	minSampleCount = 3
	// wantedSamplePeriod is the time after which a new sample is wanted.
	wantedSamplePeriod = 250 * time.Millisecond
)

// Run is a call that an engine runs, as its report states it.
type Run struct {
	id     string
	tokens int
	events int
}

// NewRun returns a run: its id, the number of its tokens in the engine's memory, and the number of events that it has produced.
func NewRun(id string, tokens, events int) Run { return Run{id: id, tokens: tokens, events: events} }

// Report is what an engine reports of its runs at a time.
type Report struct {
	at   time.Time
	runs map[string]Run
}

// NewReport returns a report of an engine's runs at a time.
func NewReport(at time.Time, runs []Run) Report {
	rp := Report{at: at, runs: make(map[string]Run, len(runs))}
	for _, rn := range runs {
		rp.runs[rn.id] = rn
	}
	return rp
}

// HasPrefill reports whether a run has produced no event yet.
func (rp Report) HasPrefill() bool {
	for _, rn := range rp.runs {
		if rn.events == 0 {
			return true
		}
	}
	return false
}

// Estimator estimates the speeds of one engine from its reports. One goroutine owns it.
//
// It uses only intervals between two reports in which no run has begun, since a report does not tell how many tokens of a new run were
// cached. If some run was without an event at both ends, the engine had prompts to prefill all the time, and the growth of the runs
// without an event at the start is what it prefilled. If all runs had events at both ends, the engine only decoded, and each run grew by
// a token per step.
type Estimator struct {
	last    Report
	prefill series
	decode  series
	// anchored is set while prefill is being measured; the measurement begins and ends at reports that show growth, since memory grows by a
	// chunk at a time.
	anchored bool
	// pending is the time since the last growth.
	pending time.Duration
}

// NewEstimator returns an estimator without reports.
func NewEstimator() *Estimator {
	return &Estimator{prefill: series{minSpan: minPrefillSpan}, decode: series{minSpan: minStepSpan}}
}

// Interrupt makes the estimator compare no later report with an earlier one, as after a lost report or while the engine is stopped.
func (et *Estimator) Interrupt() {
	et.last = Report{}
	et.endPrefill()
	et.decode.end(time.Time{})
}

// Observe takes the next report.
func (et *Estimator) Observe(rp Report) {
	last := et.last
	et.last = rp
	span := rp.at.Sub(last.at)
	if last.at.IsZero() || span <= 0 || span > maxReportGap {
		et.endPrefill()
		et.decode.end(rp.at)
		return
	}
	ch := compare(last, rp)
	if ch.isPrefill() {
		et.observePrefill(rp.at, span, ch.prefilled)
	} else {
		et.endPrefill()
	}
	if ch.isDecode() {
		et.decode.add(rp.at, span, float64(ch.steps))
	} else {
		et.decode.end(rp.at)
	}
}

func (et *Estimator) observePrefill(now time.Time, span time.Duration, tokens int) {
	et.pending += span
	if tokens == 0 {
		return
	}
	if et.anchored {
		et.prefill.add(now, et.pending, float64(tokens))
	}
	et.anchored, et.pending = true, 0
}

func (et *Estimator) endPrefill() {
	et.prefill.end(et.last.at)
	et.anchored, et.pending = false, 0
}

// Estimate returns the present estimate. It remains after a restart of the engine, which runs on the same machine.
func (et *Estimator) Estimate() Estimate {
	var es Estimate
	if rate := et.prefill.median(); isPlausibleRate(rate) {
		es.prefillRate = rate
	}
	if steps := et.decode.median(); steps > 0 {
		if step := time.Duration(float64(time.Second) / steps); isPlausibleStep(step) {
			es.step = step
		}
	}
	return es
}

// WantsReports reports whether frequent reports would improve the estimate now: the engine prefills, and the last sample is old.
func (et *Estimator) WantsReports(now time.Time) bool {
	return et.last.HasPrefill() && (len(et.prefill.samples) < minSampleCount || now.Sub(et.prefill.sampledAt) > wantedSamplePeriod)
}

// change is the difference between two reports.
type change struct {
	// ambiguous is set if a run has begun, lost tokens, or ended without an event.
	ambiguous bool
	// busy is set if some run was without an event at both reports; prefilled is what the runs without an event at the first one grew by.
	busy      bool
	prefilled int
	// steps is the median growth of the runs with events at both reports, whose number is decoding.
	steps    int
	decoding int
	// hasPrefill is set if some run was without an event at one of the reports.
	hasPrefill bool
}

func (ch change) isPrefill() bool { return !ch.ambiguous && ch.busy }

func (ch change) isDecode() bool { return !ch.ambiguous && !ch.hasPrefill && ch.decoding > 0 }

func compare(last, rp Report) change {
	var ch change
	for id := range rp.runs {
		if _, ok := last.runs[id]; !ok {
			ch.ambiguous = true
		}
	}
	var grown []int
	for id, before := range last.runs {
		after, ok := rp.runs[id]
		growth := after.tokens - before.tokens
		ch.hasPrefill = ch.hasPrefill || before.events == 0
		switch {
		case !ok:
			ch.ambiguous = ch.ambiguous || before.events == 0
		case growth < 0 || after.events < before.events:
			ch.ambiguous = true
		case before.events == 0:
			ch.busy = ch.busy || after.events == 0
			ch.prefilled += growth
		default:
			grown = append(grown, growth)
		}
	}
	if ch.decoding = len(grown); ch.decoding > 0 {
		slices.Sort(grown)
		ch.steps = grown[len(grown)/2]
	}
	return ch
}

// sample is a measured rate and how long it was measured.
type sample struct {
	rate float64
	span time.Duration
}

// series is a series of measurements of a rate. A measurement is the sum of intervals without a gap.
type series struct {
	minSpan   time.Duration
	span      time.Duration
	amount    float64
	samples   []sample
	sampledAt time.Time
}

// add adds an interval, with the amount of work done in it, to the present measurement.
func (sr *series) add(now time.Time, span time.Duration, amount float64) {
	sr.span += span
	sr.amount += amount
	if sr.span >= maxSpan {
		sr.end(now)
	}
}

// end ends the present measurement and keeps it if it is long enough.
func (sr *series) end(now time.Time) {
	if sr.span >= sr.minSpan && sr.amount > 0 {
		sr.samples = append(sr.samples, sample{rate: sr.amount / sr.span.Seconds(), span: sr.span})
		sr.samples = sr.samples[max(len(sr.samples)-sampleCount, 0):]
		if !now.IsZero() {
			sr.sampledAt = now
		}
	}
	sr.span, sr.amount = 0, 0
}

// median returns the median of the samples, weighted by their spans, or zero if there are too few. A copied prefix that looks like prefill
// gives a few wrong samples, which a mean would include.
func (sr *series) median() float64 {
	if len(sr.samples) < minSampleCount {
		return 0
	}
	sorted := slices.SortedFunc(slices.Values(sr.samples), func(a, b sample) int { return cmp.Compare(a.rate, b.rate) })
	var total, sum time.Duration
	for _, sm := range sorted {
		total += sm.span
	}
	for _, sm := range sorted {
		if sum += sm.span; 2*sum >= total {
			return sm.rate
		}
	}
	return 0
}
