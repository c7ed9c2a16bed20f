package gate

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"sync/atomic"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/io/call"
)

// sending is one sending of a request to a server.
type attempt struct {
	gate   *Gate
	rq     *request
	choice pick.Choice
	picked *pick.Sent
	// watch ends the sending, or puts the server under suspicion, unless it is stopped when the answer begins.
	watchdog *time.Timer
	timedOut atomic.Bool
}

func (at *attempt) timeoutFunc(cancel context.CancelFunc) func() {
	return func() {
		at.timedOut.Store(true)
		cancel()
	}
}

// isSilent reports whether the sending was ended since the server did not answer.
func (at *attempt) hasTimedOut() bool { return at.timedOut.Load() }

// take passes the answer of a server on, or returns why it is none.
func (at *attempt) relayResponse(parent context.Context, an *call.Answer) (attemptResult, *answer.Error) {
	gt, rq := at.gate, at.rq
	info := gt.opts.Dialect.DecodeResponse(an.Status, an.Header)
	id := at.choice.Server().ID()
	if info.WeightVersion > 0 && rq.call.Model() != "" && !info.NotExecuted {
		gt.picker.Weights(time.Now(), id, rq.call.Model(), info.WeightVersion, false)
	}
	success := an.Status >= 200 && an.Status < 300
	switch {
	case info.NotExecuted:
		return at.endRejected(an, info)
	case success && (!info.Signed || info.RequestID != rq.info.RequestID || an.Header.Get("Content-Encoding") != ""):
		at.picked.End(time.Now(), pick.Failed)
		return maybeExecuted, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "the answer bears no signature or another id")
	case success && isEventStream(an.Header):
		return at.relayEvents(parent, an)
	}
	return at.relayBuffered(parent, an)
}

func isEventStream(hd http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(hd.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// rejected ends a sending that the server did not run.
func (at *attempt) endRejected(an *call.Answer, info ResponseInfo) (attemptResult, *answer.Error) {
	at.watchdog.Stop()
	// The rest of the answer is read so that the connection can be kept; what it says does not matter.
	if _, err := an.ReadAll(maxResponseBytes); err != nil {
		at.gate.log.WithError(err).Debug("the body of a rejection is broken")
	}
	at.picked.End(time.Now(), pick.Rejected)
	switch id := at.choice.Server().ID(); {
	case info.ServerID != "" && info.ServerID != id:
		at.gate.picker.Replaced(id)
	case info.WeightVersion > 0:
		at.gate.picker.Weights(time.Now(), id, at.rq.call.Model(), info.WeightVersion, false)
	}
	return notExecuted, answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter, "server %s answered %d and did not run the request", at.choice.Server().ID(), an.Status)
}

// whole passes an answer that is no stream on after it has come whole.
func (at *attempt) relayBuffered(parent context.Context, an *call.Answer) (attemptResult, *answer.Error) {
	body, err := an.ReadAll(maxResponseBytes)
	if err != nil {
		return at.endBroken(parent, err)
	}
	at.watchdog.Stop()
	rq := at.rq
	if an.Status >= http.StatusInternalServerError {
		at.picked.End(time.Now(), pick.Failed)
		if !rq.response.started && !rq.route.AtMostOnce() {
			rq.response.setFallback(an.Status, an.Header, body)
			return serverError, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "server %s answered %d", at.choice.Server().ID(), an.Status)
		}
	} else {
		at.picked.End(time.Now(), pick.Served)
	}
	if rq.response.started {
		// Another server went on with a stream and answered with no stream; the caller's stream ends early.
		return maybeExecuted, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "the stream can't go on: status %d", an.Status)
	}
	rq.log.recordResponse(at, time.Since(rq.arrived))
	rq.response.writeBuffered(an.Status, an.Header, body)
	return answered, nil
}

// broken ends a sending whose answer did not come whole.
func (at *attempt) endBroken(parent context.Context, err error) (attemptResult, *answer.Error) {
	now := time.Now()
	switch {
	case at.hasTimedOut():
		at.picked.End(now, pick.Silent)
	case parent.Err() != nil:
		at.picked.End(now, pick.Abandoned)
		return maybeExecuted, answer.NewError(answer.Expired, answer.Unknown, 0, "%v", err)
	default:
		at.picked.End(now, pick.Failed)
	}
	return maybeExecuted, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "%v", err)
}

var errTruncatedEvent = errors.New("the stream ends within an event")
