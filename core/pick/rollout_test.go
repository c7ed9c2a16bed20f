package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/scope"
	"shallotcleat/core/weight"
)

// The rollout tests simulate gates, engines and a load scheduler in virtual time while new weights are loaded. An engine
// prefills one prompt after another and then runs its call, which holds memory until it ends; it loads weights when its
// calls have ended.
const (
	rolloutEngines         = 24
	rolloutGates           = 12
	rolloutTokensPerSecond = 90_000
	rolloutMemoryTokens    = 160_000
	rolloutLoadTime        = 1300 * time.Millisecond
	rolloutOldWeightsGrace = 12 * time.Second
	// rolloutTimeLimit is the users' limit from the announcement until nine tenths of the engines have new weights.
	rolloutTimeLimit = 17 * time.Second
	// rolloutAnnounceTime is when in the simulation the new weights are announced.
	rolloutAnnounceTime = 2 * time.Second
	rolloutTarget       = 500 * time.Millisecond
)

type rolloutCall struct {
	attempt *Attempt
	tokens  int
	run     time.Duration
	// sentAt is zero for calls that are not counted.
	sentAt time.Time
	// end is when a running call ends.
	end time.Time
}

type rolloutEngine struct {
	id      string
	version uint64
	down    bool
	// shortOnly is set while the engine takes short calls only, unavailable while it takes none. loading is set from its
	// load order to the end of the load, which is at loadEnd.
	shortOnly, unavailable, loading bool
	loadEnd                         time.Time
	waiting, running                []*rolloutCall
	credit                          float64
}

func (en *rolloutEngine) usedMemory() int {
	total := 0
	for _, call := range en.running {
		total += call.tokens
	}
	return total
}

type rollout struct {
	now       time.Time
	random    *rand.Rand
	gates     []*Picker
	engines   []*rolloutEngine
	scheduler *weight.Scheduler
	// drainOnly makes engines take no calls at all where they should take short ones.
	drainOnly              bool
	callCount, inTimeCount int
}

func newRollout(drainOnly bool) *rollout {
	ro := &rollout{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)),
		scheduler: weight.NewScheduler(rolloutOldWeightsGrace), drainOnly: drainOnly}
	rg := fleet.NewRegistry()
	for i := range rolloutEngines {
		id := fmt.Sprint("engine-", i)
		ro.engines = append(ro.engines, &rolloutEngine{id: id, version: 1, down: i%4 == 0})
		rg.Put(fleet.NewServer(id, fmt.Sprint("10.0.0.1:", 1000+i), "a", "chat", 64, false, 1, map[string]uint64{testModel: 1}))
	}
	for i := range rolloutGates {
		pk := New("a", rolloutOldWeightsGrace, uint64(i+1))
		pk.SetView(rg.View())
		pk.SetSenders(rolloutGates, rolloutGates)
		ro.gates = append(ro.gates, pk)
	}
	return ro
}

// run advances the simulation by span while rate calls arrive per second, a sixth of which run for seconds.
func (ro *rollout) run(rate float64, span time.Duration) {
	accrued := 0.0
	begin := ro.now
	for ; ro.now.Sub(begin) < span; ro.now = ro.now.Add(simStep) {
		since := ro.now.Sub(begin)
		if since == rolloutAnnounceTime {
			for _, pk := range ro.gates {
				pk.SetTargetVersion(ro.now, testModel, 2)
			}
		}
		if since%simReportInterval == 0 {
			ro.report()
		}
		for accrued += rate * simStep.Seconds(); accrued >= 1; accrued-- {
			ro.sendCall(since > rolloutAnnounceTime)
		}
		for _, en := range ro.engines {
			if en.down {
				continue
			}
			ro.serve(en)
			if since >= rolloutAnnounceTime && since%(20*time.Millisecond) == 0 {
				ro.tend(en)
			}
		}
	}
}

func (ro *rollout) report() {
	for _, en := range ro.engines {
		for _, pk := range ro.gates {
			if en.down {
				pk.MarkDown(ro.now, en.id)
				continue
			}
			pk.SetWeights(ro.now, en.id, testModel, en.version, en.unavailable || en.loading)
			pk.SetShortOnly(ro.now, en.id, en.shortOnly)
			free := max(rolloutMemoryTokens-en.usedMemory(), 0)
			pk.SetUtilization(en.id, NewUtilization(len(en.running)+len(en.waiting), len(en.waiting), free, rolloutMemoryTokens, ro.now))
		}
	}
}

