package agent

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/usage"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// startStream starts an admitted call and returns the stream of its output. The call continues for resumeGracePeriod
// after its last reader has disconnected, so that a reader can resume it.
func (ag *Agent) startStream(rq *wire.SubmitRequest, ar admitRequest) *stream {
	ctx, cancel := context.WithDeadline(context.Background(), ar.deadline)
	st := ag.streams.add(ar.workspace, cancel)
	accepted := &wire.Accepted{StreamId: st.id, RequestId: rq.GetContext().GetRequestId(), TryId: ar.id}
	st.append(&wire.Frame{Kind: &wire.Frame_Accepted{Accepted: accepted}, Status: ag.status()}, false)
	// This goroutine, like that of an order, is not in a conc.WaitGroup, which holds back a panic until Wait: a panic must
	// end the process at once. The limiter counts the calls that a stop waits for.
	go func() {
		defer cancel()
		startedAt := time.Now()
		defer func() { ag.limiter.release(ar.id, ar.class, time.Since(startedAt)) }()
		requestID := rq.GetContext().GetRequestId()
		ag.rec.RecordEvent(requestID, trace.ServerCalled)
		end := ag.callModel(ctx, rq, st)
		ag.recordEnd(requestID, end)
		ag.addUsageRecord(rq, end.GetEnd().GetUsage(), end.GetFailed())
		end.Status = ag.status()
		st.append(end, true)
	}()
	return st
}

// recordEnd records the timeline event and the token metrics of a call that has ended.
func (ag *Agent) recordEnd(requestID string, end *wire.Frame) {
	if failed := end.GetFailed(); failed != nil {
		ag.rec.RecordEvent(requestID, trace.ServerFailed, "code", failed.GetCode(), "message", failed.GetMessage())
		return
	}
	us := end.GetEnd().GetUsage()
	ag.rec.CountTokens(us.GetPromptTokens(), us.GetCachedTokens())
	ag.rec.RecordEvent(requestID, trace.ServerAnswered,
		"cached_tokens", strconv.FormatInt(us.GetCachedTokens(), 10),
		"prompt_tokens", strconv.FormatInt(us.GetPromptTokens(), 10))
}

// addUsageRecord adds the agent's usage record of a call that has ended.
func (ag *Agent) addUsageRecord(rq *wire.SubmitRequest, us *wire.Usage, failed *wire.Refusal) {
	outcome := answer.Done
	if failed != nil {
		outcome = failed.ToError().Outcome()
	}
	ag.pendingUsage.Add(ag.clock.Now(), usage.Record{
		Request:     rq.GetContext().GetRequestId(),
		Try:         rq.GetContext().GetTryId(),
		Source:      usage.Agent,
		Workspace:   rq.GetContext().GetWorkspace(),
		Service:     rq.GetService(),
		Epoch:       rq.GetContext().GetEpoch(),
		Agent:       ag.address,
		Incarnation: ag.incarnation,
		Engine:      ag.EngineIncarnation(),
		Prompt:      us.GetPromptTokens(),
		Cached:      us.GetCachedTokens(),
		Output:      us.GetOutputTokens(),
		Outcome:     string(outcome),
	})
}

// Priorities in the engine's own queue; lower values run first.
const (
	shortPriority = 0
	longPriority  = 10
)

// callModel sends the call to the engine, appends its events to the stream and returns the last frame, which the caller
// appends. The prefill ends with the first event.
func (ag *Agent) callModel(ctx context.Context, rq *wire.SubmitRequest, st *stream) *wire.Frame {
	uncached := int(rq.GetPromptTokens() - rq.GetCachedTokens())
	pending := ag.limiter.beginPrefill(uncached)
	sentAt := time.Now()
	inPrefill := true
	priority := longPriority
	if rq.GetCheck() {
		priority = shortPriority
	}
	us, err := ag.engine.Stream(ctx, server.CompletionRequest{
		Path:      rq.GetPath(),
		Body:      rq.GetBody(),
		RequestID: rq.GetContext().GetRequestId(),
		CacheSalt: rq.GetSalt(),
		Adapter:   rq.GetAdapter(),
		Priority:  priority,
	}, func(ev server.Event) error {
		if inPrefill {
			inPrefill = false
			ag.limiter.endPrefill(uncached, pending, time.Since(sentAt))
		}
		return st.appendEvent(ev)
	})
	if inPrefill {
		ag.limiter.cancelPrefill(uncached)
	}
	if err != nil {
		ag.countBroken(err)
		return &wire.Frame{Kind: &wire.Frame_Failed{Failed: toFailure(ctx, err)}}
	}
	return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Usage: &wire.Usage{
		PromptTokens: us.PromptTokens,
		CachedTokens: us.CachedTokens,
		OutputTokens: us.OutputTokens,
	}}}}
}

// toFailure returns the failure of a call whose request to the backend server returned err.
func toFailure(ctx context.Context, err error) *wire.Refusal {
	er := answer.NewError(answer.ServerFailed, answer.Unknown, minRetryAfter, "%v", err)
	var notSent *server.NotSentError
	var status *server.StatusError
	switch {
	case ctx.Err() != nil:
		er = answer.NewError(answer.DeadlineExceeded, answer.Unknown, minRetryAfter, "deadline exceeded")
	case errors.As(err, &notSent):
		er = answer.NewError(answer.ServerUnreachable, answer.NotRun, minRetryAfter, "%v", err)
	// An engine that failed may have run the call; only a refusal of the call itself states that it has not.
	case errors.As(err, &status) && status.Status() >= http.StatusBadRequest && status.Status() < http.StatusInternalServerError:
		er = answer.NewError(answer.BadRequest, answer.NotRun, 0,
			"the engine returned status %d: %s", status.Status(), status.Body())
	}
	return wire.FromError(er)
}
