package gate

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/memory"
	"shallotcleat/core/origin"
	"shallotcleat/core/pick"
	"shallotcleat/core/runs"
	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/intake"
)

// attempt is one send of a request to one server.
type attempt struct {
	gate        *Gate
	rq          *request
	choice      pick.Choice
	pickAttempt *pick.Attempt
	sentAt      time.Time
	// firstEventAt is when the first event of a stream came, or zero. promptServed is set once the server is known to have survived the prompt;
	// it has survived the request only when the answer is complete.
	firstEventAt time.Time
	promptServed bool
	// continuing is set once an event with an id has come.
	continuing bool
	// versionChecked is set once checkVersion has been called.
	versionChecked bool
	// originRecords say where the stream began, and renewedAt is when they were last recorded.
	originRecords []origin.Record
	renewedAt     time.Time
	// unproven is the moment at which the stream began at a server, until it is certain that the server was then the run that it was taken for.
	unproven *runs.Moment
	// watchdog fires after the response timeout unless the first event of a stream or a complete other response arrives before. It
	// cancels the attempt, or marks the server unreachable if the request must not run more than once.
	watchdog *time.Timer
	timedOut atomic.Bool
	// head is the memory of the header of the answer, or nil if the answer is kept beyond the attempt.
	head *intake.Header
	// answer is what the log says about the answer.
	answer *answerLog
	// handOver is the hand-over of the run to another engine, or nil if there can be none.
	handOver *handOver
	// weightsExpired is set if the attempt was canceled because the server's weights expired before it began the request.
	weightsExpired atomic.Bool
}

// freeHead frees the memory of the header unless the answer is kept.
func (at *attempt) freeHead() {
	if at.head != nil {
		at.head.Close()
	}
}

// timeoutFunc returns a function for the watchdog that cancels the attempt.
func (at *attempt) timeoutFunc(cancel context.CancelFunc) func() {
	return func() {
		at.timedOut.Store(true)
		cancel()
	}
}

// hasTimedOut reports whether the attempt was canceled because the server did not respond in time.
func (at *attempt) hasTimedOut() bool { return at.timedOut.Load() }

// expiryFunc returns a function that cancels the attempt because the server's weights have expired.
func (at *attempt) expiryFunc(cancel context.CancelFunc) func() {
	return func() {
		at.weightsExpired.Store(true)
		cancel()
	}
}

// endExpired ends an attempt that was canceled because the server's weights expired. The server may have begun the request meanwhile.
func (at *attempt) endExpired() (attemptResult, *answer.Error) {
	at.pickAttempt.End(time.Now(), pick.Abandoned)
	return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0,
		"weights %d of server %s expired before the request began", at.choice.Version(), at.choice.Server().ID())
}

// relayResponse relays the response of a server if it is valid. requestCtx is the context of the request, which the watchdog does
// not cancel.
func (at *attempt) relayResponse(requestCtx context.Context, resp *client.Response) (attemptResult, *answer.Error) {
	gt, rq := at.gate, at.rq
	info := gt.opts.Dialect.DecodeResponse(resp.Status, resp.Header)
	id := at.choice.Server().ID()
	if info.RequestID != rq.info.RequestID {
		// Servers name the request in all their responses, so that this one may belong to another request, or to none.
		at.pickAttempt.End(time.Now(), pick.Failed)
		return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "response with status %d does not name the request", resp.Status)
	}
	at.recordRestrictions(info)
	if info.WeightVersion > 0 && rq.call.Model() != "" && !info.NotExecuted {
		gt.picker.ObserveWeights(time.Now(), id, rq.call.Model(), info.WeightVersion)
	}
	if _, handle := rq.copySource(); handle != "" && resp.Status == http.StatusServiceUnavailable {
		// A handle works once; whoever does not know it runs nothing.
		info.NotExecuted = true
	}
	success := resp.Status >= 200 && resp.Status < 300
	switch {
	case info.NotExecuted:
		return at.endRejected(resp, info)
	case success && (!info.Signed || resp.Header.Get("Content-Encoding") != ""):
		at.pickAttempt.End(time.Now(), pick.Failed)
		return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "response without signature or with a content encoding")
	case success && isEventStream(resp.Header):
		return at.relayEvents(requestCtx, resp)
	case promisesNotRun(resp.Status):
		// The server has not stated that it did not run the request; passed on, the status would tell the caller so.
		at.pickAttempt.End(time.Now(), pick.Failed)
		return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0,
			"server %s responded with status %d but does not state that it did not run the request", id, resp.Status)
	}
	at.pickAttempt.MarkBegun()
	return at.relayBuffered(requestCtx, resp)
}

