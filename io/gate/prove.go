package gate

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/fleet"
	"shallotcleat/core/origin"
	"shallotcleat/core/runs"
	"shallotcleat/core/whole"
)

const (
	// proveTimeout bounds the time for which a stream waits for a server to show which run it is.
	proveTimeout = 700 * time.Millisecond
	// beginTimeout bounds the time for which the first event of a stream waits for that.
	beginTimeout = 150 * time.Millisecond
	// evidenceDelay is how long after the end of a server its tender may report when the server last responded.
	evidenceDelay = 200 * time.Millisecond
	// reportDelay is the time after the first event of a stream in which the tender of its engine reports, and the report counts.
	reportDelay = 1200 * time.Millisecond
	// maxTenderSilence is the age of the last report up to which a tender is expected to report again. Tenders report at least each 3 s; a message to another
	// zone may be lost.
	maxTenderSilence = 7 * time.Second
)

var errUncertainOrigin = errors.New("not certain at which software version the stream began: its server may have started again")

// prove returns whether a run was running at a moment. If the ledger does not know, an engine is asked; questions about one run share their calls.
func (gt *Gate) prove(parent context.Context, mo runs.Moment) runs.Verdict {
	verdict := gt.ledger.Judge(mo)
	switch verdict.(type) {
	case runs.Certain, runs.Superseded:
		return verdict
	}
	ctx, cancel := context.WithTimeout(parent, proveTimeout)
	defer cancel()
	if verdict, _ = gt.ask(ctx, mo); runs.IsCertain(verdict) || !gt.ledger.IsReported(time.Now().Add(-maxTenderSilence), mo.Run()) {
		return verdict
	}
	return gt.awaitReport(ctx, mo)
}

// ask asks the engine of a run whether it still is that run, and returns whether it certainly was so at a moment, and what it showed.
func (gt *Gate) ask(ctx context.Context, mo runs.Moment) (runs.Verdict, whole.Life) {
	sv := gt.picker.View().ByHash(mo.Run().Server())
	if sv == nil || runOf(sv) != mo.Run() {
		return gt.ledger.Judge(mo), whole.Unknown{}
	}
	service := gt.routes.Load().Service(sv.Service())
	if service == nil || !service.IsEngine() {
		return gt.ledger.Judge(mo), whole.Unknown{}
	}
	askedAt := time.Now()
	life := gt.prober.Ask(ctx, gt.lifeQuestion(sv, service, askedAt))
	if life == (whole.Running{}) {
		gt.ledger.Prove(askedAt, mo.Run(), runs.Report{})
	}
	verdict := gt.ledger.Judge(mo)
	gt.opts.Recorder.CountRunQuestion(life.String())
	gt.log.WithFields(logrus.Fields{"event": "run_asked", "server": sv.ID(), "server_start_ms": sv.StartUnixMilli(), "server_after": life.String(),
		"run_verdict": verdict.String(), "asked_ms": time.Since(askedAt).Milliseconds()}).Info("asked a server which run it is")
	return verdict, life
}

// awaitReport waits for evidence that a tender may be about to bring, and returns whether a run was running at a moment.
func (gt *Gate) awaitReport(ctx context.Context, mo runs.Moment) runs.Verdict {
	latest := time.NewTimer(evidenceDelay)
	defer latest.Stop()
	for {
		proved := gt.ledger.NextProof()
		verdict := gt.ledger.Judge(mo)
		if runs.IsCertain(verdict) {
			return verdict
		}
		select {
		case <-proved:
		case <-latest.C:
			return verdict
		case <-ctx.Done():
			return verdict
		}
	}
}

// isBelieved reports whether a stream may be continued by what is known of a run at a moment. A server that cannot show its run, since it is no engine, is
// believed while the directory is being followed and no event is known that may have ended the run.
func (gt *Gate) isBelieved(ctx context.Context, mo runs.Moment) bool {
	switch gt.prove(ctx, mo).(type) {
	case runs.Certain:
		return true
	case runs.Unproven:
		sv := gt.picker.View().ByHash(mo.Run().Server())
		if sv == nil {
			return false
		}
		service := gt.routes.Load().Service(sv.Service())
		return service != nil && !service.IsEngine() && gt.isFollowing(time.Now())
	}
	return false
}

// isFollowing reports whether the servers known are as current as the directory lets them be. A gate that has stood still does not know yet that its reads
// failed, or what they missed, so that the age of its view counts as well.
func (gt *Gate) isFollowing(now time.Time) bool {
	return !gt.watcher.servers.Stale() && gt.freshness.serversAge(now) <= gt.opts.Deadlines.maxServersAge()
}

// unmet returns the conditions of a record that this gate has no evidence for.
func (gt *Gate) unmet(rc origin.Record) []runs.Moment { return gt.unmetOf(rc.Conditions()) }

