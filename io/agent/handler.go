package agent

import (
	"context"
	"errors"
	"time"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
	"shallotcleat/core/stamp"
	"shallotcleat/io/intake"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// handler implements the Agent service of package wire.
type handler struct {
	agent *Agent
}

// Submit runs a model call and streams its frames.
func (hd *handler) Submit(rq *wire.SubmitRequest, out wire.DRPCAgent_SubmitStream) error {
	ag := hd.agent
	defer intake.UsePeer(out.Context())()
	ar, refusal := ag.admit(out.Context(), rq, func() {
		// An error means that the entry has disconnected; the context then ends the wait.
		_ = out.Send(&wire.Frame{Kind: &wire.Frame_Waiting{Waiting: &wire.Waiting{}}, Status: ag.status()})
	})
	if refusal != nil {
		return out.Send(&wire.Frame{Kind: &wire.Frame_Refused{Refused: refusal}, Status: ag.status()})
	}
	st := ag.startStream(rq, ar)
	return st.send(out.Context(), 0, out.Send)
}

// admit acquires a slot of the backend server for a call, or returns the refusal. It calls onQueued before it waits.
// After a nil refusal the caller must release the slot.
func (ag *Agent) admit(ctx context.Context, rq *wire.SubmitRequest, onQueued func()) (admitRequest, *wire.Refusal) {
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	ar := newAdmitRequest(rq)
	refusal := ag.checkSubmit(rq)
	if refusal == nil {
		offeredAt := time.Now()
		refusal = ag.limiter.acquire(ctx, ar, onQueued)
		ag.rec.RecordQueueWait(time.Since(offeredAt))
		if refusal == nil {
			// The engine may have loaded other weights, or started again with them, while the call was queued.
			if refusal = ag.checkWeights(rq); refusal != nil {
				ag.limiter.release(ar.id, ar.class, 0)
			}
		}
	}
	requestID := rq.GetContext().GetRequestId()
	if refusal != nil {
		ag.rec.CountRefusal(string(refusal.Code()))
		ag.rec.RecordEvent(requestID, trace.RequestRefused, "code", string(refusal.Code()))
		return ar, wire.FromError(refusal)
	}
	ag.rec.RecordEvent(requestID, trace.RequestAdmitted)
	return ar, nil
}

// newAdmitRequest returns the admission request of a call. Its id is that of the attempt, which is unique among the
// attempts of all requests.
func newAdmitRequest(rq *wire.SubmitRequest) admitRequest {
	class := admit.ClassLong
	if rq.GetCheck() {
		class = admit.ClassShort
	}
	return admitRequest{
		id:        rq.GetContext().GetTryId(),
		workspace: rq.GetContext().GetWorkspace(),
		share:     int(rq.GetShare()),
		class:     class,
		deadline:  time.UnixMilli(rq.GetContext().GetDeadlineUnixMs()),
	}
}

// checkSubmit returns the error with which a call is refused before it is queued, or nil. A call that continues a partly
// sent response keeps its configuration and is accepted with an older epoch.
func (ag *Agent) checkSubmit(rq *wire.SubmitRequest) *answer.Error {
	refusal := ag.checkAccepting(rq.GetContext(), rq.GetService())
	if refusal != nil && !(rq.GetBegun() && refusal.Code() == answer.StaleEpoch) {
		return refusal
	}
	if refusal := ag.checkWeights(rq); refusal != nil || ag.engine == nil {
		return refusal
	}
	if st := ag.engineState.Load(); rq.GetCachedTokens() > 0 && rq.GetEngine() != st.Incarnation {
		return answer.NewError(answer.StaleCache, answer.NotRun, minRetryAfter,
			"the request expects the cache of another incarnation of the engine")
	}
	return nil
}

// checkWeights returns the error with which a call is refused because of the weights that the engine serves, or nil.
func (ag *Agent) checkWeights(rq *wire.SubmitRequest) *answer.Error {
	if ag.engine == nil {
		return nil
	}
	st := ag.engineState.Load()
	if st.Loading {
		return answer.NewError(answer.NoBackendServer, answer.NotRun, minRetryAfter, "the engine is loading weights")
	}
	if rq.GetWeights() != st.WeightVersion {
		return answer.NewError(answer.StaleWeights, answer.NotRun, minRetryAfter,
			"the engine serves weight version %q, the request needs %q", st.WeightVersion, rq.GetWeights())
	}
	return nil
}

// checkAccepting returns the error with which the agent refuses any work for a service, or nil.
func (ag *Agent) checkAccepting(wc *wire.Context, service string) *answer.Error {
	if ag.isLeaving() {
		return answer.NewError(answer.Leaving, answer.NotRun, minRetryAfter, "the backend server is leaving")
	}
	if service != ag.service {
		return answer.NewError(answer.NoBackendServer, answer.NotRun, minRetryAfter, "the agent serves service %q", ag.service)
	}
	if epoch := ag.board.Epoch(); wc.GetEpoch() < epoch {
		return answer.NewError(answer.StaleEpoch, answer.NotRun, minRetryAfter,
			"the request has epoch %d, but epoch %d is in force", wc.GetEpoch(), epoch)
	}
	return nil
}

// Resume sends the frames of a stream after a sequence number.
func (hd *handler) Resume(rq *wire.ResumeRequest, out wire.DRPCAgent_ResumeStream) error {
	ag := hd.agent
	defer intake.UsePeer(out.Context())()
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	st, ok := ag.streams.get(rq.GetStreamId(), rq.GetContext().GetWorkspace())
	err := errStreamRemoved
	if ok && rq.GetIncarnation() == ag.incarnation {
		ag.rec.RecordEvent(rq.GetContext().GetRequestId(), trace.StreamResumed)
		err = st.send(out.Context(), rq.GetFromSeq(), out.Send)
	}
	if !errors.Is(err, errStreamRemoved) {
		return err
	}
	er := answer.NewError(answer.NotResumable, answer.Unknown, 0, "%v", err)
	return out.Send(&wire.Frame{Kind: &wire.Frame_Refused{Refused: wire.FromError(er)}, Status: ag.status()})
}

// Exchange compares configurations with an entry and removes the usage records that the entry has written.
func (hd *handler) Exchange(_ context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	hd.agent.pendingUsage.Confirm(rq.GetStoredTries())
	return hd.agent.watcher.HandleExchange(rq, hd.agent.status()), nil
}
