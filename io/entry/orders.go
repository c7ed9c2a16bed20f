package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"regexp"
	"time"

	"github.com/google/uuid"

	"shallotcleat/core/answer"
	"shallotcleat/core/order"
	"shallotcleat/io/intake"
	"shallotcleat/io/rows"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Timeouts and limits of the order protocol's messages.
const (
	ticketTimeout = 500 * time.Millisecond
	probeTimeout  = time.Second
	notifyTimeout = time.Second
	// maxTicketRequests bounds the requests for one ticket.
	maxTicketRequests = 3
)

// idempotencyKeyPattern is the format of idempotency keys; a key becomes part of a table key.
var idempotencyKeyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// serveOrder serves a call that must not run more than once.
func (en *Entry) serveOrder(ctx context.Context, call *plainCall, wr http.ResponseWriter) *answer.Error {
	if call.idempotencyKey == "" {
		return answer.NewError(answer.IdempotencyKeyRequired, answer.NotRun, 0, "missing header Idempotency-Key; this call requires it")
	}
	if !idempotencyKeyPattern.MatchString(call.idempotencyKey) {
		return badRequest("header Idempotency-Key: want 1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':' and '-'")
	}
	dr := &orderDriver{
		entry:   en,
		call:    call,
		rowKey:  rows.Key(call.rq.workspace.Name(), call.idempotencyKey),
		attempt: order.NewAttempt(uuid.NewString(), call.rq.id, orderDigest(call)),
	}
	// An order continues after its caller has disconnected, so that a lost connection does not leave it half done.
	orderCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.rq.deadline)
	defer cancel()
	defer context.AfterFunc(en.cut, cancel)()
	finish := dr.run(orderCtx)
	if finish.Err() != nil {
		return finish.Err()
	}
	en.writeOrderResult(wr, call, finish.Row())
	return nil
}

