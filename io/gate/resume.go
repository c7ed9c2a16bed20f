package gate

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/origin"
	"shallotcleat/core/runs"
	"shallotcleat/io/client"
	"shallotcleat/io/timer"
)

// resumeRetryAfter is told to callers whose streams cannot be resumed; they may start them anew at once.
const resumeRetryAfter = 100 * time.Millisecond

// notKnownYetRetryAfter is told to callers whose streams may be known by the store, which cannot be read: it is the time until the next read has ended.
const notKnownYetRetryAfter = originReadInterval + originReadTimeout

// originWriteDelay is how long a write that a lost gate has sent may take to show up in the store.
const originWriteDelay = 300 * time.Millisecond

// streamID returns the id of the request that began the stream, or begins it.
func (rq *request) streamID() string {
	if rq.info.Resumes != "" {
		return rq.info.Resumes
	}
	return rq.info.RequestID
}

// streamKey returns the key of the stream by its id.
func (rq *request) streamKey() uint64 { return origin.Key(rq.workspace.Name(), rq.streamID()) }

// originKeys returns the keys of the stream that the request begins or resumes. Callers that do not name the request that began their stream repeat
// that request, so that its key shows which one it was.
func (rq *request) originKeys() []uint64 {
	return []uint64{rq.streamKey(), rq.key}
}

// pinResumed limits a resumed stream to servers of the service and the software version at which it began, also if new streams of its route would
// begin at another service by now. What is not known is not guessed: pieces of two versions do not fit together.
func (gt *Gate) pinResumed(ctx context.Context, rq *request) *answer.Error {
	if !rq.isResumed() {
		return nil
	}
	began := time.Now()
	rc, of := gt.findRelease(ctx, rq)
	gt.reportOrigin(rq, rc, of, time.Since(began))
	service, version := origin.SplitRelease(rc.Version())
	if rc.IsUnresolved() {
		version, rq.originUnresolved = gt.resolveVersion(rc), true
	}
	switch {
	case of.source == originNotKnownYet:
		return answer.NewError(answer.NotResumableYet, answer.NotRun, notKnownYetRetryAfter,
			"not known yet at which software version stream %q began: the store cannot be read", rq.info.Resumes)
	case of.source == originUnknown:
		return answer.NewError(answer.NotResumable, answer.NotRun, resumeRetryAfter, "unknown at which software version stream %q began", rq.info.Resumes)
	case rc.IsAmbiguous() || version == "":
		return answer.NewError(answer.NotResumable, answer.NotRun, resumeRetryAfter, "stream %q began at an unknown software version, or at several",
			rq.info.Resumes)
	case !gt.meets(ctx, rq, rc):
		return answer.NewError(answer.NotResumable, answer.NotRun, resumeRetryAfter,
			"not certain that stream %q began at software version %q: its server may have started again", rq.info.Resumes, version)
	case !rq.route.Allows(service) || rq.routes.Service(service) == nil:
		return answer.NewError(answer.NotResumable, answer.NotRun, resumeRetryAfter, "stream %q began at service %q, which its route no longer allows",
			rq.info.Resumes, service)
	case service != rq.service.Name():
		rq.setService(rq.routes.Service(service))
	}
	rq.call = rq.call.WithSoftwareVersion(version)
	rq.response.continueAfter(rq.info.LastEventID)
	if !gt.picker.HasServer(rq.call) {
		return answer.NewError(answer.NotResumable, answer.NotRun, resumeRetryAfter, "no server has software version %q, at which stream %q began",
			version, rq.info.Resumes)
	}
	return nil
}

// reportOrigin logs and counts how the gate learned where a resumed stream began, or that it did not.
func (gt *Gate) reportOrigin(rq *request, rc origin.Record, of originFinding, took time.Duration) {
	gt.opts.Recorder.CountStreamOrigin(string(of.source))
	fields := logrus.Fields{"event": "stream_origin", "request_id": rq.info.RequestID, "source": string(of.source), "release": rc.Version(),
		"took_ms": took.Milliseconds(), "gates_asked": of.gatesAsked, "gates_silent": of.gatesSilent}
	if of.sole != notExamined {
		fields["sole"] = string(of.sole)
	}
	gt.freshness.addFields(time.Now(), fields)
	gt.log.WithFields(fields).Info("looked for the software version at which the stream began")
}