// recordRestrictions records what the server said about further requests, unless another server responded at its address.
func (at *attempt) recordRestrictions(info ResponseInfo) {
	gt, sv := at.gate, at.choice.Server()
	if info.ServerID != "" && info.ServerID != sv.ID() {
		return
	}
	now := time.Now()
	// A rejection need not name the limit.
	if (info.Limit > 0 || !info.NotExecuted) && gt.picker.Limits().Observe(now, at.sentAt, sv.ID(), sv.StartUnixMilli(), info.Limit) {
		gt.log.WithFields(logrus.Fields{"event": "server_limited", "server": sv.ID(), "per_second": info.Limit}).
			Info("server named a limit of requests, or none any more")
	}
	if info.Leaving && gt.picker.AcceptsCalls(now, sv.ID()) {
		gt.log.WithFields(logrus.Fields{"event": "server_leaving", "server": sv.ID()}).Info("server announced that it stops")
	}
	if info.Leaving {
		gt.picker.MarkLeaving(now, sv)
	}
	if info.RetryAfter > 0 {
		gt.picker.Pause(now, sv, info.RetryAfter)
		gt.log.WithFields(logrus.Fields{"event": "server_paused", "server": sv.ID(), "pause_ms": info.RetryAfter.Milliseconds()}).
			Info("server asked for no requests for a while")
	}
}

// promisesNotRun reports whether callers take a status for a promise that the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func isEventStream(hd http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(hd.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// endRejected ends an attempt whose request the server did not run.
func (at *attempt) endRejected(resp *client.Response, info ResponseInfo) (attemptResult, *answer.Error) {
	at.watchdog.Stop()
	// The body is drained so that the connection can be reused; its content is ignored.
	if err := resp.Drain(maxDrainBytes, drainTimeout); err != nil {
		at.gate.log.WithError(err).Debug("reading the body of a rejection failed")
	}
	at.pickAttempt.End(time.Now(), pick.Rejected)
	if resp.Status == http.StatusServiceUnavailable && !info.Leaving {
		at.gate.flow.Full(time.Now(), at.rq.service.Name())
	}
	switch id := at.choice.Server().ID(); {
	case info.ServerID != "" && info.ServerID != id:
		at.gate.picker.MarkReplaced(at.choice.Server())
		at.gate.doubt(at.choice.Server(), runs.Replaced{})
	case info.WeightVersion > 0:
		at.gate.picker.ObserveWeights(time.Now(), id, at.rq.call.Model(), info.WeightVersion)
	}
	return notRun, answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter,
		"server %s rejected the request with status %d", at.choice.Server().ID(), resp.Status)
}

