package order

import (
	"time"

	"shallotcleat/core/answer"
)

// Limits of one attempt.
const (
	// maxTickets bounds the tickets that one attempt takes, so that two attempts for one order cannot void each
	// other's tickets for ever.
	maxTickets = 4
	// maxWrites bounds the tries of one write whose reply is lost.
	maxWrites = 2
	// maxUnreached bounds the probes that an agent leaves unanswered in a row.
	maxUnreached = 3
	// probeDelay is the time between two probes of one ticket.
	probeDelay = 50 * time.Millisecond
	// tableRetryAfter is when a caller should come back after the table did not answer.
	tableRetryAfter = 2 * time.Second
	// agentRetryAfter is when a caller should come back after an agent did not answer or is still at work.
	agentRetryAfter = time.Second
)

// step is what an attempt waits for.
type step int

const (
	stepTicket step = iota
	stepIntent
	stepRedeem
	stepProbeOwn
	stepProbeOther
	stepRead
	stepSettle
	stepEnd
)

// Attempt drives one request for an order; its owner serialises the calls of Step.
type Attempt struct {
	id      string
	request string
	digest  string

	step step
	// base is the row as it was last seen in the table; its version is what the next write replaces.
	base Row
	// pending is the row of the write that is under way.
	pending Row
	ticket  Ticket
	// redeems counts the messages that may have redeemed the current ticket.
	redeems   int
	tickets   int
	writes    int
	unreached int
	// refused is set when no agent grants a ticket; the attempt then only finds out whether the order has run.
	refused *answer.Error
	// voided is the version of the row whose ticket was last found dead.
	voided uint64
}

// NewAttempt returns an attempt; id must never be used by another attempt, request is the caller's request id and
// digest the hash of the order's method, path and body.
func NewAttempt(id, request, digest string) *Attempt {
	return &Attempt{id: id, request: request, digest: digest}
}

// Step takes the event that the last effect asked for and returns the next effects; the last of them asks for the
// next event or is a Finish.
func (at *Attempt) Step(ev Event) []Effect {
	switch ev := ev.(type) {
	case Begin:
		return at.askTicket()
	case Granted:
		return at.granted(ev.ticket)
	case Denied:
		return at.denied(ev.retryAfter)
	case Committed:
		return at.committed(ev.version)
	case Conflict:
		return at.conflict(ev.row)
	case WriteFailed:
		return at.writeFailed()
	case Found:
		return at.follow(ev.row)
	case NotFound:
		return at.absent()
	case ReadFailed:
		return at.tableFailed()
	case Reported:
		at.unreached = 0
		return at.reported(ev.report)
	case Unreachable:
		return at.agentUnreached()
	case VMRemoved:
		return at.settle(at.base.WithUnknownOutcome())
	case WaitElapsed:
		return at.probe()
	}
	return nil
}

// Abandon returns the effects of an attempt whose caller's deadline has passed, whatever it waits for.
func (at *Attempt) Abandon() []Effect {
	if at.step == stepSettle && at.pending.state == Done {
		return at.finish(at.pending, nil)
	}
	expired := at.fail(answer.Expired, answer.Unknown, agentRetryAfter, "the order was not settled in time")
	if at.redeems > 0 || at.ticket == (Ticket{}) {
		return expired
	}
	return append([]Effect{Void{ticket: at.ticket}}, expired...)
}

func (at *Attempt) askTicket() []Effect {
	if at.tickets >= maxTickets {
		return at.fail(answer.Overloaded, answer.Unknown, agentRetryAfter, "other requests compete for this order")
	}
	at.tickets++
	at.step = stepTicket
	return []Effect{RequestTicket{}}
}

func (at *Attempt) granted(tk Ticket) []Effect {
	at.ticket = tk
	at.redeems = 0
	row := NewRow(Intent, at.digest, at.request, at.id, tk, Result{}, at.base.version)
	at.step = stepIntent
	return at.write(row)
}

// denied ends the attempt without a ticket. The row has to tell whether an earlier request with this key ran, and
// whether another attempt has gone on since it was last read.
func (at *Attempt) denied(retryAfter time.Duration) []Effect {
	at.refused = answer.NewError(answer.Overloaded, answer.NotRun, retryAfter, "no agent of the service takes orders now")
	return at.read()
}

func (at *Attempt) read() []Effect {
	at.step = stepRead
	return []Effect{ReadRow{}}
}

func (at *Attempt) absent() []Effect {
	if at.refused != nil {
		return at.finish(Row{}, at.refused)
	}
	at.base = Row{}
	return at.askTicket()
}

func (at *Attempt) write(row Row) []Effect {
	at.pending = row
	at.writes = 1
	return []Effect{WriteRow{row: row}}
}

func (at *Attempt) committed(version uint64) []Effect {
	at.base = at.pending.WithVersion(version)
	if at.step == stepIntent {
		return at.redeem()
	}
	return at.settled(at.base)
}

func (at *Attempt) redeem() []Effect {
	at.step = stepRedeem
	at.redeems++
	return []Effect{Redeem{ticket: at.ticket, intent: at.base}}
}

// conflict handles a row that differs from the expected one. A row with this attempt's id shows that an earlier try
// of the same write took effect and that its reply was lost.
func (at *Attempt) conflict(row Row) []Effect {
	if at.step == stepSettle {
		return at.settleConflict(row)
	}
	ownTicket := row.attempt == at.id && row.ticket == at.ticket
	if ownTicket && row.state == Intent {
		at.base = row
		return at.redeem()
	}
	return append([]Effect{Void{ticket: at.ticket}}, at.follow(row)...)
}