func (ro *rollout) sendCall(counted bool) {
	tokens, output, run := 2000, 20, 150*time.Millisecond
	if ro.random.IntN(6) == 0 {
		tokens, output, run = 10_000, 400, time.Duration(1500+ro.random.IntN(3000))*time.Millisecond
	}
	cl := NewCall("chat", testModel, scope.Scope{}, []Part{NewPart("own", tokens)}, tokens, true).WithOutput(output)
	pk := ro.gates[ro.random.IntN(len(ro.gates))]
	if counted {
		ro.callCount++
	}
	ch, ok := pk.Choose(ro.now, cl, nil)
	if !ok {
		return
	}
	for _, en := range ro.engines {
		if en.id == ch.Server().ID() && !en.down && !en.loading {
			call := &rolloutCall{attempt: pk.StartAttempt(ro.now, cl, ch), tokens: tokens + output, run: run, sentAt: ro.now}
			if !counted {
				call.sentAt = time.Time{}
			}
			en.waiting = append(en.waiting, call)
		}
	}
}

func (ro *rollout) serve(en *rolloutEngine) {
	stillRunning := en.running[:0]
	for _, call := range en.running {
		if call.end.After(ro.now) {
			stillRunning = append(stillRunning, call)
		} else {
			call.attempt.End(ro.now, Served)
		}
	}
	en.running = stillRunning
	if en.loading && len(en.running) == 0 {
		if en.loadEnd.IsZero() {
			en.loadEnd = ro.now.Add(rolloutLoadTime)
		} else if !ro.now.Before(en.loadEnd) {
			en.version, en.loading, en.unavailable, en.shortOnly = 2, false, false, false
			ro.scheduler.MarkInService(en.id)
		}
	}
	en.credit += rolloutTokensPerSecond * simStep.Seconds()
	for len(en.waiting) > 0 && en.credit >= float64(en.waiting[0].tokens) &&
		en.usedMemory()+en.waiting[0].tokens <= rolloutMemoryTokens {
		call := en.waiting[0]
		en.waiting = en.waiting[1:]
		en.credit -= float64(call.tokens)
		call.attempt.MarkFirstEvent(ro.now)
		call.end = ro.now.Add(call.run)
		en.running = append(en.running, call)
		if !call.sentAt.IsZero() && ro.now.Sub(call.sentAt) <= rolloutTarget {
			ro.inTimeCount++
		}
	}
	if len(en.waiting) == 0 {
		en.credit = 0
	}
}

// tend acts as the tender of an engine with old weights.
func (ro *rollout) tend(en *rolloutEngine) {
	if en.version == 2 || en.loading {
		return
	}
	request := weight.NewLoadRequest(en.id, "chat", "a", en.version, len(en.running)+len(en.waiting))
	request = request.WithStaleness(ro.gates[0].StaleFor(ro.now, testModel, en.version))
	switch ro.scheduler.Grant(ro.now, request, ro.gates[0].CountAvailable(ro.now, "chat")) {
	case weight.KeepServing:
		en.shortOnly, en.unavailable = false, false
	case weight.ShortOnly:
		en.shortOnly, en.unavailable = !ro.drainOnly, ro.drainOnly
	case weight.Drain:
		en.shortOnly, en.unavailable = false, true
	case weight.Load:
		en.shortOnly, en.unavailable, en.loading = false, true, true
		// An engine rejects the calls that it has not started when it receives its load order.
		for _, call := range en.waiting {
			call.attempt.End(ro.now, Rejected)
		}
		en.waiting = nil
	}
}

// New weights are announced under a heavy load, while a quarter of the engines is down and a sixth of the calls run for
// seconds. Engines that wait for their long calls to end must continue to serve short ones.
func TestRolloutKeepsShortCallsServed(t *testing.T) {
	run := func(drainOnly bool) (inTime float64, staleCount int) {
		ro := newRollout(drainOnly)
		ro.run(12*rolloutEngines, rolloutAnnounceTime+rolloutTimeLimit)
		for _, en := range ro.engines {
			if !en.down && en.version != 2 {
				staleCount++
			}
		}
		return float64(ro.inTimeCount) / float64(ro.callCount), staleCount
	}
	noCalls, noCallsStaleCount := run(true)
	shortCalls, staleCount := run(false)
	t.Logf("first event within the target: %.3f, %.3f if engines take no calls before they load; engines with old weights: %d, %d",
		shortCalls, noCalls, staleCount, noCallsStaleCount)
	if shortCalls <= noCalls {
		t.Errorf("%.3f of the calls had a first event within the target, %.3f if engines take no calls before they load",
			shortCalls, noCalls)
	}
	if staleCount > rolloutEngines/10 {
		t.Errorf("%d engines still have old weights after %s", staleCount, rolloutTimeLimit)
	}
}