// unmetOf returns those of some moments for which this gate has no evidence.
func (gt *Gate) unmetOf(moments []runs.Moment) []runs.Moment {
	return slices.DeleteFunc(slices.Clone(moments), func(mo runs.Moment) bool { return runs.IsCertain(gt.ledger.Judge(mo)) })
}

// meets reports whether all conditions of the record of a resumed stream hold.
func (gt *Gate) meets(ctx context.Context, rq *request, rc origin.Record) bool {
	for _, mo := range gt.unmet(rc) {
		if !gt.isBelieved(ctx, mo) {
			gt.logUncertain(rq, mo)
			return false
		}
	}
	return true
}

// resolveVersion returns the software version of the runs at which a stream began, or "" if it is unknown.
func (gt *Gate) resolveVersion(rc origin.Record) string {
	version := ""
	for _, mo := range rc.Conditions() {
		next := gt.ledger.Version(mo.Run())
		if next == "" || version != "" && version != next {
			return ""
		}
		version = next
	}
	return version
}

// logUncertain logs why a stream is not continued.
func (gt *Gate) logUncertain(rq *request, mo runs.Moment) {
	gt.log.WithFields(logrus.Fields{"event": "origin_uncertain", "request_id": rq.info.RequestID, "server_hash": keyName(mo.Run().Server()),
		"server_start_ms": mo.Run().StartUnixMilli()}).Info("the server at which the stream began may have been another run")
}

// settleBegan reports whether the stream of a response that broke off may be continued, as far as the run at which it began is concerned. That run's server
// has just failed, so that only evidence counts.
func (gt *Gate) settleBegan(ctx context.Context, rq *request) bool {
	if rq.began == nil {
		return true
	}
	if !runs.IsCertain(gt.prove(ctx, *rq.began)) {
		gt.logUncertain(rq, *rq.began)
		// Other gates may not know of the failure.
		for _, stream := range rq.originKeys() {
			gt.origins.record(ctx, origin.NewAmbiguousRecord(stream))
		}
		return false
	}
	if rq.originUnresolved {
		version := gt.ledger.Version(rq.began.Run())
		if version == "" {
			gt.logUncertain(rq, *rq.began)
			return false
		}
		rq.call = rq.call.WithSoftwareVersion(version)
	}
	rq.began = nil
	return true
}

// askInDoubt asks an engine which run it is if an event may have ended the one that is known, so that streams may begin there again.
func (gt *Gate) askInDoubt(sv *fleet.Server) {
	if gt.ledger.InDoubt(sv.Hash()) && slices.Contains(gt.routes.Load().ResumableServices(), sv.Service()) {
		gt.askRun(sv)
	}
}

// askAtBeginning returns the verdict on the run of a server at which a stream is about to begin. An engine is asked before its first event goes out if it is
// in doubt, or if no tender reports it: nothing else may show the run before the stream has to be continued. An engine that has ended meanwhile has begun nothing that
// a caller knows of, so that the request can begin anew elsewhere.
func (at *attempt) askAtBeginning(parent context.Context, mo runs.Moment, verdict runs.Verdict) (runs.Verdict, error) {
	gt, sv := at.gate, at.choice.Server()
	if runs.IsCertain(verdict) || !at.rq.service.IsEngine() || gt.ledger.IsReported(time.Now().Add(-maxTenderSilence), mo.Run()) && !gt.ledger.InDoubt(sv.Hash()) {
		return verdict, nil
	}
	ctx, cancel := context.WithTimeout(parent, beginTimeout)
	defer cancel()
	verdict, life := gt.ask(ctx, mo)
	if !runs.IsCertain(verdict) && life == whole.Life(whole.Ended{}) && runOf(sv) == mo.Run() && gt.ledger.IsCurrent(mo.Run()) {
		return verdict, errServerEnded
	}
	return verdict, nil
}

// askLate asks the engine of a running stream which run it is, once, if its tender should have reported by now and did not.
func (at *attempt) askLate() {
	if at.unproven == nil || time.Since(at.firstEventAt) < reportDelay {
		return
	}
	if !runs.IsCertain(at.gate.ledger.Judge(*at.unproven)) {
		at.gate.askRun(at.choice.Server())
	}
	at.unproven = nil
}

// askRun asks an engine which run it is, in the background. No other question to the server begins meanwhile.
func (gt *Gate) askRun(sv *fleet.Server) {
	if _, isAsked := gt.asked.LoadOrStore(sv.Hash(), true); isAsked {
		return
	}
	isStarted := gt.questions.start(func() {
		defer gt.asked.Delete(sv.Hash())
		gt.prove(gt.cut, runs.NewMoment(runOf(sv), time.Now()))
	})
	if !isStarted {
		gt.asked.Delete(sv.Hash())
	}
}
