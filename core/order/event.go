package order

import "time"

// Event is an input of an Attempt.
type Event interface{ isEvent() }

// Begin is the first event of an attempt.
type Begin struct{}

// Granted reports that an agent granted a ticket.
type Granted struct{ ticket Ticket }

// NewGranted returns the event for a granted ticket.
func NewGranted(tk Ticket) Granted { return Granted{ticket: tk} }

// Denied reports that no agent grants a ticket at present.
type Denied struct{ retryAfter time.Duration }

// NewDenied returns the event for a refused ticket; retryAfter is the retry delay.
func NewDenied(retryAfter time.Duration) Denied { return Denied{retryAfter: retryAfter} }

// Committed reports that the last WriteRow took effect.
type Committed struct{ version uint64 }

// NewCommitted returns the event for a write that took effect; version is the row's new version.
func NewCommitted(version uint64) Committed { return Committed{version: version} }

// Conflict reports that the last WriteRow had no effect, since the table holds another version of the row. An earlier
// send of the same write may have taken effect.
type Conflict struct{ row Row }

// NewConflict returns the event for a refused write; row is the stored row.
func NewConflict(row Row) Conflict { return Conflict{row: row} }

// WriteFailed reports that it is not known whether the last WriteRow took effect.
type WriteFailed struct{}

// Found reports that the last ReadRow found the row.
type Found struct{ row Row }

// NewFound returns the event for a row that was read.
func NewFound(row Row) Found { return Found{row: row} }

// Row returns the row that was read.
func (fd Found) Row() Row { return fd.row }

// NotFound reports that the last ReadRow found no row.
type NotFound struct{}

// ReadFailed reports that the table did not reply to the last ReadRow.
type ReadFailed struct{}

// Reported carries an agent's report on the ticket of the last Redeem or Probe.
type Reported struct{ report Report }

// NewReported returns the event for an agent's report.
func NewReported(rp Report) Reported { return Reported{report: rp} }

// Unreachable reports that the agent of the last Redeem or Probe did not reply.
type Unreachable struct{}

// VMRemoved reports that the agent of the last Redeem or Probe did not reply and that its VM no longer exists.
type VMRemoved struct{}

// WaitElapsed reports that the delay of the last Wait has elapsed.
type WaitElapsed struct{}

func (Begin) isEvent()       {}
func (Granted) isEvent()     {}
func (Denied) isEvent()      {}
func (Committed) isEvent()   {}
func (Conflict) isEvent()    {}
func (WriteFailed) isEvent() {}
func (Found) isEvent()       {}
func (NotFound) isEvent()    {}
func (ReadFailed) isEvent()  {}
func (Reported) isEvent()    {}
func (Unreachable) isEvent() {}
func (VMRemoved) isEvent()   {}
func (WaitElapsed) isEvent() {}
