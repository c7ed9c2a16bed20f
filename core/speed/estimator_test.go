package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simChunk is the number of prompt tokens that a simulated engine prefills between two decode steps.
const simChunk = 2048

// simEngine is an engine in virtual time that prefills one prompt at a time, in chunks, between the decode steps of its runs.
type simEngine struct {
	// rate is the prompt tokens per second within a chunk, step the time of a decode step.
	rate    float64
	step    time.Duration
	now     time.Duration
	started int
	runs    []*simRun
	// iterating is set during an iteration, in which the engine prefills chunk tokens of chunkRun, if any.
	iterating bool
	chunkRun  *simRun
	chunk     int
}

type simRun struct {
	id                        string
	tokens, missing, produced int
}

// add adds a run whose prompt has cached and missing tokens.
func (en *simEngine) add(cached, missing int) {
	en.started++
	en.runs = append(en.runs, &simRun{id: fmt.Sprint("r", en.started), tokens: cached, missing: missing})
}

// advance runs the engine to a time. An iteration's chunk and step show in memory when the iteration is complete.
func (en *simEngine) advance(until time.Duration) {
	for {
		if !en.iterating {
			if len(en.runs) == 0 {
				en.now = max(en.now, until)
				return
			}
			en.begin()
		}
		if en.now > until {
			return
		}
		en.complete()
	}
}

// begin begins an iteration, which ends at en.now.
func (en *simEngine) begin() {
	en.iterating, en.chunkRun, en.chunk = true, nil, 0
	en.now += en.step
	for _, rn := range en.runs {
		if rn.missing > 0 {
			en.chunkRun, en.chunk = rn, min(rn.missing, simChunk)
			en.now += time.Duration(float64(en.chunk) / en.rate * float64(time.Second))
			return
		}
	}
}

func (en *simEngine) complete() {
	en.iterating = false
	kept := en.runs[:0]
	for _, rn := range en.runs {
		if rn.missing == 0 {
			rn.tokens++
			rn.produced++
		}
		if rn.produced < 64 {
			kept = append(kept, rn)
		}
	}
	en.runs = kept
	if en.chunkRun != nil {
		en.chunkRun.missing -= en.chunk
		en.chunkRun.tokens += en.chunk
	}
}

// report returns the report; an event holds nine tokens.
func (en *simEngine) report(at time.Time) Report {
	var runs []Run
	for _, rn := range en.runs {
		runs = append(runs, NewRun(rn.id, rn.tokens, (rn.produced+8)/9))
	}
	return NewReport(at, runs)
}

// estimate observes an engine under a load of prompts whose shared parts are cached. Prompts arrive at random.
func estimate(en *simEngine, utilization float64, period, span time.Duration) Estimate {
	random := rand.New(rand.NewPCG(3, 3))
	et := NewEstimator()
	start := time.Unix(1000, 0)
	meanGap := (6610*0.2 + 1800*0.8) / en.rate / utilization
	next := time.Duration(0)
	for at := time.Duration(0); at < span; at += period + time.Duration(random.Int64N(int64(2*time.Millisecond))) {
		for next <= at {
			if random.IntN(5) == 0 {
				en.add(5382, 6610)
			} else {
				en.add(568, 1800)
			}
			next += time.Duration(random.ExpFloat64() * meanGap * float64(time.Second))
		}
		en.advance(at)
		et.Observe(en.report(start.Add(at)))
	}
	return et.Estimate()
}

// The estimates must be right for engines as slow and as fast as those in use, although their cached prompts begin with thousands of tokens
// in memory, and chunks and decode steps take turns. The load is that of deployment A: one of five prompts is long.
func TestEstimatesMatchEngines(t *testing.T) {
	for _, factor := range []float64{0.3, 0.7, 1, 1.7} {
		en := &simEngine{rate: 56_600 * factor, step: time.Duration(3.79 / factor * float64(time.Millisecond))}
		// The time per prompt token includes the decode step of each chunk.
		wantRate := 1 / (1/en.rate + en.step.Seconds()/simChunk)
		wantStep := en.step.Seconds()
		es := estimate(en, 0.6, 20*time.Millisecond, 20*time.Second)
		t.Logf("factor %.1f: %.0f tokens/s, want %.0f; %s per step, want %s", factor, es.PrefillRate(), wantRate, es.Step(), en.step)
		if math.Abs(es.PrefillRate()/wantRate-1) > 0.15 {
			t.Errorf("factor %.1f: estimated %.0f tokens per second, want %.0f", factor, es.PrefillRate(), wantRate)
		}
		if math.Abs(es.Step().Seconds()/wantStep-1) > 0.05 {
			t.Errorf("factor %.1f: estimated %s per step, want %s", factor, es.Step(), en.step)
		}
	}
}

// An engine whose memory is taken as a run begins does not show its prefill. There must be no estimate rather than a wrong one.
func TestMemoryTakenAtOnceGivesNoPrefillRate(t *testing.T) {
	et := NewEstimator()
	at := time.Unix(1000, 0)
	for i := range 400 {
		at = at.Add(20 * time.Millisecond)
		events := 0
		if i%8 > 4 {
			events = 1
		}
		et.Observe(NewReport(at, []Run{NewRun(fmt.Sprint("r", i/8), 12_000, events), NewRun("waiting", 12_000, 0)}))
	}
	if es := et.Estimate(); es.PrefillRate() != 0 {
		t.Errorf("estimated %.0f tokens per second without any growth", es.PrefillRate())
	}
}

// A prefix that a run copies from another engine grows like prefill. A few of these must not change the estimate.
func TestCopiedPrefixesDoNotCount(t *testing.T) {
	et := NewEstimator()
	at := time.Unix(1000, 0)
	for run := range 20 {
		for i := range 10 {
			at = at.Add(20 * time.Millisecond)
			tokens := 1000 * i
			if run%4 == 0 {
				tokens *= 15
			}
			et.Observe(NewReport(at, []Run{NewRun(fmt.Sprint("r", run), tokens, 0)}))
		}
	}
	if es := et.Estimate(); math.Abs(es.PrefillRate()/50_000-1) > 0.1 {
		t.Errorf("estimated %.0f tokens per second, want 50000", es.PrefillRate())
	}
}

// Reports that came late, or around a stop of the engine, must not be compared.
func TestGapsAreNotMeasured(t *testing.T) {
	et := NewEstimator()
	at := time.Unix(1000, 0)
	for i := range 100 {
		at = at.Add(20 * time.Millisecond)
		if i%5 == 0 {
			at = at.Add(time.Second)
			if i%2 == 0 {
				et.Interrupt()
			}
		}
		et.Observe(NewReport(at, []Run{NewRun("r", 1000*i, 0)}))
	}
	if es := et.Estimate(); es.PrefillRate() != 0 && math.Abs(es.PrefillRate()/50_000-1) > 0.1 {
		t.Errorf("estimated %.0f tokens per second, want 50000 or none", es.PrefillRate())
	}
}

func BenchmarkObserve(b *testing.B) {
	et := NewEstimator()
	at := time.Unix(1000, 0)
	runs := make([]Run, 64)
	for i := range b.N {
		at = at.Add(20 * time.Millisecond)
		for j := range runs {
			runs[j] = NewRun(fmt.Sprint("r", j), 100*i, j%2)
		}
		et.Observe(NewReport(at, runs))
		et.Estimate()
	}
}
