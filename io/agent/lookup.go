package agent

import (
	"context"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/intake"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Call runs a repeatable call of a plain service. The call is canceled when its caller disconnects; the caller may
// retry it.
func (hd *handler) Call(ctx context.Context, rq *wire.SubmitRequest) (*wire.CallReply, error) {
	ag := hd.agent
	defer intake.UsePeer(ctx)()
	if ag.plainService == nil {
		er := answer.NewError(answer.NoBackendServer, answer.NotRun, minRetryAfter,
			"a model engine accepts no calls of a plain service")
		return &wire.CallReply{Refused: wire.FromError(er), Status: ag.status()}, nil
	}
	ar, refusal := ag.admit(ctx, rq, func() {})
	if refusal != nil {
		return &wire.CallReply{Refused: refusal, Status: ag.status()}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, ar.deadline)
	defer cancel()
	startedAt := time.Now()
	reply := ag.sendLookup(ctx, rq)
	ag.limiter.release(ar.id, ar.class, time.Since(startedAt))
	ag.addUsageRecord(rq, nil, reply.GetFailed())
	reply.Status = ag.status()
	return reply, nil
}

// sendLookup sends the call to the backend server and returns its response or the failure, without the agent's status.
func (ag *Agent) sendLookup(ctx context.Context, rq *wire.SubmitRequest) *wire.CallReply {
	requestID := rq.GetContext().GetRequestId()
	ag.rec.RecordEvent(requestID, trace.ServerCalled)
	rs, err := ag.plainService.Do(ctx, server.Request{
		Method:      rq.GetMethod(),
		Path:        rq.GetPath(),
		ContentType: rq.GetContentType(),
		Body:        rq.GetBody(),
		RequestID:   requestID,
	})
	if err != nil {
		ag.recordServerFailure(requestID, err)
		return &wire.CallReply{Failed: toFailure(ctx, err)}
	}
	ag.rec.RecordEvent(requestID, trace.ServerAnswered)
	return &wire.CallReply{HttpStatus: int32(rs.Status), ContentType: rs.ContentType, Body: rs.Body}
}
