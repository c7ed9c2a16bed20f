package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shallotcleat/core/answer"
)

// request is one request for an order at one entry.
type simRequest struct {
	wd      *world
	key     string
	digest  string
	id      string
	entry   int
	attempt *Attempt
	// lastRead is when the table was last seen by this request.
	lastRead time.Time
	ended    bool
	tell     func(said)
}

// send begins a request; tell is called once unless the entry dies.
func (wd *world) send(key, digest string, entry int, tell func(said)) {
	wd.attempts++
	id := fmt.Sprintf("attempt-%d", wd.attempts)
	rq := &simRequest{wd: wd, key: key, digest: digest, id: id, entry: entry, attempt: NewAttempt(id, "request-"+id, digest), tell: tell}
	wd.after(simPatience, func() {
		if !rq.ended {
			rq.perform(rq.attempt.Abandon())
		}
	})
	rq.perform(rq.attempt.Step(Begin{}))
}

// next returns what feeds the reply to an effect back; only one event may come, and none after the end.
func (rq *simRequest) next() func(Event) {
	given := false
	return func(ev Event) {
		if given || rq.ended {
			return
		}
		given = true
		if rq.wd.entryDown[rq.entry] && !rq.wd.calm {
			rq.ended = true
			return
		}
		rq.perform(rq.attempt.Step(ev))
	}
}

func (rq *simRequest) perform(effects []Effect) {
	wd := rq.wd
	for _, ef := range effects {
		switch ef := ef.(type) {
		case RequestTicket:
			rq.askTicket(rq.next())
		case ReadRow:
			wd.read(rq.key, rq.next(), func() { rq.lastRead = wd.now() })
		case WriteRow:
			wd.write(rq.key, ef.Row(), rq.next())
		case Redeem:
			rq.redeem(ef, rq.next())
		case Probe:
			rq.probe(ef.Ticket(), rq.next())
		case Void:
			rq.probe(ef.Ticket(), func(Event) {})
		case Confirm:
			ag := wd.agentOf(ef.Ticket())
			wd.call(ag, func(func(Event)) { ag.ledger.Confirm(ef.Ticket()) }, func(Event) {})
		case Wait:
			next := rq.next()
			wd.after(ef.Delay(), func() { next(WaitElapsed{}) })
		case Finish:
			rq.finish(ef)
		}
	}
}

func (rq *simRequest) askTicket(next func(Event)) {
	wd := rq.wd
	next = wd.once(next, NewDenied(time.Second))
	ag := wd.agents[wd.rng.IntN(2)]
	wd.call(ag, func(reply func(Event)) {
		tk, ok := ag.ledger.Grant(wd.now())
		if !ok {
			reply(NewDenied(time.Second))
			return
		}
		reply(NewGranted(tk))
	}, next)
}

func (rq *simRequest) redeem(rd Redeem, next func(Event)) {
	wd := rq.wd
	next = wd.once(next, Unreachable{})
	ag := wd.agentOf(rd.Ticket())
	wd.call(ag, func(reply func(Event)) {
		run, rp := ag.ledger.Redeem(wd.now(), wd.adapt(ag, rd.Ticket()), rq.key, rd.Intent())
		if !run {
			reply(NewReported(rp))
			return
		}
		wd.execute(ag, rq.key, rd, reply)
	}, next)
}

func (rq *simRequest) probe(tk Ticket, next func(Event)) {
	wd := rq.wd
	next = wd.once(next, Unreachable{})
	ag := wd.agentOf(tk)
	wd.call(ag, func(reply func(Event)) { reply(NewReported(wd.probeAt(ag, tk))) }, next)
}

func (rq *simRequest) finish(fn Finish) {
	rq.ended = true
	rq.wd.checkAnswer(rq, fn)
	rq.tell(said{row: fn.Row(), err: fn.Err()})
}

