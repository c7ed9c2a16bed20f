package order

// Report is what an agent tells of a ticket; it is one of NotLive, NotSent, Running, Answered, Broken and Reborn.
type Report interface{ isReport() }

// NotLive says that the ticket can never be redeemed: it was voided or has expired, or its answer is in the row.
type NotLive struct{}

// NotSent says that the ticket was redeemed but that no byte of the order reached the backend server.
type NotSent struct{}

// Running says that the backend server has not answered the order yet.
type Running struct{}

// Answered carries the backend server's answer to the order.
type Answered struct{ result Result }

// NewAnswered returns a report with the backend server's answer.
func NewAnswered(rs Result) Answered { return Answered{result: rs} }

// Result returns the backend server's answer.
func (an Answered) Result() Result { return an.result }

// Broken says that the backend server may have run the order but that its answer was lost.
type AnswerLost struct{}

// Reborn says that the agent that granted the ticket is gone: the agent that answers has another incarnation.
type Restarted struct{}

func (NotLive) isReport()    {}
func (NotSent) isReport()    {}
func (Running) isReport()    {}
func (Answered) isReport()   {}
func (AnswerLost) isReport() {}
func (Restarted) isReport()  {}
