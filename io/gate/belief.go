package gate

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/fleet"
	"shallotcleat/core/runs"
	"shallotcleat/io/client"
	"shallotcleat/io/link"
	"shallotcleat/io/wire"
)

// transitMargin bounds how old the observation is in the message of a tender that was not held up: the engine's reply, the message, and passing it on between gates.
const transitMargin = 300 * time.Millisecond

// forgetRunsInterval is the time between removals of servers that are no longer listed from the ledger.
const forgetRunsInterval = 10 * time.Second

// forgetRuns drops what is known of servers and tenders that are gone.
func (gt *Gate) forgetRuns() {
	now := time.Now()
	gt.ledger.Forget(now)
	gt.delaysMu.Lock()
	defer gt.delaysMu.Unlock()
	gt.delays.Forget(now)
}

// runOf returns the run that an entry or a report describes.
func runOf(sv *fleet.Server) runs.Run { return runs.NewRun(sv.Hash(), sv.StartUnixMilli()) }

// proveByTender records what a report of a tender shows about the run of its engine.
func (gt *Gate) proveByTender(now time.Time, ns *wire.EngineNews) {
	gt.delaysMu.Lock()
	heldUp, known := gt.delays.Excess(now, ns.GetClock(), time.Duration(ns.GetObservedMs())*time.Millisecond)
	gt.delaysMu.Unlock()
	if !known {
		// The run is known from now on, not when it was running.
		gt.ledger.Learn(now, time.Time{}, runs.NewRun(fleet.Hash(ns.GetServerId()), ns.GetStartUnixMilli()), runs.Tender{})
		return
	}
	gt.ledger.Prove(now.Add(-heldUp-transitMargin), runs.NewRun(fleet.Hash(ns.GetServerId()), ns.GetStartUnixMilli()), runs.Tender{})
}

// doubt records an event that may have ended the run of a server.
func (gt *Gate) doubt(sv *fleet.Server, ev runs.Event) {
	gt.opts.Recorder.CountRunEvent(ev.String())
	gt.ledger.Doubt(time.Now(), sv.Hash(), ev)
}

// recordRunEvent records the event, if any, that the failure of an exchange is for the run of its server.
func (at *attempt) recordRunEvent(err error) {
	var de *link.DialError
	switch {
	case errors.As(err, &de):
		at.gate.doubt(at.choice.Server(), runs.Refused{})
	case client.IsDisconnect(err) || errors.Is(err, errServerEnded) || errors.Is(err, errServerSilent) || errors.Is(err, errTruncatedEvent):
		at.gate.doubt(at.choice.Server(), runs.Broken{})
	}
}

// runLog is what the log says about the run at which a stream began, or was continued, as of the first event of the attempt.
type runLog struct {
	verdict runs.Verdict
	belief  runs.Belief
	connAge time.Duration
}

// addFields adds the fields of the log entry of an attempt.
func (rl *runLog) addFields(fields logrus.Fields) {
	if rl == nil {
		return
	}
	fields["run_verdict"], fields["conn_age_ms"] = rl.verdict.String(), rl.connAge.Milliseconds()
	learnedBy, known := rl.belief.LearnedBy()
	if learnedBy == nil {
		return
	}
	fields["run_learned_by"], fields["run_known_ms"] = learnedBy.String(), known.Milliseconds()
	if ev, proven := rl.belief.ProvenBy(); ev != nil {
		fields["run_proven_by"], fields["run_proven_ms"] = ev.String(), proven.Milliseconds()
	}
	if ev, age := rl.belief.Event(); ev != nil {
		fields["run_event"], fields["run_event_ms"] = ev.String(), age.Milliseconds()
	}
	if !rl.belief.IsCurrent() {
		fields["run_superseded"] = true
	}
}

// judgeRun returns whether the attempt's server certainly was, when the attempt's connection was established, the run that it was chosen as, and logs why.
func (at *attempt) judgeRun(resp *client.Response) runs.Verdict {
	now, rn := time.Now(), runOf(at.choice.Server())
	verdict := at.gate.ledger.Judge(runs.NewMoment(rn, resp.EstablishedAt()))
	belief, _ := at.gate.ledger.Belief(now, rn)
	at.answer.run = &runLog{verdict: verdict, belief: belief, connAge: now.Sub(resp.EstablishedAt())}
	at.gate.opts.Recorder.CountRunVerdict(verdict.String())
	return verdict
}
