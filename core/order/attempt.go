package order

import (
	"time"

	"shallotcleat/core/answer"
)

// Limits of one attempt.
const (
	// maxTickets bounds the tickets that one attempt requests, so that two attempts for one order cannot void each
	// other's tickets indefinitely.
	maxTickets = 4
	// maxWritesSent bounds how often one write is sent while its outcome is not known.
	maxWritesSent = 2
	// maxCallsWithoutReply bounds the consecutive calls that an agent does not reply to.
	maxCallsWithoutReply = 3
	// probeDelay is the delay between two probes of one ticket.
	probeDelay = 50 * time.Millisecond
	// tableRetryAfter is the retry delay returned to a caller when the table does not reply.
	tableRetryAfter = 2 * time.Second
	// agentRetryAfter is the retry delay returned to a caller when an agent does not reply or is still running the
	// order.
	agentRetryAfter = time.Second
)

// step is the event that an attempt waits for.
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

// Attempt is the state machine of one request for an order. It is not safe for concurrent use: the owner serializes
// calls of Step and Abandon.
type Attempt struct {
	id      string
	request string
	digest  string

	step step
	// base is the row as last seen in the table; the next write replaces its version.
	base Row
	// pending is the row of the write in flight.
	pending Row
	ticket  Ticket
	// redeemsSent counts the messages sent that may have redeemed the current ticket.
	redeemsSent       int
	ticketRequests    int
	writesSent        int
	callsWithoutReply int
	// refusal is the error to return if the order has not run. Once it is set, the attempt requests no ticket and only
	// determines whether the order has run.
	refusal *answer.Error
	// voidedVersion is the version of the row whose ticket was last found not to be live.
	voidedVersion uint64
}

// NewAttempt returns an attempt. The id must be globally unique, request is the caller's request id, and digest is the
// hash of the order's method, path and body.
func NewAttempt(id, request, digest string) *Attempt {
	return &Attempt{id: id, request: request, digest: digest}
}

// Step processes the event that the last effect asked for and returns the next effects. The last of these asks for the
// next event or is a Finish.
func (at *Attempt) Step(ev Event) []Effect {
	switch ev := ev.(type) {
	case Begin:
		return at.requestTicket()
	case Granted:
		return at.ticketGranted(ev.ticket)
	case Denied:
		return at.ticketDenied(ev.retryAfter)
	case Committed:
		return at.writeCommitted(ev.version)
	case Conflict:
		return at.writeConflict(ev.row)
	case WriteFailed:
		return at.writeFailed()
	case Found:
		return at.continueFrom(ev.row)
	case NotFound:
		return at.rowNotFound()
	case ReadFailed:
		return at.tableFailed()
	case Reported:
		at.callsWithoutReply = 0
		return at.reported(ev.report)
	case Unreachable:
		return at.agentUnreachable()
	case VMRemoved:
		return at.settle(at.base.WithUnknownOutcome())
	case WaitElapsed:
		return at.probe()
	}
	return nil
}

// Abandon ends the attempt because the caller's deadline has passed and returns the final effects. It may be called at
// any step.
func (at *Attempt) Abandon() []Effect {
	if at.step == stepSettle && at.pending.state == Done {
		return at.finish(at.pending, nil)
	}
	expired := at.fail(answer.DeadlineExceeded, answer.Unknown, agentRetryAfter, "order not settled before the deadline")
	if at.redeemsSent > 0 || at.ticket == (Ticket{}) {
		return expired
	}
	return append([]Effect{Void{ticket: at.ticket}}, expired...)
}

func (at *Attempt) requestTicket() []Effect {
	if at.ticketRequests >= maxTickets {
		return at.fail(answer.Overloaded, answer.Unknown, agentRetryAfter, "too many concurrent requests for this order")
	}
	at.ticketRequests++
	at.step = stepTicket
	return []Effect{RequestTicket{}}
}

func (at *Attempt) ticketGranted(tk Ticket) []Effect {
	at.ticket = tk
	at.redeemsSent = 0
	row := NewRow(Intent, at.digest, at.request, at.id, tk, Result{}, at.base.version)
	at.step = stepIntent
	return at.write(row)
}

// ticketDenied handles the refusal of a ticket. The attempt reads the row again to learn whether an earlier request
// with this key ran and whether another attempt has changed the row since it was last read.
func (at *Attempt) ticketDenied(retryAfter time.Duration) []Effect {
	at.refusal = answer.NewError(answer.Overloaded, answer.NotRun, retryAfter, "no agent of the service accepts orders at present")
	return at.read()
}

func (at *Attempt) read() []Effect {
	at.step = stepRead
	return []Effect{ReadRow{}}
}

func (at *Attempt) rowNotFound() []Effect {
	if at.refusal != nil {
		return at.finish(Row{}, at.refusal)
	}
	at.base = Row{}
	return at.requestTicket()
}

func (at *Attempt) write(row Row) []Effect {
	at.pending = row
	at.writesSent = 1
	return []Effect{WriteRow{row: row}}
}

func (at *Attempt) writeCommitted(version uint64) []Effect {
	at.base = at.pending.WithVersion(version)
	if at.step == stepIntent {
		return at.redeem()
	}
	return at.settled(at.base)
}

func (at *Attempt) redeem() []Effect {
	at.step = stepRedeem
	at.redeemsSent++
	return []Effect{Redeem{ticket: at.ticket, intent: at.base}}
}

