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
	"shallotcleat/io/rows"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Times of the order protocol's messages.
const (
	ticketTimeout = 500 * time.Millisecond
	probeTimeout  = time.Second
	noteTimeout   = time.Second
	// maxAsked bounds the agents that one ticket is asked of.
	maxAsked = 3
)

// keyPattern is the form of idempotency keys; they become part of the table's keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// serveOrder runs a call that may not be repeated.
func (en *Entry) serveOrder(ctx context.Context, call *plainCall, wr http.ResponseWriter) *answer.Error {
	if call.key == "" {
		return answer.NewError(answer.IdempotencyKeyRequired, answer.NotRun, 0, "this call needs the header Idempotency-Key")
	}
	if !keyPattern.MatchString(call.key) {
		return badRequest("Idempotency-Key: allowed are 1 to 128 of A-Z, a-z, 0-9, '.', '_', ':' and '-'")
	}
	dr := &orderDriver{
		entry:   en,
		call:    call,
		rowKey:  rows.Key(call.rq.workspace.Name(), call.key),
		attempt: order.NewAttempt(uuid.NewString(), call.rq.id, digestOf(call)),
	}
	// An order goes on when its caller has left: a connection that breaks must not lose a booking half-way.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.rq.deadline)
	defer cancel()
	fn := dr.run(detached)
	if fn.Err() != nil {
		return fn.Err()
	}
	en.writeOrder(wr, call, fn.Row())
	return nil
}

