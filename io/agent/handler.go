package agent

import (
	"context"
	"time"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
	"shallotcleat/core/stamp"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// handler serves the agents' protocol.
type handler struct {
	agent *Agent
}

// Submit runs a call of a model.
func (hd *handler) Submit(rq *wire.SubmitRequest, out wire.DRPCAgent_SubmitStream) error {
	ag := hd.agent
	ps, refusal := ag.admit(out.Context(), rq, func() {
		// If this can't be sent, the entry is gone and the context ends the wait.
		_ = out.Send(&wire.Frame{Kind: &wire.Frame_Waiting{Waiting: &wire.Waiting{}}, Status: ag.status()})
	})
	if refusal != nil {
		return out.Send(&wire.Frame{Kind: &wire.Frame_Refused{Refused: refusal}, Status: ag.status()})
	}
	st := ag.start(rq, ps)
	return st.send(out.Context(), 0, out.Send)
}

// admit lets a call enter the backend server, or returns the reason why it may not; queued is called if it has to wait.
func (ag *Agent) admit(ctx context.Context, rq *wire.SubmitRequest, queued func()) (pass, *wire.Refusal) {
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	ps := passOf(rq)
	refusal := ag.check(rq)
	if refusal == nil {
		arrived := time.Now()
		refusal = ag.gate.enter(ctx, ps, queued)
		ag.rec.CountQueueWait(time.Since(arrived))
	}
	request := rq.GetContext().GetRequestId()
	if refusal != nil {
		ag.rec.CountRefusal(string(refusal.Code()))
		ag.rec.Note(request, trace.Refused, "code", string(refusal.Code()))
		return ps, wire.FromError(refusal)
	}
	ag.rec.Note(request, trace.Admitted)
	return ps, nil
}

// passOf returns the pass of a request; its context's id is unique among the tries of all requests.
func passOf(rq *wire.SubmitRequest) pass {
	class := admit.ClassLong
	if rq.GetCheck() {
		class = admit.ClassShort
	}
	return pass{
		id:        rq.GetContext().GetTryId(),
		workspace: rq.GetContext().GetWorkspace(),
		share:     int(rq.GetShare()),
		class:     class,
		deadline:  time.UnixMilli(rq.GetContext().GetDeadlineUnixMs()),
	}
}

// check returns the reason why a request may not even queue, or nil.
func (ag *Agent) check(rq *wire.SubmitRequest) *answer.Error {
	refusal := ag.checkTaking(rq.GetContext(), rq.GetService())
	if refusal != nil && !(rq.GetBegun() && refusal.Code() == answer.StaleEpoch) {
		return refusal
	}
	if ag.model == nil {
		return nil
	}
	state := ag.state.Load()
	if state.Loading {
		return answer.NewError(answer.NoBackendServer, answer.NotRun, leastRetryAfter, "the engine loads weights")
	}
	if rq.GetWeights() != state.Weights {
		return answer.NewError(answer.StaleWeights, answer.NotRun, leastRetryAfter,
			"the engine serves weights %q, the request needs %q", state.Weights, rq.GetWeights())
	}
	if rq.GetCachedTokens() > 0 && rq.GetEngine() != state.Incarnation {
		return answer.NewError(answer.StaleCache, answer.NotRun, leastRetryAfter,
			"the engine whose cache the request was placed for is gone")
	}
	return nil
}

// checkTaking returns the reason why the agent takes no work of a service now, or nil.
func (ag *Agent) checkTaking(ctx *wire.Context, service string) *answer.Error {
	if ag.isLeaving() {
		return answer.NewError(answer.Leaving, answer.NotRun, leastRetryAfter, "the backend server is leaving")
	}
	if service != ag.service {
		return answer.NewError(answer.NoBackendServer, answer.NotRun, leastRetryAfter, "the agent serves %q", ag.service)
	}
	if epoch := ag.board.Epoch(); ctx.GetEpoch() < epoch {
		return answer.NewError(answer.StaleEpoch, answer.NotRun, leastRetryAfter,
			"the request has epoch %d, epoch %d is in force", ctx.GetEpoch(), epoch)
	}
	return nil
}

// Resume sends the frames of a stream from a sequence number on.
func (hd *handler) Resume(rq *wire.ResumeRequest, out wire.DRPCAgent_ResumeStream) error {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	st, ok := ag.streams.get(rq.GetStreamId(), rq.GetContext().GetWorkspace())
	if !ok || rq.GetIncarnation() != ag.incarnation {
		er := answer.NewError(answer.NotResumable, answer.Unknown, 0, "the stream is not kept any more")
		return out.Send(&wire.Frame{Kind: &wire.Frame_Refused{Refused: wire.FromError(er)}, Status: ag.status()})
	}
	ag.rec.Note(rq.GetContext().GetRequestId(), trace.Resumed)
	return st.send(out.Context(), rq.GetFromSeq(), out.Send)
}

// Exchange compares configurations.
func (hd *handler) Exchange(_ context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	hd.agent.holder.Confirm(rq.GetStoredTries())
	return hd.agent.watcher.Answer(rq, hd.agent.status()), nil
}