// findRelease returns the record of a resumed stream: that of gates, or, after a loss of those that had it, the only release at which it can have
// begun, or else that of the log in the store.
func (gt *Gate) findRelease(ctx context.Context, rq *request) (origin.Record, originFinding) {
	stream, services, isNamed := origin.Key(rq.workspace.Name(), rq.info.Resumes), []string{rq.service.Name()}, true
	if rq.info.Resumes == "" {
		// The service depends on the id of the first request.
		stream, services, isNamed = rq.key, rq.route.Services(), false
	}
	if isNamed && gt.originLookup.isUnknown(stream) && !gt.origins.has(stream) {
		// Unlike a name, the same request may begin another stream at any time, so that gates are asked about it again.
		return origin.Record{}, originFinding{source: originUnknown}
	}
	rc, known, of := gt.origins.find(ctx, stream, !isNamed)
	switch {
	case known && (isNamed || rc.IsAmbiguous() || !rq.route.Resumable()):
		of.source = fromGates
		return rc, of
	case !rq.route.Resumable():
		of.source = originUnknown
		return origin.Record{}, of
	}
	var release string
	release, of.sole = gt.soleRelease(ctx, rq, services)
	switch {
	case known && of.sole.leavesOne():
		of.source = fromGates
		return rc, of
	case of.sole.leavesOne():
		of.source = fromReleases
		return origin.NewRecord(stream, release), of
	case known:
		// The gates that are left may lack a stream with the same request that began at another version.
		stored, source := gt.lookUpStored(ctx, stream, of.gatesSilent > 0)
		if of.source = source; source == originUnknown {
			of.source = fromGates
			return rc, of
		}
		return gt.mergeStored(stored, source), of
	}
	rc, of.source = gt.findStored(ctx, stream, of.gatesSilent > 0)
	return rc, of
}

// findStored returns the record that the store has of a stream that no gate knows. hasSilent is set if a gate did not reply.
func (gt *Gate) findStored(ctx context.Context, stream uint64, hasSilent bool) (origin.Record, originSource) {
	if gt.originLookup.isUnknown(stream) {
		return origin.Record{}, originUnknown
	}
	stored, source := gt.lookUpStored(ctx, stream, hasSilent)
	return gt.mergeStored(stored, source), source
}

// lookUpStored returns what the store has of a stream. hasSilent is set if a gate did not reply: it may be gone, and may just have sent a write to the store, so
// that nothing follows from what the first read lacks.
func (gt *Gate) lookUpStored(ctx context.Context, stream uint64, hasSilent bool) (origin.Record, originSource) {
	stored, source := gt.originLookup.find(ctx, stream)
	if source == originUnknown && hasSilent {
		timer.Sleep(ctx, originWriteDelay)
		stored, source = gt.originLookup.find(ctx, stream)
	}
	return stored, source
}

// mergeStored adds what the store has of a stream to the records of this gate, and returns what both say.
func (gt *Gate) mergeStored(stored origin.Record, source originSource) origin.Record {
	if source != fromStore {
		return origin.Record{}
	}
	return gt.origins.merge(stored)
}

// errOtherSoftware means that a server would continue a stream that began at another software version.
var errOtherSoftware = errors.New("the server may have another software version than the one at which the stream began")

