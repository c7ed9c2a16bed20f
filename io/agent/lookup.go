package agent

import (
	"context"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Call runs a call of a plain service that may be repeated. It ends with its caller, who can send it again.
func (hd *handler) Call(ctx context.Context, rq *wire.SubmitRequest) (*wire.CallReply, error) {
	ag := hd.agent
	if ag.plain == nil {
		er := answer.NewError(answer.NoBackendServer, answer.NotRun, leastRetryAfter, "a model engine takes no plain calls")
		return &wire.CallReply{Refused: wire.FromError(er), Status: ag.status()}, nil
	}
	ps, refusal := ag.admit(ctx, rq, func() {})
	if refusal != nil {
		return &wire.CallReply{Refused: refusal, Status: ag.status()}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, ps.deadline)
	defer cancel()
	began := time.Now()
	reply := ag.lookUp(ctx, rq)
	ag.gate.leave(ps.id, ps.class, time.Since(began))
	ag.keepUsage(rq, nil, reply.GetFailed())
	reply.Status = ag.status()
	return reply, nil
}

func (ag *Agent) lookUp(ctx context.Context, rq *wire.SubmitRequest) *wire.CallReply {
	request := rq.GetContext().GetRequestId()
	ag.rec.Note(request, trace.ServerBegan)
	got, err := ag.plain.Do(ctx, server.Request{
		Method:      rq.GetMethod(),
		Path:        rq.GetPath(),
		ContentType: rq.GetContentType(),
		Body:        rq.GetBody(),
		RequestID:   request,
	})
	if err != nil {
		ag.rec.Note(request, trace.ServerFailed, "message", err.Error())
		return &wire.CallReply{Failed: failure(ctx, err)}
	}
	ag.rec.Note(request, trace.ServerEnded)
	return &wire.CallReply{HttpStatus: int32(got.Status), ContentType: got.ContentType, Body: got.Body}
}
