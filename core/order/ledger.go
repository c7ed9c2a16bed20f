package order

import (
	"maps"
	"slices"
	"time"
)

// phase is the progress of a ticket within its agent.
type phase int

const (
	granted phase = iota
	running
	held
)

// ticketEntry is a ticket that the agent still remembers.
type ticketEntry struct {
	phase   phase
	expires time.Time
	row     string
	report  Report
	since   time.Time
	intent  Row
}

// Ledger is an agent's memory of the tickets that it granted; its owner serialises the calls.
//
// Its size is bounded by the tickets that are granted, running or held. A number that it does not remember was voided
// or has expired before it was redeemed, or its order is settled in the table; it can never be redeemed.
type Ledger struct {
	agent       string
	incarnation uint64
	lifetime    time.Duration
	limit       int
	lastSeq     uint64
	tickets     map[uint64]*ticketEntry
}

// NewLedger returns an empty ledger; lifetime bounds the wait for the redemption and limit the remembered tickets.
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
	lg.expire(now)
	if len(lg.tickets) >= lg.limit {
		return Ticket{}, false
	}
	lg.lastSeq++
	lg.tickets[lg.lastSeq] = &ticketEntry{phase: granted, expires: now.Add(lg.lifetime)}
	return NewTicket(lg.agent, lg.incarnation, lg.lastSeq), true
}

// Redeem consumes a live ticket and returns true if the caller must now run the order; the key and the intent say
// which row has to become done. Otherwise the report says why the order does not run.
func (lg *Ledger) Redeem(now time.Time, tk Ticket, key string, intent Row) (bool, Report) {
	if tk.incarnation != lg.incarnation {
		return false, Restarted{}
	}
	lg.expire(now)
	te, ok := lg.tickets[tk.seq]
	if !ok {
		return false, NotLive{}
	}
	if te.phase != granted {
		return false, te.status()
	}
	te.phase = running
	te.row = key
	te.intent = intent
	return true, Running{}
}

// Probe voids the ticket if it is live and reports what became of it.
func (lg *Ledger) Probe(tk Ticket) Report {
	if tk.incarnation != lg.incarnation {
		return Restarted{}
	}
	te, ok := lg.tickets[tk.seq]
	if !ok {
		return NotLive{}
	}
	if te.phase == granted {
		delete(lg.tickets, tk.seq)
		return NotLive{}
	}
	return te.status()
}

// Finish records the end of a run; rp is Answered, Broken or NotSent.
func (lg *Ledger) Finish(now time.Time, tk Ticket, rp Report) {
	te, ok := lg.tickets[tk.seq]
	if !ok || te.phase != running {
		return
	}
	if _, notSent := rp.(NotSent); notSent {
		delete(lg.tickets, tk.seq)
		return
	}
	te.phase = held
	te.report = rp
	te.since = now
}

// Confirm forgets a report that the row in the table holds by now.
func (lg *Ledger) Confirm(tk Ticket) {
	te, ok := lg.tickets[tk.seq]
	if ok && tk.incarnation == lg.incarnation && te.phase == held {
		delete(lg.tickets, tk.seq)
	}
}

// Live returns the number of tickets that are not over: granted and not expired, running, or held.
func (lg *Ledger) LiveCount(now time.Time) int {
	lg.expire(now)
	return len(lg.tickets)
}

// Unsettled is an order that has ended at the agent but whose row may not say so yet.
type UnsettledOrder struct {
	key    string
	ticket Ticket
	row    Row
}

// Key returns the key of the order's row.
func (us UnsettledOrder) Key() string { return us.key }

// Ticket returns the ticket under which the order ran.
func (us UnsettledOrder) Ticket() Ticket { return us.ticket }

// Row returns the row that has to be written, with the version that it replaces.
func (us UnsettledOrder) Row() Row { return us.row }

// Unsettled returns the orders that ended at or before a time and whose rows no entry has confirmed since.
func (lg *Ledger) Unsettled(before time.Time) []UnsettledOrder {
	var out []UnsettledOrder
	for _, seq := range slices.Sorted(maps.Keys(lg.tickets)) {
		te := lg.tickets[seq]
		if te.phase != held || te.since.After(before) {
			continue
		}
		out = append(out, UnsettledOrder{
			key:    te.row,
			ticket: NewTicket(lg.agent, lg.incarnation, seq),
			row:    settle(te.intent, te.report),
		})
	}
	return out
}

// settle returns the final row of an order whose ticket has the report.
func settle(intent Row, rp Report) Row {
	if an, ok := rp.(Answered); ok {
		return intent.WithResult(an.result)
	}
	return intent.WithUnknownOutcome()
}

func (te *ticketEntry) status() Report {
	if te.phase == running {
		return Running{}
	}
	return te.report
}

// expire forgets the granted tickets that have expired.
func (lg *Ledger) expire(now time.Time) {
	for seq, te := range lg.tickets {
		if te.phase == granted && now.After(te.expires) {
			delete(lg.tickets, seq)
		}
	}
}