// checkVersion is called before each event goes out. The first event of a stream limits its rest to servers of the software version of its server;
// checkVersion fails if the attempt's server, which is to continue a stream, may have another one.
func (at *attempt) checkVersion(ctx context.Context, resp *client.Response) error {
	rq := at.rq
	if at.versionChecked {
		at.renewOrigin(ctx)
		at.askLate()
		return nil
	}
	at.versionChecked = true
	verdict := at.judgeRun(resp)
	moment := runs.NewMoment(runOf(at.choice.Server()), resp.EstablishedAt())
	if began, pinned := rq.call.SoftwareVersion(); pinned {
		version := at.softwareVersion(verdict)
		if version == "" || version != began || !at.gate.isBelieved(ctx, moment) {
			return errOtherSoftware
		}
		if !rq.originUnresolved {
			at.recordOrigin(ctx, version, at.gate.unmetOf([]runs.Moment{moment}))
		}
		return nil
	}
	if !rq.route.AtMostOnce() {
		var err error
		if verdict, err = at.askAtBeginning(ctx, moment, verdict); err != nil {
			return err
		}
	}
	version := at.softwareVersion(verdict)
	var conditions []runs.Moment
	_, superseded := verdict.(runs.Superseded)
	switch {
	case superseded:
		version = ""
	case version == "" && at.choice.Server().SoftwareVersion() == "" && at.choice.Server().StartUnixMilli() != 0:
		// An entry of the run may still state it.
		rq.originUnresolved = true
		fallthrough
	case !runs.IsCertain(verdict):
		conditions = []runs.Moment{moment}
		rq.began, at.unproven = &moment, &moment
	}
	if version == "" {
		at.gate.log.WithFields(logrus.Fields{"request_id": rq.info.RequestID, "server": at.choice.Server().ID(), "unresolved": rq.originUnresolved}).
			Info("the stream begins at a server of an unknown software version; it can be continued only once an entry of the server's run states it")
	}
	at.recordOrigin(ctx, version, conditions)
	rq.call = rq.call.WithSoftwareVersion(version)
	return nil
}

// recordOrigin records that the stream of the request began at a software version, or at an unknown one, which is "", under the given conditions. Nobody takes
// up a stream that must not run twice.
func (at *attempt) recordOrigin(ctx context.Context, version string, conditions []runs.Moment) {
	if at.rq.route.AtMostOnce() {
		return
	}
	var records []origin.Record
	for _, stream := range at.rq.originKeys() {
		rc := origin.NewAmbiguousRecord(stream)
		if version != "" || at.rq.originUnresolved {
			rc = origin.NewRecord(stream, origin.Release(at.rq.service.Name(), version)).WithConditions(conditions...)
			if len(conditions) == 0 {
				rc = at.rq.unconditional(rc)
			}
		}
		records = append(records, rc)
	}
	at.originRecords = records
	at.renewedAt = time.Now()
	at.gate.origins.record(ctx, records...)
}

// unconditional returns the record of the stream of a request without conditions, which this gate has shown to hold. Other streams may have the key of the
// request, so that it takes the place of conditions for the key of the stream only.
func (rq *request) unconditional(rc origin.Record) origin.Record {
	if rc.Stream() == rq.streamKey() {
		return rc.Settled()
	}
	return rc.WithConditions()
}

// originRenewInterval is the time after which the origin of a running stream is recorded again. The log in the store reaches back for 25.6 s while
// streams begin all the time, and gates keep records for a minute; streams may last longer.
const originRenewInterval = 10 * time.Second

// renewOrigin records the origin of a running stream again if that is due.
func (at *attempt) renewOrigin(ctx context.Context) {
	now := time.Now()
	if len(at.originRecords) == 0 || now.Sub(at.renewedAt) < originRenewInterval {
		return
	}
	at.renewedAt = now
	for i, rc := range at.originRecords {
		if !rc.IsUnresolved() && len(rc.Conditions()) > 0 && len(at.gate.unmet(rc)) == 0 {
			at.originRecords[i] = at.rq.unconditional(rc)
		}
	}
	at.gate.origins.record(ctx, at.originRecords...)
}

// softwareVersion returns the software version of the attempt's server, or "" if it is unknown. verdict says whether the server certainly is the run that it was
// chosen as.
func (at *attempt) softwareVersion(verdict runs.Verdict) string {
	sv := at.choice.Server()
	if runs.IsCertain(verdict) && sv.StartUnixMilli() != 0 {
		return sv.SoftwareVersion()
	}
	current := at.gate.picker.View().Server(sv.ID())
	if current != nil && (current.StartUnixMilli() != sv.StartUnixMilli() || current.SoftwareVersion() != sv.SoftwareVersion()) {
		return ""
	}
	return sv.SoftwareVersion()
}
