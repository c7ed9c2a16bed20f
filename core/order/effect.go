package order

import (
	"time"

	"shallotcleat/core/answer"
)

// Effect is an output of an Attempt. Each asks for exactly one event, but for Void, Confirm and Finish, which ask for
// none.
type Effect interface{ isEffect() }

// AskTicket asks an agent of the service for a ticket.
type RequestTicket struct{}

// ReadRow asks the table for the order's row.
type ReadRow struct{}

// WriteRow asks the table to store the row if the stored one still has the version of the given one.
type WriteRow struct{ row Row }

// Row returns the row to store; its version is the one that is to be replaced, zero for none.
func (wr WriteRow) Row() Row { return wr.row }

// Redeem asks the ticket's agent to run the order.
type Redeem struct {
	ticket Ticket
	intent Row
}

// Ticket returns the ticket to redeem.
func (rd Redeem) Ticket() Ticket { return rd.ticket }

// Intent returns the committed row that names the ticket.
func (rd Redeem) Intent() Row { return rd.intent }

// Probe asks the ticket's agent what became of the ticket, and to void it if it is live.
type Probe struct{ ticket Ticket }

// Ticket returns the ticket in question.
func (pr Probe) Ticket() Ticket { return pr.ticket }

// Void tells the ticket's agent that the ticket will not be redeemed; its loss does no harm.
type Void struct{ ticket Ticket }

// Ticket returns the ticket to void.
func (vd Void) Ticket() Ticket { return vd.ticket }

// Confirm tells the ticket's agent that the row is settled; its loss does no harm.
type Confirm struct{ ticket Ticket }

// Ticket returns the ticket that is settled.
func (cf Confirm) Ticket() Ticket { return cf.ticket }

// Wait asks to be woken after a time.
type Wait struct{ delay time.Duration }

// Delay returns how long to wait.
func (wt Wait) Delay() time.Duration { return wt.delay }

// Finish answers the caller; it is the last effect of an attempt.
type Finish struct {
	row Row
	err *answer.Error
}

// Row returns the row whose result is the answer, if Err is nil.
func (fn Finish) Row() Row { return fn.row }

// Err returns the reason why there is no result, or nil.
func (fn Finish) Err() *answer.Error { return fn.err }

func (RequestTicket) isEffect() {}
func (ReadRow) isEffect()       {}
func (WriteRow) isEffect()      {}
func (Redeem) isEffect()        {}
func (Probe) isEffect()         {}
func (Void) isEffect()          {}
func (Confirm) isEffect()       {}
func (Wait) isEffect()          {}
func (Finish) isEffect()        {}
