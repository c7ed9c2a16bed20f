package order

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/clock"
)

// world runs the real attempts and ledgers in virtual time, with a table and services that fail by a seeded schedule.
type world struct {
	rng   *rand.Rand
	clock *clock.Virtual

	rows      map[string]Row
	tableDown bool
	agents    [2]*simAgent
	entryDown [2]bool
	// calm ends all failures.
	calm bool
	// guard is the guard of the protocol that is removed, if any.
	guard sabotage

	runs     map[string][]run
	accepted map[string]bool
	faults   []string
	answers  map[string]int
	attempts int
}

// run is one execution at a service.
type run struct {
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
	simTimeout        = 300 * time.Millisecond
	simPatience       = 4 * time.Second
	simSettlePeriod   = 500 * time.Millisecond
	simFailureTime    = 20 * time.Second
)

func newWorld(seed uint64) *world {
	wd := &world{
		rng:      rand.New(rand.NewPCG(seed, 0)),
		clock:    clock.NewVirtual(time.Unix(1_000_000, 0)),
		rows:     make(map[string]Row),
		runs:     make(map[string][]run),
		accepted: make(map[string]bool),
		answers:  make(map[string]int),
	}
	for i := range wd.agents {
		wd.agents[i] = &simAgent{name: fmt.Sprintf("agent-%d", i)}
		wd.rebirth(wd.agents[i])
		wd.after(simSettlePeriod, func() { wd.settleLoop(wd.agents[i]) })
	}
	return wd
}

func (wd *world) rebirth(ag *simAgent) {
	ag.incarnation++
	ag.down = false
	ag.ledger = NewLedger(ag.name, ag.incarnation, simTicketLifetime, simTicketLimit)
}

func (wd *world) after(delay time.Duration, call func()) { wd.clock.After(delay, call) }

// advance runs the world for a time.
func (wd *world) advance(span time.Duration) { wd.clock.Advance(span) }

func (wd *world) now() time.Time { return wd.clock.Now() }

func (wd *world) chance(percent int) bool { return !wd.calm && wd.rng.IntN(100) < percent }

// delay is a message's way; a few messages take longer than any time limit.
func (wd *world) delay() time.Duration {
	if wd.chance(3) {
		return time.Duration(wd.rng.IntN(5000)) * time.Millisecond
	}
	return time.Duration(wd.rng.IntN(20)+1) * time.Millisecond
}

func (wd *world) fault(format string, args ...any) {
	wd.faults = append(wd.faults, fmt.Sprintf(format, args...))
}

// fail schedules one failure by chance and the next round of failures.
func (wd *world) fail() {
	if wd.calm {
		return
	}
	span := time.Duration(wd.rng.IntN(3000)) * time.Millisecond
	switch wd.rng.IntN(6) {
	case 0:
		wd.tableDown = true
		wd.after(span, func() { wd.tableDown = false })
	case 1, 2:
		ag := wd.agents[wd.rng.IntN(2)]
		ag.down = true
		wd.after(span, func() { wd.rebirth(ag) })
	case 3:
		ag := wd.agents[wd.rng.IntN(2)]
		ag.pausedUntil = wd.now().Add(span)
	case 4:
		at := wd.rng.IntN(2)
		wd.entryDown[at] = true
		wd.after(span, func() { wd.entryDown[at] = false })
	}
	wd.after(time.Duration(wd.rng.IntN(2000))*time.Millisecond, wd.fail)
}

// settleLoop is the agent's own settling of rows, as package agent does it.
func (wd *world) settleLoop(ag *simAgent) {
	wd.after(simSettlePeriod, func() { wd.settleLoop(ag) })
	if ag.down || wd.now().Before(ag.pausedUntil) {
		return
	}
	ledger := ag.ledger
	for _, us := range ledger.Unsettled(wd.now().Add(-simSettlePeriod)) {
		wd.write(us.Key(), us.Row(), func(ev Event) {
			if _, failed := ev.(WriteFailed); !failed && ag.ledger == ledger {
				ledger.Confirm(us.Ticket())
			}
		})
	}
}

