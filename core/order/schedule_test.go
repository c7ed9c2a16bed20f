package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotcleat/core/answer"
)

// simRequest is one request for an order at one entry.
type simRequest struct {
	sm      *simulation
	key     string
	digest  string
	id      string
	entry   int
	attempt *Attempt
	// lastRead is the virtual time at which this request last read the table.
	lastRead time.Time
	ended    bool
	onEnd    func(requestEnd)
}

// startRequest starts a request; onEnd is called once unless the entry crashes.
func (sm *simulation) startRequest(key, digest string, entry int, onEnd func(requestEnd)) {
	sm.attemptCount++
	id := fmt.Sprintf("attempt-%d", sm.attemptCount)
	rq := &simRequest{sm: sm, key: key, digest: digest, id: id, entry: entry,
		attempt: NewAttempt(id, "request-"+id, digest), onEnd: onEnd}
	sm.after(simRequestTimeout, func() {
		if !rq.ended {
			rq.performEffects(rq.attempt.Abandon())
		}
	})
	rq.performEffects(rq.attempt.Step(Begin{}))
}

// eventSink returns a function that passes the event for an effect to the attempt: only the first one, and none after
// the end of the request.
func (rq *simRequest) eventSink() func(Event) {
	delivered := false
	return func(ev Event) {
		if delivered || rq.ended {
			return
		}
		delivered = true
		if rq.sm.entryDown[rq.entry] && !rq.sm.faultFree {
			rq.ended = true
			return
		}
		rq.performEffects(rq.attempt.Step(ev))
	}
}

func (rq *simRequest) performEffects(effects []Effect) {
	sm := rq.sm
	for _, ef := range effects {
		switch ef := ef.(type) {
		case RequestTicket:
			rq.requestTicket(rq.eventSink())
		case ReadRow:
			sm.read(rq.key, rq.eventSink(), func() { rq.lastRead = sm.now() })
		case WriteRow:
			sm.write(rq.key, ef.Row(), rq.eventSink())
		case Redeem:
			rq.redeem(ef, rq.eventSink())
		case Probe:
			rq.probe(ef.Ticket(), rq.eventSink())
		case Void:
			rq.probe(ef.Ticket(), func(Event) {})
		case Confirm:
			ag := sm.agentOf(ef.Ticket())
			sm.call(ag, func(func(Event)) { ag.ledger.Confirm(ef.Ticket()) }, func(Event) {})
		case Wait:
			sink := rq.eventSink()
			sm.after(ef.Delay(), func() { sink(WaitElapsed{}) })
		case Finish:
			rq.finish(ef)
		}
	}
}

func (rq *simRequest) requestTicket(sink func(Event)) {
	sm := rq.sm
	sink = sm.once(sink, NewDenied(time.Second))
	ag := sm.agents[sm.rng.IntN(2)]
	sm.call(ag, func(reply func(Event)) {
		tk, ok := ag.ledger.Grant(sm.now())
		if !ok {
			reply(NewDenied(time.Second))
			return
		}
		reply(NewGranted(tk))
	}, sink)
}

func (rq *simRequest) redeem(rd Redeem, sink func(Event)) {
	sm := rq.sm
	sink = sm.once(sink, Unreachable{})
	ag := sm.agentOf(rd.Ticket())
	sm.call(ag, func(reply func(Event)) {
		run, rp := ag.ledger.Redeem(sm.now(), sm.presentedTicket(ag, rd.Ticket()), rq.key, rd.Intent())
		if !run {
			reply(NewReported(rp))
			return
		}
		sm.runOrder(ag, rq.key, rd, reply)
	}, sink)
}

func (rq *simRequest) probe(tk Ticket, sink func(Event)) {
	sm := rq.sm
	sink = sm.once(sink, Unreachable{})
	ag := sm.agentOf(tk)
	sm.call(ag, func(reply func(Event)) { reply(NewReported(sm.probeLedger(ag, tk))) }, sink)
}

func (rq *simRequest) finish(fn Finish) {
	rq.ended = true
	rq.sm.checkAnswer(rq, fn)
	rq.onEnd(requestEnd{row: fn.Row(), err: fn.Err()})
}

