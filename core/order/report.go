package order

// Report is the state of a ticket as its agent reports it: one of NotLive, NotSent, Running, Answered, AnswerLost and
// Restarted.
type Report interface{ isReport() }

// NotLive reports that the ticket can never be redeemed: it was voided or has expired, its order was not sent, or its
// outcome is in the row.
type NotLive struct{}

// NotSent reports that the ticket was redeemed but that no byte of the order reached the backend server.
type NotSent struct{}

// Running reports that the backend server has not answered the order yet.
type Running struct{}

// Answered carries the backend server's answer to the order.
type Answered struct{ result Result }

// NewAnswered returns a report with the backend server's answer.
func NewAnswered(rs Result) Answered { return Answered{result: rs} }

// Result returns the backend server's answer.
func (an Answered) Result() Result { return an.result }

// AnswerLost reports that the backend server may have run the order but that its answer was lost.
type AnswerLost struct{}

// Restarted reports that the agent has restarted since it granted the ticket: the incarnations differ.
type Restarted struct{}

func (NotLive) isReport()    {}
func (NotSent) isReport()    {}
func (Running) isReport()    {}
func (Answered) isReport()   {}
func (AnswerLost) isReport() {}
func (Restarted) isReport()  {}