// write sends a write to the table; the reply may be lost after the effect, and the write may come late.
func (wd *world) write(key string, row Row, reply func(Event)) {
	once := wd.once(reply, WriteFailed{})
	if wd.chance(5) {
		return
	}
	wd.after(wd.delay(), func() {
		if wd.tableDown && !wd.calm {
			wd.after(wd.delay(), func() { once(WriteFailed{}) })
			return
		}
		ev := wd.commit(key, row)
		if !wd.chance(8) {
			wd.after(wd.delay(), func() { once(ev) })
		}
	})
}

func (wd *world) commit(key string, row Row) Event {
	stored, ok := wd.rows[key]
	if stored.Version() != row.Version() && !wd.moves(row) {
		if !ok {
			return WriteFailed{}
		}
		return NewConflict(stored)
	}
	wd.rows[key] = row.WithVersion(stored.Version() + 1)
	wd.accepted[key] = true
	return NewCommitted(stored.Version() + 1)
}

// once returns a reply that is given a single time, with the given event if nothing else comes in time.
func (wd *world) once(reply func(Event), late Event) func(Event) {
	given := false
	give := func(ev Event) {
		if !given {
			given = true
			reply(ev)
		}
	}
	wd.after(simTimeout, func() { give(late) })
	return give
}

func (wd *world) read(key string, reply func(Event), seen func()) {
	once := wd.once(reply, ReadFailed{})
	wd.after(wd.delay(), func() {
		if wd.tableDown && !wd.calm {
			once(ReadFailed{})
			return
		}
		seen()
		row, ok := wd.rows[key]
		var ev Event = NotFound{}
		if ok {
			ev = NewFound(row)
		}
		wd.after(wd.delay(), func() { once(ev) })
	})
}

// call sends a message to an agent; deliver acts on it and may answer with a report.
func (wd *world) call(ag *simAgent, deliver func(answer func(Event)), reply func(Event)) {
	if wd.chance(5) {
		return
	}
	arrive := wd.delay()
	if ag.pausedUntil.After(wd.now()) {
		arrive += ag.pausedUntil.Sub(wd.now())
	}
	wd.after(arrive, func() {
		if ag.down {
			return
		}
		deliver(func(ev Event) {
			if !wd.chance(5) {
				wd.after(wd.delay(), func() { reply(ev) })
			}
		})
	})
}

func (wd *world) agentOf(tk Ticket) *simAgent {
	for _, ag := range wd.agents {
		if ag.name == tk.Agent() {
			return ag
		}
	}
	panic("no agent " + tk.Agent())
}

// execute runs the order at the agent's service.
func (wd *world) execute(ag *simAgent, key string, rd Redeem, reply func(Event)) {
	ledger := ag.ledger
	finish := func(rp Report) {
		if ag.ledger != ledger {
			return
		}
		ledger.Finish(wd.now(), rd.Ticket(), rp)
		wd.ended(ag, rd.Ticket())
		reply(NewReported(rp))
	}
	if wd.chance(7) {
		wd.after(wd.delay(), func() { finish(NotSent{}) })
		return
	}
	took := time.Duration(wd.rng.IntN(400)) * time.Millisecond
	wd.after(wd.delay(), func() {
		if !wd.chance(4) {
			wd.runs[key] = append(wd.runs[key], run{attempt: rd.Intent().Attempt(), digest: rd.Intent().Digest(), at: wd.now()})
		}
		broken := wd.chance(8)
		wd.after(took, func() {
			if broken || !wd.ran(key, rd.Intent().Attempt()) {
				finish(AnswerLost{})
				return
			}
			finish(NewAnswered(NewResult(201, key+"|"+rd.Intent().Digest()+"|"+rd.Intent().Attempt())))
		})
	})
}

func (wd *world) ran(key, attempt string) bool {
	for _, rn := range wd.runs[key] {
		if rn.attempt == attempt {
			return true
		}
	}
	return false
}

// said is the end of a request as its caller sees it.
type said struct {
	row Row
	err *answer.Error
}
