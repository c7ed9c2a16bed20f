package entry

import (
	"context"
	"net/http"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/wire"
)

// hedgeDelay is how long a lookup waits for its first agent before it is also sent to a second one.
const hedgeDelay = 250 * time.Millisecond

// lookupResult is the result of one attempt of a lookup: a reply or an error.
type lookupResult struct {
	address string
	reply   *wire.CallReply
	err     *answer.Error
}

// lookup is a retryable call with its pending attempts. Only the goroutine of run changes its fields; attempts report to results.
type lookup struct {
	entry *Entry
	call  *plainCall
	// excluded are the addresses of the agents that get no further attempt.
	excluded map[string]bool
	// pending are the addresses of the agents that have not replied yet.
	pending  map[string]bool
	results  chan lookupResult
	attempts int
	hedged   bool
}

// serveLookup serves a retryable call: it retries at another agent if one refuses or fails, and hedges with a second agent if the
// first one is slow. All attempts but the first are limited by the retry budget.
func (en *Entry) serveLookup(ctx context.Context, call *plainCall, wr http.ResponseWriter) *answer.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	en.budget.RecordFirst()
	lk := &lookup{
		entry:    en,
		call:     call,
		excluded: make(map[string]bool),
		pending:  make(map[string]bool),
		results:  make(chan lookupResult, maxAttempts),
	}
	reply, er := lk.run(ctx)
	if er != nil {
		return call.rq.finalError(er)
	}
	if er := en.writeReply(wr, reply); er != nil {
		return er
	}
	en.recordResponse(call.rq, string(answer.Done))
	return nil
}

// run returns the first reply, or the last error when no attempt is pending and no further one is possible.
func (lk *lookup) run(ctx context.Context) (*wire.CallReply, *answer.Error) {
	lastErr := answer.NewError(answer.NoBackendServer, answer.NotRun, defaultRetryAfter,
		"no available backend server for %q", lk.call.service.Name())
	lk.send(ctx)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for len(lk.pending) > 0 {
		select {
		case <-hedge.C:
			lk.hedge(ctx)
		case result := <-lk.results:
			delete(lk.pending, result.address)
			if result.err == nil {
				lk.recordSlowAgents()
				return result.reply, nil
			}
			lastErr = result.err
			lk.call.rq.recordOutcome(lastErr)
			if er := lk.prepareRetry(ctx, result); er != nil {
				return nil, er
			}
			if len(lk.pending) == 0 {
				lk.send(ctx)
			}
		case <-ctx.Done():
			return nil, answer.NewError(answer.DeadlineExceeded, answer.Unknown, defaultRetryAfter, "deadline exceeded")
		}
	}
	return nil, lastErr
}

// send starts an attempt at the best agent that is not excluded, if there is one and maxAttempts and the retry budget allow it.
func (lk *lookup) send(ctx context.Context) {
	if lk.attempts >= maxAttempts {
		return
	}
	// The budget is asked last: it must not pay for a retry that is not sent.
	address, ok := lk.entry.choosePlain(lk.call, lk.excluded)
	if !ok || lk.attempts > 0 && !lk.entry.budget.Take() {
		return
	}
	lk.attempts++
	lk.excluded[address] = true
	lk.pending[address] = true
	go func() {
		reply, er := lk.entry.attemptLookup(ctx, lk.call, address)
		lk.results <- lookupResult{address: address, reply: reply, err: er}
	}()
}

// hedge sends the lookup to a second agent; it does so once per lookup.
func (lk *lookup) hedge(ctx context.Context) {
	if !lk.hedged {
		lk.hedged = true
		lk.send(ctx)
	}
}

// recordSlowAgents records a failure for each agent that has not replied although another one has.
func (lk *lookup) recordSlowAgents() {
	for address := range lk.pending {
		lk.entry.board.Members().RecordFailure(time.Now(), address)
	}
}

// prepareRetry handles a refusal because of a newer configuration: it adopts that configuration and allows a retry at the agent. It
// does nothing while other attempts are pending.
func (lk *lookup) prepareRetry(ctx context.Context, result lookupResult) *answer.Error {
	if result.err.Code() != answer.StaleEpoch || len(lk.pending) > 0 {
		return nil
	}
	lk.entry.fetchConfig(ctx, result.address)
	delete(lk.excluded, result.address)
	return lk.entry.adoptSnapshot(lk.call.rq)
}
