package order

import "testing"

// mutation is a change that disables one guard of the protocol; the simulation must then detect a violation.
type mutation string

const (
	ignoreRowVersion    mutation = "an attempt takes over a row without comparing its version"
	ignoreIncarnation   mutation = "the agent does not compare the incarnation of a ticket"
	probeKeepsTicket    mutation = "a probe does not void a live ticket"
	dropUnsettledAnswer mutation = "the agent drops an answer before the row is done"
)

// mutationSchedules is the number of schedules within which a violation must occur.
const mutationSchedules = 3000

func TestMutationsAreDetected(t *testing.T) {
	t.Parallel()
	for _, mut := range []mutation{ignoreRowVersion, ignoreIncarnation, probeKeepsTicket, dropUnsettledAnswer} {
		t.Run(string(mut), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutationSchedules) {
				sm := runSchedule(seed, mut)
				if len(sm.violations) > 0 {
					t.Logf("seed %d: %s", seed, sm.violations[0])
					return
				}
			}
			t.Errorf("no violation in %d schedules", mutationSchedules)
		})
	}
}

// presentedTicket returns the ticket to pass to the agent's ledger: under ignoreIncarnation, one with the agent's
// current incarnation.
func (sm *simulation) presentedTicket(ag *simAgent, tk Ticket) Ticket {
	if sm.mutation != ignoreIncarnation {
		return tk
	}
	return NewTicket(tk.agent, ag.incarnation, tk.seq)
}

// probeLedger probes the agent's ledger; under probeKeepsTicket it reports a live ticket as NotLive without voiding it.
func (sm *simulation) probeLedger(ag *simAgent, tk Ticket) Report {
	te, ok := ag.ledger.tickets[tk.seq]
	if sm.mutation == probeKeepsTicket && ok && te.phase == phaseGranted && tk.incarnation == ag.incarnation {
		return NotLive{}
	}
	return ag.ledger.Probe(sm.presentedTicket(ag, tk))
}

// afterExecution is called when an agent has recorded the end of an execution.
func (sm *simulation) afterExecution(ag *simAgent, tk Ticket) {
	if sm.mutation == dropUnsettledAnswer {
		delete(ag.ledger.tickets, tk.seq)
	}
}

// skipsVersionCheck reports whether a write takes effect although its version is not the stored one.
func (sm *simulation) skipsVersionCheck(row Row) bool {
	return sm.mutation == ignoreRowVersion && row.State() == Intent && row.Version() > 0
}
