package order

import "time"

// Event is an input of an Attempt.
type Event interface{ isEvent() }

// Begin starts the attempt.
type Begin struct{}

// Granted says that an agent granted a ticket.
type Granted struct{ ticket Ticket }

// NewGranted returns the event of a granted ticket.
func NewGranted(tk Ticket) Granted { return Granted{ticket: tk} }

// Denied says that no agent grants a ticket now.
type Denied struct{ retryAfter time.Duration }

// NewDenied returns the event of a refusal; retryAfter is when a ticket may be had.
func NewDenied(retryAfter time.Duration) Denied { return Denied{retryAfter: retryAfter} }

// Committed says that the last WriteRow took effect.
type Committed struct{ version uint64 }

// NewCommitted returns the event of a write that took effect with the row's new version.
func NewCommitted(version uint64) Committed { return Committed{version: version} }

// Conflict says that the last WriteRow did not take effect now, since the table holds another version of the row.
type Conflict struct{ row Row }

// NewConflict returns the event of a refused write with the row that the table holds.
func NewConflict(row Row) Conflict { return Conflict{row: row} }

// WriteFailed says that it is not known whether the last WriteRow took effect.
type WriteFailed struct{}

// Found says that the last ReadRow found the row.
type Found struct{ row Row }

// NewFound returns the event of a row that was read.
func NewFound(row Row) Found { return Found{row: row} }

// Row returns the row that was read.
func (fd Found) Row() Row { return fd.row }

// Absent says that the last ReadRow found no row.
type NotFound struct{}

// ReadFailed says that the table did not answer the last ReadRow.
type ReadFailed struct{}

// Reported carries an agent's report on the ticket of the last Redeem or Probe.
type Reported struct{ report Report }

// NewReported returns the event of an agent's report.
func NewReported(rp Report) Reported { return Reported{report: rp} }

// Unreached says that the agent of the last Redeem or Probe gave no answer.
type Unreachable struct{}

// Gone says that the agent of the last Redeem or Probe gave no answer and that its VM does not exist any more.
type VMRemoved struct{}

// Woken reports the end of the last Wait.
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
