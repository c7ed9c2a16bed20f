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
	"shallotcleat/io/intake"
	"shallotcleat/io/rows"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// GrantTicket grants a ticket, which reserves the right to run one order.
func (hd *handler) GrantTicket(_ context.Context, rq *wire.TicketRequest) (*wire.TicketReply, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	refusal := ag.checkAccepting(rq.GetContext(), rq.GetService())
	if ag.plainService == nil && refusal == nil {
		refusal = answer.NewError(answer.NoBackendServer, answer.NotRun, 0, "a model engine accepts no orders")
	}
	if refusal != nil {
		return &wire.TicketReply{Refused: wire.FromError(refusal), Status: ag.status()}, nil
	}
	ag.ledgerMu.Lock()
	tk, ok := ag.ledger.Grant(time.Now())
	ag.ledgerMu.Unlock()
	if !ok {
		er := answer.NewError(answer.Overloaded, answer.NotRun, minRetryAfter, "too many orders in progress")
		return &wire.TicketReply{Refused: wire.FromError(er), Status: ag.status()}, nil
	}
	ag.rec.RecordEvent(rq.GetContext().GetRequestId(), trace.TicketGranted)
	return &wire.TicketReply{Ticket: wire.FromTicket(tk), Status: ag.status()}, nil
}

// Redeem consumes a live ticket, runs its order and returns the report. The order continues if the entry disconnects;
// Probe then returns the report.
func (hd *handler) Redeem(ctx context.Context, rq *wire.RedeemRequest) (*wire.Report, error) {
	ag := hd.agent
	defer intake.UsePeer(ctx)()
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
		return ag.toReport(rp), nil
	}
	ag.rec.RecordEvent(rq.GetContext().GetRequestId(), trace.TicketRedeemed)
	done := make(chan order.Report, 1)
	go func() { done <- ag.runOrder(rq, tk) }()
	select {
	case rp = <-done:
		return ag.toReport(rp), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runOrder sends the order to the backend server once and records the report in the ledger.
func (ag *Agent) runOrder(rq *wire.RedeemRequest, tk order.Ticket) order.Report {
	rp := ag.sendOrder(rq)
	ag.ledgerMu.Lock()
	ag.ledger.Finish(time.Now(), tk, rp)
	ag.ledgerMu.Unlock()
	return rp
}

// sendOrder acquires a slot, sends the order to the backend server and returns the report. Its context ends at the
// deadline of the request and not with the entry's call.
func (ag *Agent) sendOrder(rq *wire.RedeemRequest) order.Report {
	deadline := time.UnixMilli(rq.GetContext().GetDeadlineUnixMs())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ar := admitRequest{id: uuid.NewString(), workspace: rq.GetContext().GetWorkspace(), share: 1, class: admit.ClassShort,
		deadline: deadline}
	if refusal := ag.limiter.acquire(ctx, ar, func() {}); refusal != nil {
		return order.NotSent{}
	}
	startedAt := time.Now()
	defer func() { ag.limiter.release(ar.id, ar.class, time.Since(startedAt)) }()
	requestID := rq.GetContext().GetRequestId()
	ag.rec.RecordEvent(requestID, trace.ServerCalled)
	rs, err := ag.plainService.Do(ctx, server.Request{
		Method:         rq.GetMethod(),
		Path:           rq.GetPath(),
		ContentType:    rq.GetContentType(),
		Body:           rq.GetBody(),
		RequestID:      requestID,
		IdempotencyKey: rq.GetIdempotencyKey(),
	})
	var notSent *server.NotSentError
	switch {
	case err == nil:
		ag.rec.RecordEvent(requestID, trace.ServerAnswered)
		return order.NewAnswered(order.NewResult(rs.Status, string(rs.Body)))
	case errors.As(err, &notSent):
		ag.recordServerFailure(requestID, err)
		return order.NotSent{}
	}
	ag.recordServerFailure(requestID, err)
	return order.AnswerLost{}
}

// toReport returns the wire report with the agent's status.
func (ag *Agent) toReport(rp order.Report) *wire.Report {
	out := wire.FromReport(rp)
	out.Status = ag.status()
	return out
}

// Probe voids a ticket that is not redeemed, and reports its state.
func (hd *handler) Probe(_ context.Context, rq *wire.ProbeRequest) (*wire.Report, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	ag.ledgerMu.Lock()
	rp := ag.ledger.Probe(rq.GetTicket().ToTicket())
	ag.ledgerMu.Unlock()
	out := ag.toReport(rp)
	ag.rec.RecordEvent(rq.GetContext().GetRequestId(), trace.TicketProbed, "report", out.GetKind().String())
	return out, nil
}

// Confirm drops the ticket of an order whose row is settled.
func (hd *handler) Confirm(_ context.Context, rq *wire.ConfirmRequest) (*wire.ConfirmReply, error) {
	ag := hd.agent
	ag.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	ag.ledgerMu.Lock()
	ag.ledger.Confirm(rq.GetTicket().ToTicket())
	ag.ledgerMu.Unlock()
	return &wire.ConfirmReply{Status: ag.status()}, nil
}

// settleRows writes the rows of orders that ended at least settleDelay ago and that no entry has confirmed. There is no
// delay while the agent stops. After a failed write the remaining rows wait for the next call.
func (ag *Agent) settleRows(ctx context.Context) {
	endedBy := time.Now()
	if !ag.stopping.Load() {
		endedBy = endedBy.Add(-settleDelay)
	}
	ag.ledgerMu.Lock()
	unsettled := ag.ledger.Unsettled(endedBy)
	ag.ledgerMu.Unlock()
	for _, uo := range unsettled {
		ev := rows.Write(ctx, ag.store, uo.Key(), uo.Row())
		if _, failed := ev.(order.WriteFailed); failed {
			return
		}
		// A conflict means that the row is settled: no other attempt can take it over while the ledger holds the
		// ticket.
		ag.ledgerMu.Lock()
		ag.ledger.Confirm(uo.Ticket())
		ag.ledgerMu.Unlock()
		ag.rec.RecordEvent(uo.Row().Request(), trace.OrderSettled)
	}
}
