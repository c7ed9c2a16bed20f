package agent

import (
	"context"
	"errors"
	"strconv"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/usage"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// start begins an admitted call and returns the stream that its output goes to. The call goes on without its reader
// for the grace time, so that the reader can resume.
func (ag *Agent) start(rq *wire.SubmitRequest, ps pass) *stream {
	ctx, cancel := context.WithDeadline(context.Background(), ps.deadline)
	st := ag.streams.add(ps.workspace, cancel)
	accepted := &wire.Accepted{StreamId: st.id, RequestId: rq.GetContext().GetRequestId(), TryId: ps.id}
	st.append(&wire.Frame{Kind: &wire.Frame_Accepted{Accepted: accepted}, Status: ag.status()}, false)
	// A plain goroutine, here and for orders: a panic is to end the process at once, not when a group is waited for. The
	// gate counts the calls that a stop waits for.
	go func() {
		defer cancel()
		began := time.Now()
		defer func() { ag.gate.leave(ps.id, ps.class, time.Since(began)) }()
		request := rq.GetContext().GetRequestId()
		ag.rec.Note(request, trace.ServerBegan)
		end := ag.callModel(ctx, rq, st)
		ag.noteEnd(request, end)
		ag.keepUsage(rq, end.GetEnd().GetUsage(), end.GetFailed())
		end.Status = ag.status()
		st.append(end, true)
	}()
	return st
}

func (ag *Agent) noteEnd(request string, end *wire.Frame) {
	if failed := end.GetFailed(); failed != nil {
		ag.rec.Note(request, trace.ServerFailed, "code", failed.GetCode(), "message", failed.GetMessage())
		return
	}
	us := end.GetEnd().GetUsage()
	ag.rec.CountTokens(us.GetPromptTokens(), us.GetCachedTokens())
	ag.rec.Note(request, trace.ServerEnded,
		"cached_tokens", strconv.FormatInt(us.GetCachedTokens(), 10),
		"prompt_tokens", strconv.FormatInt(us.GetPromptTokens(), 10))
}

// keepUsage makes the agent's record of a call.
func (ag *Agent) keepUsage(rq *wire.SubmitRequest, us *wire.Usage, failed *wire.Refusal) {
	outcome := answer.Done
	if failed != nil {
		outcome = failed.ToError().Outcome()
	}
	ag.holder.Add(ag.clock.Now(), usage.Record{
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

// Priorities of the engines' own queues.
const (
	checkPriority = 0
	guidePriority = 10
)

func (ag *Agent) callModel(ctx context.Context, rq *wire.SubmitRequest, st *stream) *wire.Frame {
	missing := int(rq.GetPromptTokens() - rq.GetCachedTokens())
	ahead := ag.gate.beginPrefill(missing)
	began := time.Now()
	computing := true
	priority := guidePriority
	if rq.GetCheck() {
		priority = checkPriority
	}
	us, err := ag.model.Stream(ctx, server.CompletionRequest{
		Path:      rq.GetPath(),
		Body:      rq.GetBody(),
		RequestID: rq.GetContext().GetRequestId(),
		CacheSalt: rq.GetSalt(),
		Adapter:   rq.GetAdapter(),
		Priority:  priority,
	}, func(ev server.Event) {
		if computing {
			computing = false
			ag.gate.endPrefill(missing, ahead, time.Since(began))
		}
		st.append(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: ev.Data, Text: ev.Text}}}, false)
	})
	if computing {
		ag.gate.dropPrefill(missing)
	}
	if err != nil {
		return &wire.Frame{Kind: &wire.Frame_Failed{Failed: failure(ctx, err)}}
	}
	return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Usage: &wire.Usage{
		PromptTokens: us.PromptTokens,
		CachedTokens: us.CachedTokens,
		OutputTokens: us.OutputTokens,
	}}}}
}

// failure returns the reason why a call did not end.
func failure(ctx context.Context, err error) *wire.Refusal {
	er := answer.NewError(answer.ServerFailed, answer.Unknown, leastRetryAfter, "%v", err)
	var unreached *server.NotSentError
	var status *server.StatusError
	switch {
	case ctx.Err() != nil:
		er = answer.NewError(answer.DeadlineExceeded, answer.Unknown, leastRetryAfter, "deadline exceeded")
	case errors.As(err, &unreached):
		er = answer.NewError(answer.ServerUnreachable, answer.NotRun, leastRetryAfter, "%v", err)
	case errors.As(err, &status):
		er = answer.NewError(answer.BadRequest, answer.NotRun, 0, "the engine answered %d: %s", status.Status(), status.Body())
	}
	return wire.FromError(er)
}
