package order

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/clock"
)

// simulation runs real attempts and ledgers in virtual time against a simulated table, agents and services that fail by
// a seeded schedule.
type simulation struct {
	rng   *rand.Rand
	clock *clock.Virtual

	rows      map[string]Row
	tableDown bool
	agents    [2]*simAgent
	entryDown [2]bool
	// faultFree disables all faults.
	faultFree bool
	// mutation is the change to the protocol under test, or empty for the unmodified protocol.
	mutation mutation

	executions   map[string][]execution
	everWritten  map[string]bool
	violations   []string
	outcomes     map[string]int
	attemptCount int
}

// execution is one execution of an order at a service.
type execution struct {
	attempt string
	digest  string
	at      time.Time
}

type simAgent struct {
	ledger      *Ledger
	name        string
	incarnation uint64
	down        bool
	pausedUntil time.Time
}

const (
	simTicketLifetime = 2 * time.Second
	simTicketLimit    = 3
	simReplyTimeout   = 300 * time.Millisecond
	simRequestTimeout = 4 * time.Second
	simSettlePeriod   = 500 * time.Millisecond
	simFaultSpan      = 20 * time.Second
)

func newSimulation(seed uint64) *simulation {
	sm := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 0)),
		clock:       clock.NewVirtual(time.Unix(1_000_000, 0)),
		rows:        make(map[string]Row),
		executions:  make(map[string][]execution),
		everWritten: make(map[string]bool),
		outcomes:    make(map[string]int),
	}
	for i := range sm.agents {
		sm.agents[i] = &simAgent{name: fmt.Sprintf("agent-%d", i)}
		sm.restart(sm.agents[i])
		sm.after(simSettlePeriod, func() { sm.settlePeriodically(sm.agents[i]) })
	}
	return sm
}

func (sm *simulation) restart(ag *simAgent) {
	ag.incarnation++
	ag.down = false
	ag.ledger = NewLedger(ag.name, ag.incarnation, simTicketLifetime, simTicketLimit)
}

func (sm *simulation) after(delay time.Duration, call func()) { sm.clock.After(delay, call) }

// advance runs the simulation for a span of virtual time.
func (sm *simulation) advance(span time.Duration) { sm.clock.Advance(span) }

func (sm *simulation) now() time.Time { return sm.clock.Now() }

func (sm *simulation) faultOccurs(percent int) bool {
	return !sm.faultFree && sm.rng.IntN(100) < percent
}

// delay returns the delivery delay of a message; a few are longer than every timeout.
func (sm *simulation) delay() time.Duration {
	if sm.faultOccurs(3) {
		return time.Duration(sm.rng.IntN(5000)) * time.Millisecond
	}
	return time.Duration(sm.rng.IntN(20)+1) * time.Millisecond
}

func (sm *simulation) violation(format string, args ...any) {
	sm.violations = append(sm.violations, fmt.Sprintf(format, args...))
}

// injectFaults draws at most one fault and schedules the next draw.
func (sm *simulation) injectFaults() {
	if sm.faultFree {
		return
	}
	span := time.Duration(sm.rng.IntN(3000)) * time.Millisecond
	switch sm.rng.IntN(6) {
	case 0:
		sm.tableDown = true
		sm.after(span, func() { sm.tableDown = false })
	case 1, 2:
		ag := sm.agents[sm.rng.IntN(2)]
		ag.down = true
		sm.after(span, func() { sm.restart(ag) })
	case 3:
		ag := sm.agents[sm.rng.IntN(2)]
		ag.pausedUntil = sm.now().Add(span)
	case 4:
		entry := sm.rng.IntN(2)
		sm.entryDown[entry] = true
		sm.after(span, func() { sm.entryDown[entry] = false })
	}
	sm.after(time.Duration(sm.rng.IntN(2000))*time.Millisecond, sm.injectFaults)
}

// settlePeriodically writes the final rows of the agent's unsettled orders, as package agent does.
func (sm *simulation) settlePeriodically(ag *simAgent) {
	sm.after(simSettlePeriod, func() { sm.settlePeriodically(ag) })
	if ag.down || sm.now().Before(ag.pausedUntil) {
		return
	}
	ledger := ag.ledger
	for _, uo := range ledger.Unsettled(sm.now().Add(-simSettlePeriod)) {
		sm.write(uo.Key(), uo.Row(), func(ev Event) {
			if _, failed := ev.(WriteFailed); !failed && ag.ledger == ledger {
				ledger.Confirm(uo.Ticket())
			}
		})
	}
}

