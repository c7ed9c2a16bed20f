package order

import (
	"time"

	"shallotcleat/core/answer"
)

// Effect is an output of an Attempt. Each effect asks for exactly one event, except Void, Confirm and Finish, which ask
// for none.
type Effect interface{ isEffect() }

// RequestTicket asks an agent of the service for a ticket.
type RequestTicket struct{}

// ReadRow asks the table for the order's row.
type ReadRow struct{}

// WriteRow asks the table to store the row if the stored row still has the same version.
type WriteRow struct{ row Row }

// Row returns the row to store. Its version is the version to replace, or zero if the table must hold no row.
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

// Probe asks the ticket's agent to report the state of the ticket and to void it if it is live.
type Probe struct{ ticket Ticket }

// Ticket returns the ticket to probe.
func (pr Probe) Ticket() Ticket { return pr.ticket }

// Void notifies the ticket's agent that the ticket will not be redeemed. Delivery is best effort.
type Void struct{ ticket Ticket }

// Ticket returns the ticket to void.
func (vd Void) Ticket() Ticket { return vd.ticket }

// Confirm notifies the ticket's agent that the row is settled. Delivery is best effort.
type Confirm struct{ ticket Ticket }

// Ticket returns the ticket under which the order ran.
func (cf Confirm) Ticket() Ticket { return cf.ticket }

// Wait asks for a WaitElapsed event after a delay.
type Wait struct{ delay time.Duration }

// Delay returns the time to wait.
func (wt Wait) Delay() time.Duration { return wt.delay }

// Finish carries the result or error to return to the caller. It is the last effect of an attempt.
type Finish struct {
	row Row
	err *answer.Error
}

// Row returns the row that holds the result; it is valid only if Err is nil.
func (fn Finish) Row() Row { return fn.row }

// Err returns the error to report to the caller, or nil if there is a result.
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
