package order

import "testing"

// sabotage removes one guard of the protocol, so that the schedules must find a fault.
type sabotage string

const (
	ignoreVersion     sabotage = "a row moves without comparing its version"
	ignoreIncarnation sabotage = "the agent does not compare a ticket's incarnation"
	keepProbed        sabotage = "a probe does not void a live ticket"
	dropAnswers       sabotage = "the agent forgets an answer before the row is done"
)

// sabotageSchedules bounds the schedules in which a fault must show.
const sabotageSchedules = 3000

func TestSabotageIsFound(t *testing.T) {
	t.Parallel()
	for _, guard := range []sabotage{ignoreVersion, ignoreIncarnation, keepProbed, dropAnswers} {
		t.Run(string(guard), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(sabotageSchedules) {
				wd := playSchedule(seed, guard)
				if len(wd.faults) > 0 {
					t.Logf("seed %d: %s", seed, wd.faults[0])
					return
				}
			}
			t.Errorf("no fault in %d schedules", sabotageSchedules)
		})
	}
}

// adapt returns the ticket as an agent sees it that does not compare incarnations.
func (wd *world) adapt(ag *simAgent, tk Ticket) Ticket {
	if wd.guard != ignoreIncarnation {
		return tk
	}
	return NewTicket(tk.agent, ag.incarnation, tk.seq)
}

// probeAt asks the agent's ledger, or reports a live ticket as dead without voiding it.
func (wd *world) probeAt(ag *simAgent, tk Ticket) Report {
	te, ok := ag.ledger.tickets[tk.seq]
	if wd.guard == keepProbed && ok && te.phase == granted && tk.incarnation == ag.incarnation {
		return NotLive{}
	}
	return ag.ledger.Probe(wd.adapt(ag, tk))
}

// ended is called when an agent has recorded the end of a run.
func (wd *world) ended(ag *simAgent, tk Ticket) {
	if wd.guard == dropAnswers {
		delete(ag.ledger.tickets, tk.seq)
	}
}

// moves reports whether a write takes effect although its version is not the stored one.
func (wd *world) moves(row Row) bool {
	return wd.guard == ignoreVersion && row.State() == Intent && row.Version() > 0
}