// settleConflict handles a row that changed before this attempt could settle it. A run's answer stays true; a verdict
// that the order is lost gives way to an attempt that knows better.
func (at *Attempt) settleConflict(row Row) []Effect {
	if at.pending.state == Done || row.state != Intent {
		return at.settled(row)
	}
	return at.follow(row)
}

func (at *Attempt) writeFailed() []Effect {
	if at.writes < maxWrites {
		at.writes++
		return []Effect{WriteRow{row: at.pending}}
	}
	if at.step == stepSettle {
		return at.finishSettled(at.pending)
	}
	return append([]Effect{Void{ticket: at.ticket}}, at.tableFailed()...)
}

// follow goes on from a row that was read, whichever attempt wrote it.
func (at *Attempt) follow(row Row) []Effect {
	at.base = row
	if row.digest != at.digest {
		return at.fail(answer.KeyReused, answer.NotRun, 0, "this idempotency key was used for another order")
	}
	switch row.state {
	case Done:
		return at.finish(row, nil)
	case Unknown:
		return at.lost()
	}
	if at.refused != nil && row.version == at.voided {
		return at.finish(Row{}, at.refused)
	}
	at.step = stepProbeOther
	return []Effect{Probe{ticket: row.ticket}}
}

// tableFailed ends the attempt without a claim: an earlier request with this key may have run the order.
func (at *Attempt) tableFailed() []Effect {
	return at.fail(answer.TableUnavailable, answer.Unknown, tableRetryAfter,
		"the table service does not answer; ask again with the same key")
}

func (at *Attempt) lost() []Effect {
	return at.fail(answer.ServerFailed, answer.Unknown, 0,
		"the backend server or its agent failed during the order; it will not be run again")
}

func (at *Attempt) reported(rp Report) []Effect {
	switch rp := rp.(type) {
	case Answered:
		return at.settle(at.base.WithResult(rp.result))
	case Running:
		return at.stillRunning()
	case AnswerLost:
		return at.settle(at.base.WithUnknownOutcome())
	case Restarted:
		return at.reborn()
	case NotSent:
		return at.notSent()
	case NotLive:
		return at.notLive()
	}
	return nil
}

// notLive goes on after a ticket was found dead. It may be dead because its order is done by now, hence the version of
// the row, which was read before the probe, guards whatever follows: the move to another ticket, or the word that the
// order did not run. An own ticket that is dead was voided by another attempt, which moves the row.
func (at *Attempt) notLive() []Effect {
	if at.step != stepProbeOther {
		return at.read()
	}
	at.voided = at.base.version
	if at.refused != nil {
		return at.read()
	}
	return at.askTicket()
}

// notSent goes on after the order did not run under the own ticket, which is used up.
func (at *Attempt) notSent() []Effect {
	if at.tickets < maxTickets {
		return at.askTicket()
	}
	at.refused = answer.NewError(answer.ServerUnreached, answer.NotRun, agentRetryAfter, "the backend server cannot be reached")
	at.voided = at.base.version
	return at.read()
}

// reborn goes on after the agent's incarnation was found to be over. Only the ticket's own attempt may redeem it, so
// if its one message was refused with this report, the order did not run under this ticket.
func (at *Attempt) reborn() []Effect {
	if at.step == stepRedeem && at.redeems == 1 {
		return at.notSent()
	}
	return at.settle(at.base.WithUnknownOutcome())
}

func (at *Attempt) stillRunning() []Effect {
	return []Effect{Wait{delay: probeDelay}}
}

func (at *Attempt) agentUnreached() []Effect {
	at.unreached++
	if at.step == stepRedeem {
		at.step = stepProbeOwn
	}
	if at.unreached >= maxUnreached {
		return at.fail(answer.AgentUnreached, answer.Unknown, agentRetryAfter, "the agent that may have run the order does not answer")
	}
	return []Effect{Wait{delay: probeDelay}}
}

// probe asks again about the ticket that the row names.
func (at *Attempt) probe() []Effect {
	if at.step == stepRedeem {
		at.step = stepProbeOwn
	}
	return []Effect{Probe{ticket: at.base.ticket}}
}

func (at *Attempt) settle(row Row) []Effect {
	at.step = stepSettle
	return at.write(row)
}

// settled confirms the row to the agent, which may now forget the answer.
func (at *Attempt) settled(row Row) []Effect {
	confirm := Confirm{ticket: at.pending.ticket}
	return append([]Effect{confirm}, at.finishSettled(row)...)
}

func (at *Attempt) finishSettled(row Row) []Effect {
	// The agent's answer is true even if another attempt has meanwhile declared the order lost.
	if at.pending.state == Done {
		return at.finish(at.pending, nil)
	}
	if row.state == Done {
		return at.finish(row, nil)
	}
	return at.lost()
}

func (at *Attempt) fail(code answer.Code, oc answer.Outcome, retryAfter time.Duration, message string) []Effect {
	return at.finish(Row{}, answer.NewError(code, oc, retryAfter, "%s", message))
}

func (at *Attempt) finish(row Row, er *answer.Error) []Effect {
	at.step = stepEnd
	return []Effect{Finish{row: row, err: er}}
}