// digestOf returns the hash by which a repeated order is told from another one with the same key.
func digestOf(call *plainCall) string {
	sum := sha256.New()
	for _, part := range []string{call.service.Name(), call.method, call.path, call.contentType} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(call.rq.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// writeOrder answers with the stored result; X-Order-Request names the request that the order's charge traces to.
func (en *Entry) writeOrder(wr http.ResponseWriter, call *plainCall, row order.Row) {
	body := row.Result().Body()
	contentType := "text/plain; charset=utf-8"
	if json.Valid([]byte(body)) {
		contentType = "application/json"
	}
	wr.Header().Set("Content-Type", contentType)
	wr.Header().Set("X-Outcome", string(answer.Done))
	wr.Header().Set("X-Order-Request", row.Request())
	wr.WriteHeader(row.Result().Status())
	_, _ = wr.Write([]byte(body))
	en.noteAnswer(call.rq, string(answer.Done), "order_request", row.Request())
}

// orderDriver carries out the effects of an order's attempt.
type orderDriver struct {
	entry   *Entry
	call    *plainCall
	rowKey  string
	attempt *order.Attempt
}

// run drives the attempt to its end, or abandons it when its deadline has passed.
func (dr *orderDriver) run(ctx context.Context) order.Finish {
	effects := dr.attempt.Step(order.Begin{})
	for {
		ev, fn := dr.perform(ctx, effects)
		if fn != nil {
			return *fn
		}
		if ctx.Err() != nil {
			effects = dr.attempt.Abandon()
			continue
		}
		effects = dr.attempt.Step(ev)
	}
}

// perform carries out the effects and returns the event that the last one asks for, or the end of the attempt.
func (dr *orderDriver) perform(ctx context.Context, effects []order.Effect) (order.Event, *order.Finish) {
	var ev order.Event
	for _, ef := range effects {
		switch ef := ef.(type) {
		case order.RequestTicket:
			ev = dr.askTicket(ctx)
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

// askTicket asks the agents of the service, those with the shortest wait first.
func (dr *orderDriver) askTicket(ctx context.Context) order.Event {
	retryAfter := refusedRetryAfter
	refused := make(map[string]bool)
	for range maxAsked {
		address, ok := dr.entry.choosePlain(dr.call, refused)
		if !ok {
			break
		}
		reply, err := dr.askAgent(ctx, address)
		if err == nil && reply.GetTicket() != nil {
			return order.NewGranted(reply.GetTicket().ToTicket())
		}
		refused[address] = true
		if err != nil {
			continue
		}
		er := reply.GetRefused().ToError()
		retryAfter = max(retryAfter, er.RetryAfter())
		if er.Code() == answer.StaleEpoch && dr.catchUp(ctx, address) {
			delete(refused, address)
		}
	}
	return order.NewDenied(retryAfter)
}

func (dr *orderDriver) askAgent(ctx context.Context, address string) (*wire.TicketReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	reply, err := dr.entry.pool.Agent(address).GrantTicket(ctx, &wire.TicketRequest{
		Context: dr.entry.contextOf(dr.call.rq),
		Service: dr.call.service.Name(),
		Share:   int32(dr.call.rq.workspace.Share()),
	})
	if err != nil {
		dr.entry.board.Members().RecordFailure(time.Now(), address)
		return nil, err
	}
	dr.entry.heard(address, reply.GetStatus())
	return reply, nil
}

// catchUp takes the configuration that an agent asks for; nothing has run yet under the old one.
func (dr *orderDriver) catchUp(ctx context.Context, address string) bool {
	dr.entry.catchUp(ctx, address)
	return dr.entry.rebind(dr.call.rq) == nil
}

func (dr *orderDriver) redeem(ctx context.Context, rd order.Redeem) order.Event {
	row, err := rows.Encode(rd.Intent())
	if err != nil {
		return order.Unreachable{}
	}
	call := dr.call
	rp, err := dr.entry.pool.Agent(rd.Ticket().Agent()).Redeem(ctx, &wire.RedeemRequest{
		Context:        dr.entry.contextOf(call.rq),
		Ticket:         wire.FromTicket(rd.Ticket()),
		RowKey:         dr.rowKey,
		Row:            row,
		RowVersion:     rd.Intent().Version(),
		Method:         call.method,
		Path:           call.path,
		Body:           call.rq.body,
		ContentType:    call.contentType,
		IdempotencyKey: call.key,
	})
	return dr.reported(rd.Ticket().Agent(), rp, err)
}

func (dr *orderDriver) probe(ctx context.Context, tk order.Ticket) order.Event {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	rp, err := dr.entry.pool.Agent(tk.Agent()).Probe(ctx, &wire.ProbeRequest{
		Context: dr.entry.contextOf(dr.call.rq),
		Ticket:  wire.FromTicket(tk),
	})
	return dr.reported(tk.Agent(), rp, err)
}

func (dr *orderDriver) reported(address string, rp *wire.Report, err error) order.Event {
	if err != nil {
		return dr.unreached(address)
	}
	dr.entry.heard(address, rp.GetStatus())
	report, ok := rp.ToReport()
	if !ok {
		return order.Unreachable{}
	}
	return order.NewReported(report)
}

// unreached tells an agent that may answer later from one whose VM is gone for good. If the list is wrong about that,
// the order ends as unknown although it may have run, which is what the caller is told.
func (dr *orderDriver) unreached(address string) order.Event {
	if dr.entry.vms.Exists(address, dr.entry.board.Snapshot()) {
		return order.Unreachable{}
	}
	return order.VMRemoved{}
}

// void tells the agent in the background; the ticket would expire without it.
func (dr *orderDriver) void(tk order.Ticket) {
	rq := &wire.ProbeRequest{Context: dr.entry.contextOf(dr.call.rq), Ticket: wire.FromTicket(tk)}
	dr.entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		_, _ = dr.entry.pool.Agent(tk.Agent()).Probe(ctx, rq)
	})
}

// confirm tells the agent in the background; without it the agent finds the row settled by itself.
func (dr *orderDriver) confirm(tk order.Ticket) {
	rq := &wire.ConfirmRequest{Context: dr.entry.contextOf(dr.call.rq), Ticket: wire.FromTicket(tk)}
	dr.entry.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		_, _ = dr.entry.pool.Agent(tk.Agent()).Confirm(ctx, rq)
	})
}
