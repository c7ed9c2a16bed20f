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
type sending struct {
	gate   *Gate
	rq     *request
	choice pick.Choice
	sent   *pick.Sent
	// watch ends the sending, or puts the server under suspicion, unless it is stopped when the answer begins.
	watch  *time.Timer
	silent atomic.Bool
}

func (se *sending) cancelSilent(cancel context.CancelFunc) func() {
	return func() {
		se.silent.Store(true)
		cancel()
	}
}

// isSilent reports whether the sending was ended since the server did not answer.
func (se *sending) isSilent() bool { return se.silent.Load() }

// take passes the answer of a server on, or returns why it is none.
func (se *sending) take(parent context.Context, an *call.Answer) (ending, *answer.Error) {
	gt, rq := se.gate, se.rq
	told := gt.opts.Dialect.DecodeResponse(an.Status, an.Header)
	id := se.choice.Server().ID()
	if told.WeightVersion > 0 && rq.call.Model() != "" && !told.NotExecuted {
		gt.picker.Weights(time.Now(), id, rq.call.Model(), told.WeightVersion, false)
	}
	success := an.Status >= 200 && an.Status < 300
	switch {
	case told.NotExecuted:
		return se.rejected(an, told)
	case success && (!told.Signed || told.RequestID != rq.asked.RequestID || an.Header.Get("Content-Encoding") != ""):
		se.sent.End(time.Now(), pick.Failed)
		return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "the answer bears no signature or another id")
	case success && isEventStream(an.Header):
		return se.relay(parent, an)
	}
	return se.whole(parent, an)
}

func isEventStream(hd http.Header) bool {
	kind, _, err := mime.ParseMediaType(hd.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// rejected ends a sending that the server did not run.
func (se *sending) rejected(an *call.Answer, told ResponseInfo) (ending, *answer.Error) {
	se.watch.Stop()
	// The rest of the answer is read so that the connection can be kept; what it says does not matter.
	if _, err := an.ReadAll(answerLimit); err != nil {
		se.gate.log.WithError(err).Debug("the body of a rejection is broken")
	}
	se.sent.End(time.Now(), pick.Rejected)
	switch id := se.choice.Server().ID(); {
	case told.ServerID != "" && told.ServerID != id:
		se.gate.picker.Replaced(id)
	case told.WeightVersion > 0:
		se.gate.picker.Weights(time.Now(), id, se.rq.call.Model(), told.WeightVersion, false)
	}
	return notRun, answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter, "server %s answered %d and did not run the request", se.choice.Server().ID(), an.Status)
}

// whole passes an answer that is no stream on after it has come whole.
func (se *sending) whole(parent context.Context, an *call.Answer) (ending, *answer.Error) {
	body, err := an.ReadAll(answerLimit)
	if err != nil {
		return se.broken(parent, err)
	}
	se.watch.Stop()
	rq := se.rq
	if an.Status >= http.StatusInternalServerError {
		se.sent.End(time.Now(), pick.Failed)
		if !rq.out.started && !rq.route.AtMostOnce() {
			rq.out.keep(an.Status, an.Header, body)
			return failedAnswer, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "server %s answered %d", se.choice.Server().ID(), an.Status)
		}
	} else {
		se.sent.End(time.Now(), pick.Served)
	}
	if rq.out.started {
		// Another server went on with a stream and answered with no stream; the caller's stream ends early.
		return mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "the stream can't go on: status %d", an.Status)
	}
	rq.log.note(se, time.Since(rq.arrived))
	rq.out.whole(an.Status, an.Header, body)
	return answered, nil
}

// broken ends a sending whose answer did not come whole.
func (se *sending) broken(parent context.Context, err error) (ending, *answer.Error) {
	now := time.Now()
	switch {
	case se.isSilent():
		se.sent.End(now, pick.Silent)
	case parent.Err() != nil:
		se.sent.End(now, pick.Abandoned)
		return mayHaveRun, answer.NewError(answer.Expired, answer.Unknown, 0, "%v", err)
	default:
		se.sent.End(now, pick.Failed)
	}
	return mayHaveRun, answer.NewError(answer.StreamBroken, answer.Unknown, 0, "%v", err)
}

var errPartialEvent = errors.New("the stream ends within an event")