// write sends a write to the table. The write may be lost or delayed, and the reply may be lost after it took effect.
func (sm *simulation) write(key string, row Row, reply func(Event)) {
	replyOnce := sm.once(reply, WriteFailed{})
	if sm.faultOccurs(5) {
		return
	}
	sm.after(sm.delay(), func() {
		if sm.tableDown && !sm.faultFree {
			sm.after(sm.delay(), func() { replyOnce(WriteFailed{}) })
			return
		}
		ev := sm.commit(key, row)
		if !sm.faultOccurs(8) {
			sm.after(sm.delay(), func() { replyOnce(ev) })
		}
	})
}

func (sm *simulation) commit(key string, row Row) Event {
	stored, ok := sm.rows[key]
	if stored.Version() != row.Version() && !sm.skipsVersionCheck(row) {
		if !ok {
			return WriteFailed{}
		}
		return NewConflict(stored)
	}
	sm.rows[key] = row.WithVersion(stored.Version() + 1)
	sm.everWritten[key] = true
	return NewCommitted(stored.Version() + 1)
}

// once returns a function that passes only the first event to reply. If none has come after simReplyTimeout, reply
// receives timeoutEvent.
func (sm *simulation) once(reply func(Event), timeoutEvent Event) func(Event) {
	delivered := false
	pass := func(ev Event) {
		if !delivered {
			delivered = true
			reply(ev)
		}
	}
	sm.after(simReplyTimeout, func() { pass(timeoutEvent) })
	return pass
}

func (sm *simulation) read(key string, reply func(Event), onRead func()) {
	replyOnce := sm.once(reply, ReadFailed{})
	sm.after(sm.delay(), func() {
		if sm.tableDown && !sm.faultFree {
			replyOnce(ReadFailed{})
			return
		}
		onRead()
		row, ok := sm.rows[key]
		var ev Event = NotFound{}
		if ok {
			ev = NewFound(row)
		}
		sm.after(sm.delay(), func() { replyOnce(ev) })
	})
}

// call sends a message to an agent; deliver processes it and may send an event back.
func (sm *simulation) call(ag *simAgent, deliver func(respond func(Event)), reply func(Event)) {
	if sm.faultOccurs(5) {
		return
	}
	latency := sm.delay()
	if ag.pausedUntil.After(sm.now()) {
		latency += ag.pausedUntil.Sub(sm.now())
	}
	sm.after(latency, func() {
		if ag.down {
			return
		}
		deliver(func(ev Event) {
			if !sm.faultOccurs(5) {
				sm.after(sm.delay(), func() { reply(ev) })
			}
		})
	})
}

func (sm *simulation) agentOf(tk Ticket) *simAgent {
	for _, ag := range sm.agents {
		if ag.name == tk.Agent() {
			return ag
		}
	}
	panic("no agent " + tk.Agent())
}

// runOrder runs the order at the agent's service, which may fail before, during or after the execution.
func (sm *simulation) runOrder(ag *simAgent, key string, rd Redeem, reply func(Event)) {
	ledger := ag.ledger
	finish := func(rp Report) {
		if ag.ledger != ledger {
			return
		}
		ledger.Finish(sm.now(), rd.Ticket(), rp)
		sm.afterExecution(ag, rd.Ticket())
		reply(NewReported(rp))
	}
	if sm.faultOccurs(7) {
		sm.after(sm.delay(), func() { finish(NotSent{}) })
		return
	}
	duration := time.Duration(sm.rng.IntN(400)) * time.Millisecond
	sm.after(sm.delay(), func() {
		if !sm.faultOccurs(4) {
			sm.executions[key] = append(sm.executions[key],
				execution{attempt: rd.Intent().Attempt(), digest: rd.Intent().Digest(), at: sm.now()})
		}
		answerLost := sm.faultOccurs(8)
		sm.after(duration, func() {
			if answerLost || !sm.executedBy(key, rd.Intent().Attempt()) {
				finish(AnswerLost{})
				return
			}
			finish(NewAnswered(NewResult(201, key+"|"+rd.Intent().Digest()+"|"+rd.Intent().Attempt())))
		})
	})
}

func (sm *simulation) executedBy(key, attempt string) bool {
	for _, ex := range sm.executions[key] {
		if ex.attempt == attempt {
			return true
		}
	}
	return false
}

// requestEnd is the result of a request as its caller receives it.
type requestEnd struct {
	row Row
	err *answer.Error
}
