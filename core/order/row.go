package order

// State is the state of an order as recorded in its row.
type State string

// States of a row; Done and Unknown are final.
const (
	// Intent means that a ticket may be redeemed for the order, or has been.
	Intent State = "intent"
	// Done means that the order ran and its answer is in the row.
	Done State = "done"
	// Unknown means that it cannot be determined whether the order ran; it never runs again.
	Unknown State = "unknown"
)

// Ticket is an agent's permission to run one order on it; it is valid only within the agent's incarnation.
type Ticket struct {
	agent       string
	incarnation uint64
	seq         uint64
}

// NewTicket returns a ticket; agent is the address of the agent that granted it and seq its sequence number within the
// incarnation.
func NewTicket(agent string, incarnation, seq uint64) Ticket {
	return Ticket{agent: agent, incarnation: incarnation, seq: seq}
}

// Agent returns the address of the agent that granted the ticket.
func (tk Ticket) Agent() string { return tk.agent }

// Incarnation returns the incarnation of the agent that granted the ticket.
func (tk Ticket) Incarnation() uint64 { return tk.incarnation }

// Seq returns the ticket's sequence number within the incarnation.
func (tk Ticket) Seq() uint64 { return tk.seq }

// Result is a backend server's answer to an order.
type Result struct {
	status int
	body   string
}

// NewResult returns a result with the HTTP status and body that the backend server sent.
func NewResult(status int, body string) Result { return Result{status: status, body: body} }

// Status returns the HTTP status that the backend server sent.
func (rs Result) Status() int { return rs.status }

// Body returns the body that the backend server sent.
func (rs Result) Body() string { return rs.body }

// Row is the record of an order in the table, one per order; it is immutable.
type Row struct {
	state   State
	digest  string
	request string
	attempt string
	ticket  Ticket
	result  Result
	version uint64
}

// NewRow returns a row. The version is the one that the table holds, or zero for a row that is not in the table.
func NewRow(state State, digest, request, attempt string, tk Ticket, rs Result, version uint64) Row {
	return Row{state: state, digest: digest, request: request, attempt: attempt, ticket: tk, result: rs, version: version}
}

// State returns the state of the order.
func (rw Row) State() State { return rw.state }

// Digest returns the hash of the order's method, path and body.
func (rw Row) Digest() string { return rw.digest }

// Request returns the id of the request to which the order is charged.
func (rw Row) Request() string { return rw.request }

// Attempt returns the id of the attempt that owns the ticket.
func (rw Row) Attempt() string { return rw.attempt }

// Ticket returns the ticket that may be redeemed for the order.
func (rw Row) Ticket() Ticket { return rw.ticket }

// Result returns the backend server's answer; it is valid only in state Done.
func (rw Row) Result() Result { return rw.result }

// Version returns the table's version of the row, or zero for a row that is not in the table.
func (rw Row) Version() uint64 { return rw.version }

// WithVersion returns the row with the version that the table assigned to it.
func (rw Row) WithVersion(version uint64) Row {
	rw.version = version
	return rw
}

// WithResult returns the row in state Done with the backend server's answer.
func (rw Row) WithResult(rs Result) Row {
	rw.state = Done
	rw.result = rs
	return rw
}

// WithUnknownOutcome returns the row in state Unknown.
func (rw Row) WithUnknownOutcome() Row {
	rw.state = Unknown
	return rw
}