// writeConflict handles a row that differs from the expected one. An intent row with this attempt's id and ticket means
// that an earlier send of the same write took effect and that its reply was lost.
func (at *Attempt) writeConflict(row Row) []Effect {
	if at.step == stepSettle {
		return at.settleConflict(row)
	}
	ownTicket := row.attempt == at.id && row.ticket == at.ticket
	if ownTicket && row.state == Intent {
		at.base = row
		return at.redeem()
	}
	return append([]Effect{Void{ticket: at.ticket}}, at.continueFrom(row)...)
}

// settleConflict handles a row that changed before this attempt could settle it. The answer of an execution remains
// valid; an unknown outcome is dropped if another attempt has since taken over the row.
func (at *Attempt) settleConflict(row Row) []Effect {
	if at.pending.state == Done || row.state != Intent {
		return at.settled(row)
	}
	return at.continueFrom(row)
}

func (at *Attempt) writeFailed() []Effect {
	if at.writesSent < maxWritesSent {
		at.writesSent++
		return []Effect{WriteRow{row: at.pending}}
	}
	if at.step == stepSettle {
		return at.finishSettled(at.pending)
	}
	return append([]Effect{Void{ticket: at.ticket}}, at.tableFailed()...)
}

// continueFrom determines the next step from a row in the table, regardless of which attempt wrote it.
func (at *Attempt) continueFrom(row Row) []Effect {
	at.base = row
	if row.digest != at.digest {
		return at.fail(answer.IdempotencyKeyReused, answer.NotRun, 0, "idempotency key already used for a different order")
	}
	switch row.state {
	case Done:
		return at.finish(row, nil)
	case Unknown:
		return at.finishUnknown()
	}
	if at.refusal != nil && row.version == at.voidedVersion {
		return at.finish(Row{}, at.refusal)
	}
	at.step = stepProbeOther
	return []Effect{Probe{ticket: row.ticket}}
}

// tableFailed ends the attempt with an unknown outcome, since an earlier request with this key may have run the order.
func (at *Attempt) tableFailed() []Effect {
	return at.fail(answer.TableUnavailable, answer.Unknown, tableRetryAfter,
		"table service does not reply; retry with the same idempotency key")
}

func (at *Attempt) finishUnknown() []Effect {
	return at.fail(answer.ServerFailed, answer.Unknown, 0,
		"backend server or its agent failed while running the order; the order will not be run again")
}

func (at *Attempt) reported(rp Report) []Effect {
	switch rp := rp.(type) {
	case Answered:
		return at.settle(at.base.WithResult(rp.result))
	case Running:
		return at.orderRunning()
	case AnswerLost:
		return at.settle(at.base.WithUnknownOutcome())
	case Restarted:
		return at.agentRestarted()
	case NotSent:
		return at.orderNotSent()
	case NotLive:
		return at.ticketNotLive()
	}
	return nil
}

// ticketNotLive handles the report that a ticket is not live. The cause may be that the order is done by now, so the
// next write, or the answer that the order did not run, is valid only for the row version read before the probe. If the
// attempt's own ticket is not live, another attempt has voided it and will take over the row.
func (at *Attempt) ticketNotLive() []Effect {
	if at.step != stepProbeOther {
		return at.read()
	}
	at.voidedVersion = at.base.version
	if at.refusal != nil {
		return at.read()
	}
	return at.requestTicket()
}

// orderNotSent handles an order that did not run under the attempt's own ticket. The ticket is consumed; the attempt
// requests another one while the limit allows.
func (at *Attempt) orderNotSent() []Effect {
	if at.ticketRequests < maxTickets {
		return at.requestTicket()
	}
	at.refusal = answer.NewError(answer.ServerUnreachable, answer.NotRun, agentRetryAfter, "backend server unreachable")
	at.voidedVersion = at.base.version
	return at.read()
}

// agentRestarted handles the report that the agent restarted after it granted the ticket. Only the attempt that owns a
// ticket may redeem it, so if its only Redeem message is refused with this report, the order did not run under the
// ticket.
func (at *Attempt) agentRestarted() []Effect {
	if at.step == stepRedeem && at.redeemsSent == 1 {
		return at.orderNotSent()
	}
	return at.settle(at.base.WithUnknownOutcome())
}

func (at *Attempt) orderRunning() []Effect {
	return []Effect{Wait{delay: probeDelay}}
}

func (at *Attempt) agentUnreachable() []Effect {
	at.callsWithoutReply++
	if at.step == stepRedeem {
		at.step = stepProbeOwn
	}
	if at.callsWithoutReply >= maxCallsWithoutReply {
		return at.fail(answer.AgentUnreachable, answer.Unknown, agentRetryAfter, "agent that may have run the order does not reply")
	}
	return []Effect{Wait{delay: probeDelay}}
}

// probe asks the agent again for the state of the ticket in the row.
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

// settled notifies the agent that the row is final, so that it may drop the answer, and ends the attempt.
func (at *Attempt) settled(row Row) []Effect {
	confirm := Confirm{ticket: at.pending.ticket}
	return append([]Effect{confirm}, at.finishSettled(row)...)
}

func (at *Attempt) finishSettled(row Row) []Effect {
	// The agent's answer is valid even if another attempt has meanwhile recorded an unknown outcome.
	if at.pending.state == Done {
		return at.finish(at.pending, nil)
	}
	if row.state == Done {
		return at.finish(row, nil)
	}
	return at.finishUnknown()
}

func (at *Attempt) fail(code answer.Code, oc answer.Outcome, retryAfter time.Duration, message string) []Effect {
	return at.finish(Row{}, answer.NewError(code, oc, retryAfter, "%s", message))
}

func (at *Attempt) finish(row Row, er *answer.Error) []Effect {
	at.step = stepEnd
	return []Effect{Finish{row: row, err: er}}
}