// relayBuffered reads a response that is not a stream and relays it once it is complete.
func (at *attempt) relayBuffered(requestCtx context.Context, resp *client.Response) (attemptResult, *answer.Error) {
	rq := at.rq
	body, err := at.gate.bodies.readAll(resp, at.gate.memory.Open(time.Now(), memory.Response, rq.response.interruptWrite))
	at.recordEnd(err)
	at.watchdog.Stop()
	if err == nil {
		err = at.checkWhole(requestCtx, resp, nil, whole.Opaque{})
	}
	if err != nil {
		freeBody(body)
		return at.endBroken(requestCtx, err)
	}
	kept := false
	defer func() {
		if !kept {
			freeBody(body)
		}
	}()
	if resp.Status >= http.StatusInternalServerError {
		at.pickAttempt.End(time.Now(), pick.Failed)
		if !rq.response.started && !rq.route.AtMostOnce() {
			rq.response.setFallback(resp.Status, resp.Header, body, at.head)
			kept, at.head = true, nil
			return serverError, answer.NewError(answer.ServerFailed, answer.Unknown, 0,
				"server %s responded with status %d", at.choice.Server().ID(), resp.Status)
		}
	} else {
		at.pickAttempt.End(time.Now(), pick.Served)
		at.recordDuration()
	}
	if resp.Status < http.StatusMultipleChoices {
		at.recordAnswered(requestCtx, resp)
	}
	if rq.response.started {
		// The server was to continue a stream but did not respond with one; the caller's stream ends early.
		return mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0,
			"stream not continued: server responded with status %d", resp.Status)
	}
	rq.log.recordResponse(at, time.Since(rq.arrived))
	rq.response.writeBuffered(resp.Status, resp.Header, body)
	return responded, nil
}

// recordEnd records that reading the answer ended with err, which is nil or io.EOF at the end of its body.
func (at *attempt) recordEnd(err error) {
	switch ending := at.answer.recordEnd(err).(type) {
	case nil, whole.Finished, whole.Interrupted:
	default:
		at.gate.opts.Recorder.CountBrokenAnswer(ending.String(), at.answer.writeFailed)
	}
}

// recordDuration records how long the server took for a request that it served.
func (at *attempt) recordDuration() {
	took := time.Since(at.sentAt)
	at.gate.flow.Served(time.Now(), at.rq.service.Name(), took)
	at.gate.durations.Record(at.rq.route.Name(), took)
}

// endBroken ends an attempt whose response is incomplete or has too large an event.
func (at *attempt) endBroken(requestCtx context.Context, err error) (attemptResult, *answer.Error) {
	now := time.Now()
	switch {
	case at.weightsExpired.Load():
		return at.endExpired()
	case at.hasTimedOut():
		at.pickAttempt.End(now, pick.NoResponse)
	case requestCtx.Err() != nil:
		at.pickAttempt.End(now, pick.Abandoned)
		return mayHaveRun, at.gate.endedError(err)
	default:
		at.recordBroken(requestCtx, err)
		at.recordRunEvent(err)
		at.gate.askInDoubt(at.choice.Server())
		at.pickAttempt.End(now, pick.Failed)
	}
	return mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "%v", err)
}

// recordAnswered records that the request was answered to its end. If the end is that of the connection, the server may have crashed right
// then.
func (at *attempt) recordAnswered(requestCtx context.Context, resp *client.Response) {
	if resp.Framing != whole.Connection {
		at.gate.crashes.recordServed(at.rq.service.Name(), at.rq.suspectKeys)
		return
	}
	at.gate.crashes.recordClosed(requestCtx, at, true)
}

// recordPromptServed records, once, that the server has survived the parts of the prompt that other requests share.
func (at *attempt) recordPromptServed() {
	if at.promptServed || at.firstEventAt.IsZero() || time.Since(at.firstEventAt) <= beginWindow {
		return
	}
	at.promptServed = true
	at.gate.crashes.recordServed(at.rq.service.Name(), at.rq.suspectKeys[1:])
}

// recordBroken records that the attempt failed with err, if the server closed the connection; it may have crashed.
func (at *attempt) recordBroken(requestCtx context.Context, err error) {
	if !at.hasTimedOut() && (client.IsDisconnect(err) || errors.Is(err, errTruncatedEvent) || errors.Is(err, errServerEnded) ||
		errors.Is(err, errServerSilent)) {
		at.gate.crashes.recordClosed(requestCtx, at, false)
	}
}