// orderDigest returns a hash of the order's content, which distinguishes a retry from another order with the same idempotency key.
func orderDigest(call *plainCall) string {
	sum := sha256.New()
	for _, part := range []string{call.service.Name(), call.method, call.path, call.contentType} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(call.rq.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// writeOrderResult writes the stored result as the response. The header X-Order-Request is the id of the request that the order
// is charged to.
func (en *Entry) writeOrderResult(wr http.ResponseWriter, call *plainCall, row order.Row) {
	body := row.Result().Body()
	contentType := "text/plain; charset=utf-8"
	if json.Valid([]byte(body)) {
		contentType = "application/json"
	}
	wr.Header().Set("Content-Type", contentType)
	wr.Header().Set("X-Outcome", string(answer.Done))
	wr.Header().Set("X-Order-Request", row.Request())
	setLength(wr, len(body))
	wr.WriteHeader(row.Result().Status())
	cl := en.claimResponse(wr)
	defer cl.Close()
	// The result is in the table, and small; without room, only the slow reading of it is not bounded.
	_ = cl.Grow(time.Now(), int64(len(body)))
	intake.WriteSlowly(cl, wr, []byte(body))
	en.recordResponse(call.rq, string(answer.Done), "order_request", row.Request())
}

// orderDriver performs the effects of an order's attempt.
type orderDriver struct {
	entry   *Entry
	call    *plainCall
	rowKey  string
	attempt *order.Attempt
}

// run steps the attempt until it finishes, and abandons it once ctx is done.
func (dr *orderDriver) run(ctx context.Context) order.Finish {
	effects := dr.attempt.Step(order.Begin{})
	for {
		ev, finish := dr.perform(ctx, effects)
		if finish != nil {
			return *finish
		}
		if ctx.Err() != nil {
			effects = dr.attempt.Abandon()
			continue
		}
		effects = dr.attempt.Step(ev)
	}
}

// perform performs the effects and returns the last event that results from them, or the Finish effect if there is one.
func (dr *orderDriver) perform(ctx context.Context, effects []order.Effect) (order.Event, *order.Finish) {
	var ev order.Event
	for _, ef := range effects {
		switch ef := ef.(type) {
		case order.RequestTicket:
			ev = dr.requestTicket(ctx)
		case order.ReadRow:
			ev = rows.Read(ctx, dr.entry.store, dr.rowKey)
		case order.WriteRow:
			ev = dr.writeRow(ctx, ef.Row())
		case order.Redeem:
			ev = dr.redeem(ctx, ef)
		case order.Probe:
			ev = dr.probe(ctx, ef.Ticket())
		case order.Void:
			dr.void(ef.Ticket())
		case order.Confirm:
			dr.confirm(ef.Ticket())
		case order.Wait:
			ev = wait(ctx, ef.Delay())
		case order.Finish:
			return nil, &ef
		}
	}
	return ev, nil
}

func wait(ctx context.Context, delay time.Duration) order.Event {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	return order.WaitElapsed{}
}

func (dr *orderDriver) writeRow(ctx context.Context, row order.Row) order.Event {
	ev := rows.Write(ctx, dr.entry.store, dr.rowKey, row)
	kind := trace.OrderRowWritten
	switch ev.(type) {
	case order.WriteFailed:
		kind = trace.OrderRowWriteLost
	case order.Conflict:
		kind = trace.OrderRowConflict
	}
	dr.entry.rec.RecordEvent(dr.call.rq.id, kind, "state", string(row.State()), "key", dr.rowKey)
	return ev
}

// requestTicket requests a ticket from the agents of the service in turn, those with the shortest expected wait first.
func (dr *orderDriver) requestTicket(ctx context.Context) order.Event {
	retryAfter := defaultRetryAfter
	excluded := make(map[string]bool)
	for range maxTicketRequests {
		address, ok := dr.entry.choosePlain(dr.call, excluded)
		if !ok {
			break
		}
		reply, err := dr.requestTicketFrom(ctx, address)
		if err == nil && reply.GetTicket() != nil {
			return order.NewGranted(reply.GetTicket().ToTicket())
		}
		excluded[address] = true
		if err != nil {
			continue
		}
		er := reply.GetRefused().ToError()
		retryAfter = max(retryAfter, er.RetryAfter())
		if er.Code() == answer.StaleEpoch && dr.adoptConfigOf(ctx, address) {
			delete(excluded, address)
		}
	}
	return order.NewDenied(retryAfter)
}

func (dr *orderDriver) requestTicketFrom(ctx context.Context, address string) (*wire.TicketReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	reply, err := dr.entry.pool.Agent(address).GrantTicket(ctx, &wire.TicketRequest{
		Context: dr.entry.wireContext(dr.call.rq),
		Service: dr.call.service.Name(),
		Share:   int32(dr.call.rq.workspace.Share()),
	})
	if err != nil {
		dr.entry.board.Members().RecordFailure(time.Now(), address)
		return nil, err
	}
	dr.entry.recordStatus(address, reply.GetStatus())
	return reply, nil
}

// adoptConfigOf adopts the newer configuration of an agent and reports whether the order may continue under it. The order must
// not have run yet.
func (dr *orderDriver) adoptConfigOf(ctx context.Context, address string) bool {
	dr.entry.fetchConfig(ctx, address)
	return dr.entry.adoptSnapshot(dr.call.rq) == nil
}

func (dr *orderDriver) redeem(ctx context.Context, rd order.Redeem) order.Event {
	row, err := rows.Encode(rd.Intent())
	if err != nil {
		return order.Unreachable{}
	}
	call := dr.call
	report, err := dr.entry.pool.Agent(rd.Ticket().Agent()).Redeem(ctx, &wire.RedeemRequest{
		Context:        dr.entry.wireContext(call.rq),
		Ticket:         wire.FromTicket(rd.Ticket()),
		RowKey:         dr.rowKey,
		Row:            row,
		RowVersion:     rd.Intent().Version(),
		Method:         call.method,
		Path:           call.path,
		Body:           call.rq.body,
		ContentType:    call.contentType,
		IdempotencyKey: call.idempotencyKey,
	})
	return dr.reportEvent(rd.Ticket().Agent(), report, err)
}

func (dr *orderDriver) probe(ctx context.Context, tk order.Ticket) order.Event {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := dr.entry.pool.Agent(tk.Agent()).Probe(ctx, &wire.ProbeRequest{
		Context: dr.entry.wireContext(dr.call.rq),
		Ticket:  wire.FromTicket(tk),
	})
	return dr.reportEvent(tk.Agent(), report, err)
}

func (dr *orderDriver) reportEvent(address string, report *wire.Report, err error) order.Event {
	if err != nil {
		return dr.unreachableEvent(address)
	}
	dr.entry.recordStatus(address, report.GetStatus())
	orderReport, ok := report.ToReport()
	if !ok {
		return order.Unreachable{}
	}
	return order.NewReported(orderReport)
}

// unreachableEvent returns Unreachable for an agent that may reply later, and VMRemoved for one whose VM no longer exists. If the
// VM list wrongly omits the VM, the order may have run, and the caller receives an unknown outcome.
func (dr *orderDriver) unreachableEvent(address string) order.Event {
	if dr.entry.vms.IsGone(time.Now(), address, dr.entry.board.Snapshot()) {
		return order.VMRemoved{}
	}
	return order.Unreachable{}
}

// void notifies the agent in the background that the ticket will not be used; without the notification the ticket expires.
func (dr *orderDriver) void(tk order.Ticket) {
	rq := &wire.ProbeRequest{Context: dr.entry.wireContext(dr.call.rq), Ticket: wire.FromTicket(tk)}
	dr.entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_, _ = dr.entry.pool.Agent(tk.Agent()).Probe(ctx, rq)
	})
}

// confirm notifies the agent in the background that the row is settled; without the notification the agent detects that itself.
func (dr *orderDriver) confirm(tk order.Ticket) {
	rq := &wire.ConfirmRequest{Context: dr.entry.wireContext(dr.call.rq), Ticket: wire.FromTicket(tk)}
	dr.entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_, _ = dr.entry.pool.Agent(tk.Agent()).Confirm(ctx, rq)
	})
}
