package order

import (
	"maps"
	"slices"
	"time"
)

// phase is the progress of a ticket in its ledger.
type phase int

const (
	phaseGranted phase = iota
	phaseRunning
	phaseEnded
)

// ticketEntry is the state of a ticket in the ledger.
type ticketEntry struct {
	phase     phase
	expiresAt time.Time
	rowKey    string
	report    Report
	endedAt   time.Time
	intent    Row
}

// Ledger tracks the tickets that an agent has granted. It is not safe for concurrent use: the owner serializes calls.
//
// It holds only tickets that are granted, running or ended but not yet confirmed. A sequence number that is not in the
// ledger can never be redeemed: its ticket was voided or expired before it was redeemed, its order was not sent, or its
// order is settled in the table.
type Ledger struct {
	agent       string
	incarnation uint64
	lifetime    time.Duration
	limit       int
	lastSeq     uint64
	tickets     map[uint64]*ticketEntry
}

// NewLedger returns an empty ledger. A ticket expires if it is not redeemed within lifetime; limit bounds the number of
// tickets in the ledger.
func NewLedger(agent string, incarnation uint64, lifetime time.Duration, limit int) *Ledger {
	return &Ledger{
		agent:       agent,
		incarnation: incarnation,
		lifetime:    lifetime,
		limit:       limit,
		tickets:     make(map[uint64]*ticketEntry),
	}
}

// Grant returns a new ticket, or false if the ledger is full.
func (lg *Ledger) Grant(now time.Time) (Ticket, bool) {
	lg.dropExpired(now)
	if len(lg.tickets) >= lg.limit {
		return Ticket{}, false
	}
	lg.lastSeq++
	lg.tickets[lg.lastSeq] = &ticketEntry{phase: phaseGranted, expiresAt: now.Add(lg.lifetime)}
	return NewTicket(lg.agent, lg.incarnation, lg.lastSeq), true
}

// Redeem consumes a live ticket and returns true if the caller must now run the order; key and intent identify the row
// to settle afterwards. Otherwise the report gives the reason why the order must not run.
func (lg *Ledger) Redeem(now time.Time, tk Ticket, key string, intent Row) (bool, Report) {
	if tk.incarnation != lg.incarnation {
		return false, Restarted{}
	}
	lg.dropExpired(now)
	te, ok := lg.tickets[tk.seq]
	if !ok {
		return false, NotLive{}
	}
	if te.phase != phaseGranted {
		return false, te.currentReport()
	}
	te.phase = phaseRunning
	te.rowKey = key
	te.intent = intent
	return true, Running{}
}

// Probe voids the ticket if it is live and reports its state.
func (lg *Ledger) Probe(tk Ticket) Report {
	if tk.incarnation != lg.incarnation {
		return Restarted{}
	}
	te, ok := lg.tickets[tk.seq]
	if !ok {
		return NotLive{}
	}
	if te.phase == phaseGranted {
		delete(lg.tickets, tk.seq)
		return NotLive{}
	}
	return te.currentReport()
}

// Finish records the end of an execution; rp is Answered, AnswerLost or NotSent.
func (lg *Ledger) Finish(now time.Time, tk Ticket, rp Report) {
	te, ok := lg.tickets[tk.seq]
	if !ok || te.phase != phaseRunning {
		return
	}
	if _, notSent := rp.(NotSent); notSent {
		delete(lg.tickets, tk.seq)
		return
	}
	te.phase = phaseEnded
	te.report = rp
	te.endedAt = now
}

// Confirm drops an ended ticket whose outcome is now in the table.
func (lg *Ledger) Confirm(tk Ticket) {
	te, ok := lg.tickets[tk.seq]
	if ok && tk.incarnation == lg.incarnation && te.phase == phaseEnded {
		delete(lg.tickets, tk.seq)
	}
}

// LiveCount returns the number of tickets that are granted and not expired, running, or ended but not yet confirmed.
func (lg *Ledger) LiveCount(now time.Time) int {
	lg.dropExpired(now)
	return len(lg.tickets)
}

// UnsettledOrder is an order that has ended at the agent but whose row may not be final yet.
type UnsettledOrder struct {
	key    string
	ticket Ticket
	row    Row
}

// Key returns the key of the order's row.
func (uo UnsettledOrder) Key() string { return uo.key }

// Ticket returns the ticket under which the order ran.
func (uo UnsettledOrder) Ticket() Ticket { return uo.ticket }

// Row returns the row to write; its version is the version to replace.
func (uo UnsettledOrder) Row() Row { return uo.row }

// Unsettled returns the orders that ended at or before endedBy and that are not yet confirmed, by sequence number.
func (lg *Ledger) Unsettled(endedBy time.Time) []UnsettledOrder {
	var out []UnsettledOrder
	for _, seq := range slices.Sorted(maps.Keys(lg.tickets)) {
		te := lg.tickets[seq]
		if te.phase != phaseEnded || te.endedAt.After(endedBy) {
			continue
		}
		out = append(out, UnsettledOrder{
			key:    te.rowKey,
			ticket: NewTicket(lg.agent, lg.incarnation, seq),
			row:    settledRow(te.intent, te.report),
		})
	}
	return out
}

// settledRow returns the final row of an order that ended with the report.
func settledRow(intent Row, rp Report) Row {
	if an, ok := rp.(Answered); ok {
		return intent.WithResult(an.result)
	}
	return intent.WithUnknownOutcome()
}

func (te *ticketEntry) currentReport() Report {
	if te.phase == phaseRunning {
		return Running{}
	}
	return te.report
}

// dropExpired drops the granted tickets that have expired.
func (lg *Ledger) dropExpired(now time.Time) {
	for seq, te := range lg.tickets {
		if te.phase == phaseGranted && now.After(te.expiresAt) {
			delete(lg.tickets, seq)
		}
	}
}