// checkAnswer checks the answer to a caller against the executions at the services, now and one minute later.
func (sm *simulation) checkAnswer(rq *simRequest, fn Finish) {
	er := fn.Err()
	if er == nil {
		sm.outcomes["done"]++
		want := rq.key + "|" + rq.digest + "|"
		if !strings.HasPrefix(fn.Row().Result().Body(), want) {
			sm.violation("%s of %s: unexpected answer %q", rq.id, rq.key, fn.Row().Result().Body())
		}
		if len(sm.executions[rq.key]) != 1 {
			sm.violation("%s of %s: reported done, executed %d times", rq.id, rq.key, len(sm.executions[rq.key]))
		}
		return
	}
	sm.outcomes[string(er.Outcome())+" "+string(er.Code())]++
	if er.Outcome() != answer.NotRun {
		return
	}
	for _, ex := range sm.executions[rq.key] {
		if ex.digest == rq.digest && !ex.at.After(rq.lastRead) {
			sm.violation("%s of %s: reported not run (%s), executed earlier by %s", rq.id, rq.key, er.Code(), ex.attempt)
		}
	}
	sm.after(time.Minute, func() {
		if sm.executedBy(rq.key, rq.id) {
			sm.violation("%s of %s: reported not run (%s), executed by this request", rq.id, rq.key, er.Code())
		}
	})
}

// retryUntilSettled requests an order until it is settled or the faults end, at most attempts times.
func (sm *simulation) retryUntilSettled(key, digest string, attempts int) {
	if attempts == 0 || sm.faultFree {
		return
	}
	finished := false
	retry := func() {
		if !finished {
			finished = true
			sm.after(time.Duration(sm.rng.IntN(1500))*time.Millisecond, func() { sm.retryUntilSettled(key, digest, attempts-1) })
		}
	}
	sm.after(simRequestTimeout+time.Second, retry) // The entry crashed.
	sm.startRequest(key, digest, sm.rng.IntN(2), func(re requestEnd) {
		settled := re.err == nil || re.err.RetryAfter() == 0
		if !settled {
			retry()
		}
		finished = true
	})
}

// runSchedule simulates one seeded schedule: several orders, each requested by one or two concurrent callers, under
// faults; then each order is requested once more without faults.
func runSchedule(seed uint64, mut mutation) *simulation {
	sm := newSimulation(seed)
	sm.mutation = mut
	sm.injectFaults()
	const orders = 4
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		callers := 1 + sm.rng.IntN(2)
		for range callers {
			sm.after(time.Duration(sm.rng.IntN(5000))*time.Millisecond, func() { sm.retryUntilSettled(key, "body", 4) })
		}
		if sm.rng.IntN(4) == 0 {
			sm.after(time.Duration(sm.rng.IntN(9000))*time.Millisecond, func() { sm.retryUntilSettled(key, "other", 2) })
		}
	}
	sm.advance(simFaultSpan)
	sm.faultFree = true
	sm.advance(30 * time.Second)
	for i := range orders {
		sm.requestAfterFaults(fmt.Sprintf("order-%d", i))
		sm.advance(2 * simRequestTimeout) // Sequential, so that no request exceeds an agent's ticket limit.
	}
	sm.advance(2 * time.Minute)
	for key, executions := range sm.executions {
		if len(executions) > 1 {
			sm.violation("%s: executed %d times: %v", key, len(executions), executions)
		}
	}
	return sm
}

// requestAfterFaults requests an order after all faults have ended and checks that the answer is final.
func (sm *simulation) requestAfterFaults(key string) {
	executionsBefore := len(sm.executions[key])
	digest := "body"
	if row, ok := sm.rows[key]; ok {
		digest = row.Digest()
	}
	answered := false
	sm.startRequest(key, digest, 0, func(re requestEnd) {
		answered = true
		switch {
		case re.err == nil, re.err.Outcome() == answer.Unknown && re.err.RetryAfter() == 0:
		default:
			sm.violation("%s: not settled after all faults have ended: %v", key, re.err)
		}
	})
	sm.after(time.Minute, func() {
		if !answered {
			sm.violation("%s: no answer after all faults have ended", key)
		}
		if sm.everWritten[key] && executionsBefore == 1 && sm.rows[key].State() == Intent {
			sm.violation("%s: executed but not settled", key)
		}
	})
}

// scheduleCount is the number of seeded schedules that the test runs.
const scheduleCount = 10_000

func TestSchedules(t *testing.T) {
	t.Parallel()
	outcomes := make(map[string]int)
	for seed := range uint64(scheduleCount) {
		sm := runSchedule(seed, "")
		if len(sm.violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, strings.Join(sm.violations, "\n"))
		}
		for name, count := range sm.outcomes {
			outcomes[name] += count
		}
	}
	t.Logf("outcomes of %d schedules: %v", scheduleCount, outcomes)
}
