package agent

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
	"shallotcleat/core/order"
	"shallotcleat/core/stamp"
	"shallotcleat/io/rows"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// GrantTicket reserves the right to run one order.
func (hd *handler) GrantTicket(_ context.Context, rq *wire.TicketRequest) (*wire.TicketReply, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	refusal := ag.checkTaking(rq.GetContext(), rq.GetService())
	if ag.plain == nil && refusal == nil {
		refusal = answer.NewError(answer.NoBackendServer, answer.NotRun, 0, "a model engine takes no orders")
	}
	if refusal != nil {
		return &wire.TicketReply{Refused: wire.FromError(refusal), Status: ag.status()}, nil
	}
	ag.ledgerMu.Lock()
	tk, ok := ag.ledger.Grant(time.Now())
	ag.ledgerMu.Unlock()
	if !ok {
		er := answer.NewError(answer.Overloaded, answer.NotRun, leastRetryAfter, "too many orders are under way")
		return &wire.TicketReply{Refused: wire.FromError(er), Status: ag.status()}, nil
	}
	ag.rec.Note(rq.GetContext().GetRequestId(), trace.TicketGranted)
	return &wire.TicketReply{Ticket: wire.FromTicket(tk), Status: ag.status()}, nil
}

// Redeem runs an order against a live ticket. The run goes on when the entry leaves; a probe then finds its report.
func (hd *handler) Redeem(ctx context.Context, rq *wire.RedeemRequest) (*wire.Report, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	tk := rq.GetTicket().ToTicket()
	intent, err := rows.Decode(rq.GetRow(), rq.GetRowVersion())
	if err != nil {
		return nil, err
	}
	ag.ledgerMu.Lock()
	run, rp := ag.ledger.Redeem(time.Now(), tk, rq.GetRowKey(), intent)
	ag.ledgerMu.Unlock()
	if !run {
		return ag.report(rp), nil
	}
	ag.rec.Note(rq.GetContext().GetRequestId(), trace.TicketUsed)
	ended := make(chan order.Report, 1)
	go func() { ended <- ag.runOrder(rq, tk) }()
	select {
	case rp = <-ended:
		return ag.report(rp), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runOrder sends the order to the backend server once and records what became of it.
func (ag *Agent) runOrder(rq *wire.RedeemRequest, tk order.Ticket) order.Report {
	rp := ag.callOrder(rq)
	ag.ledgerMu.Lock()
	ag.ledger.Finish(time.Now(), tk, rp)
	ag.ledgerMu.Unlock()
	return rp
}

func (ag *Agent) callOrder(rq *wire.RedeemRequest) order.Report {
	deadline := time.UnixMilli(rq.GetContext().GetDeadlineUnixMs())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ps := pass{id: uuid.NewString(), workspace: rq.GetContext().GetWorkspace(), share: 1, class: admit.ClassShort, deadline: deadline}
	if refusal := ag.gate.enter(ctx, ps, func() {}); refusal != nil {
		return order.NotSent{}
	}
	began := time.Now()
	defer func() { ag.gate.leave(ps.id, ps.class, time.Since(began)) }()
	request := rq.GetContext().GetRequestId()
	ag.rec.Note(request, trace.ServerBegan)
	reply, err := ag.plain.Do(ctx, server.Request{
		Method:         rq.GetMethod(),
		Path:           rq.GetPath(),
		ContentType:    rq.GetContentType(),
		Body:           rq.GetBody(),
		RequestID:      request,
		IdempotencyKey: rq.GetIdempotencyKey(),
	})
	var unreached *server.NotSentError
	switch {
	case err == nil:
		ag.rec.Note(request, trace.ServerEnded)
		return order.NewAnswered(order.NewResult(reply.Status, string(reply.Body)))
	case errors.As(err, &unreached):
		ag.rec.Note(request, trace.ServerFailed, "message", err.Error())
		return order.NotSent{}
	}
	ag.rec.Note(request, trace.ServerFailed, "message", err.Error())
	return order.AnswerLost{}
}

func (ag *Agent) report(rp order.Report) *wire.Report {
	out := wire.FromReport(rp)
	out.Status = ag.status()
	return out
}

// Probe voids a live ticket and tells what became of it.
func (hd *handler) Probe(_ context.Context, rq *wire.ProbeRequest) (*wire.Report, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	ag.ledgerMu.Lock()
	rp := ag.ledger.Probe(rq.GetTicket().ToTicket())
	ag.ledgerMu.Unlock()
	out := ag.report(rp)
	ag.rec.Note(rq.GetContext().GetRequestId(), trace.TicketProbed, "report", out.GetKind().String())
	return out, nil
}

// Confirm forgets an answer whose row is settled.
func (hd *handler) Confirm(_ context.Context, rq *wire.ConfirmRequest) (*wire.ConfirmReply, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	ag.ledgerMu.Lock()
	ag.ledger.Confirm(rq.GetTicket().ToTicket())
	ag.ledgerMu.Unlock()
	return &wire.ConfirmReply{Status: ag.status()}, nil
}

// settle writes the rows of orders that ended a while ago and that no entry has confirmed.
func (ag *Agent) settle(ctx context.Context) {
	before := time.Now()
	if !ag.stopping.Load() {
		before = before.Add(-settleAge)
	}
	ag.ledgerMu.Lock()
	unsettled := ag.ledger.Unsettled(before)
	ag.ledgerMu.Unlock()
	for _, us := range unsettled {
		ev := rows.Write(ctx, ag.store, us.Key(), us.Row())
		if _, failed := ev.(order.WriteFailed); failed {
			return
		}
		// A conflict shows that the row is settled: no other attempt can take it over while the answer is held.
		ag.ledgerMu.Lock()
		ag.ledger.Confirm(us.Ticket())
		ag.ledgerMu.Unlock()
		ag.rec.Note(us.Row().Request(), trace.Settled)
	}
}