// checkAnswer compares what a caller is told with what the services have run so far.
func (wd *world) checkAnswer(rq *simRequest, fn Finish) {
	er := fn.Err()
	if er == nil {
		wd.answers["done"]++
		want := rq.key + "|" + rq.digest + "|"
		if !strings.HasPrefix(fn.Row().Result().Body(), want) {
			wd.fault("%s of %s got the answer %q", rq.id, rq.key, fn.Row().Result().Body())
		}
		if len(wd.runs[rq.key]) != 1 {
			wd.fault("%s of %s was told done, it ran %d times", rq.id, rq.key, len(wd.runs[rq.key]))
		}
		return
	}
	wd.answers[string(er.Outcome())+" "+string(er.Code())]++
	if er.Outcome() != answer.NotRun {
		return
	}
	for _, rn := range wd.runs[rq.key] {
		if rn.digest == rq.digest && !rn.at.After(rq.lastRead) {
			wd.fault("%s of %s was told not run (%s), it ran by %s", rq.id, rq.key, er.Code(), rn.attempt)
		}
	}
	wd.after(time.Minute, func() {
		if wd.ran(rq.key, rq.id) {
			wd.fault("%s of %s was told not run (%s), and then ran", rq.id, rq.key, er.Code())
		}
	})
}

// caller asks for an order again and again until it is settled, or its patience is over.
func (wd *world) caller(key, digest string, tries int) {
	if tries == 0 || wd.calm {
		return
	}
	answered := false
	again := func() {
		if !answered {
			answered = true
			wd.after(time.Duration(wd.rng.IntN(1500))*time.Millisecond, func() { wd.caller(key, digest, tries-1) })
		}
	}
	wd.after(simPatience+time.Second, again) // The entry died.
	wd.send(key, digest, wd.rng.IntN(2), func(sd said) {
		settled := sd.err == nil || sd.err.RetryAfter() == 0
		if !settled {
			again()
		}
		answered = true
	})
}

// playSchedule plays one seeded schedule: some orders, each by one or two callers at once, under failures; then a calm
// time in which each order is asked for once more.
func playSchedule(seed uint64, guard sabotage) *world {
	wd := newWorld(seed)
	wd.guard = guard
	wd.fail()
	const orders = 4
	for i := range orders {
		key := fmt.Sprintf("order-%d", i)
		callers := 1 + wd.rng.IntN(2)
		for range callers {
			wd.after(time.Duration(wd.rng.IntN(5000))*time.Millisecond, func() { wd.caller(key, "body", 4) })
		}
		if wd.rng.IntN(4) == 0 {
			wd.after(time.Duration(wd.rng.IntN(9000))*time.Millisecond, func() { wd.caller(key, "other", 2) })
		}
	}
	wd.advance(simFailureTime)
	wd.calm = true
	wd.advance(30 * time.Second)
	for i := range orders {
		wd.lastCall(fmt.Sprintf("order-%d", i))
		wd.advance(2 * simPatience) // One after the other, so that an agent's limit of tickets refuses none.
	}
	wd.advance(2 * time.Minute)
	for key, runs := range wd.runs {
		if len(runs) > 1 {
			wd.fault("%s ran %d times: %v", key, len(runs), runs)
		}
	}
	return wd
}

// lastCall asks for an order when all failures are over; the answer must be final.
func (wd *world) lastCall(key string) {
	runsBefore := len(wd.runs[key])
	digest := "body"
	if row, ok := wd.rows[key]; ok {
		digest = row.Digest()
	}
	told := false
	wd.send(key, digest, 0, func(sd said) {
		told = true
		switch {
		case sd.err == nil, sd.err.Outcome() == answer.Unknown && sd.err.RetryAfter() == 0:
		default:
			wd.fault("%s is not settled when all failures are over: %v", key, sd.err)
		}
	})
	wd.after(time.Minute, func() {
		if !told {
			wd.fault("%s got no answer when all failures are over", key)
		}
		if wd.accepted[key] && runsBefore == 1 && wd.rows[key].State() == Intent {
			wd.fault("%s ran and is not settled", key)
		}
	})
}

// schedules is how many seeded schedules CI plays.
const schedules = 10_000

func TestSchedules(t *testing.T) {
	t.Parallel()
	answers := make(map[string]int)
	for seed := range uint64(schedules) {
		wd := playSchedule(seed, "")
		if len(wd.faults) > 0 {
			t.Fatalf("seed %d:\n%s", seed, strings.Join(wd.faults, "\n"))
		}
		for name, count := range wd.answers {
			answers[name] += count
		}
	}
	t.Logf("answers in %d schedules: %v", schedules, answers)
}
