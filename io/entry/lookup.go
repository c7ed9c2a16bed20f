package entry

import (
	"context"
	"net/http"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/io/wire"
)

// hedgeDelay is how long a lookup waits for its first agent before a second one is asked too.
const hedgeDelay = 250 * time.Millisecond

// lookupResult is the end of one sending of a lookup.
type lookupResult struct {
	address string
	reply   *wire.CallReply
	err     *answer.Error
}

// lookup is a call that may be repeated, with the sendings that are under way.
type lookup struct {
	entry *Entry
	call  *plainCall
	// refused are the agents that need not be asked any more.
	refused map[string]bool
	// asked are the agents that have not answered yet.
	asked   map[string]bool
	results chan lookupResult
	tries   int
	hedged  bool
}

// serveLookup runs a call that may be repeated: at another agent if one refuses or fails, and at a second one beside the
// first if that is silent. All sendings but the first are paid for by the budget of retries.
func (en *Entry) serveLookup(ctx context.Context, call *plainCall, wr http.ResponseWriter) *answer.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	en.budget.RecordFirst()
	lk := &lookup{
		entry:   en,
		call:    call,
		refused: make(map[string]bool),
		asked:   make(map[string]bool),
		results: make(chan lookupResult, maxTries),
	}
	reply, er := lk.run(ctx)
	if er != nil {
		return call.rq.finalError(er)
	}
	writePlain(wr, reply)
	en.noteAnswer(call.rq, string(answer.Done))
	return nil
}

// run returns the first answer, or the last refusal when nobody is left to ask.
func (lk *lookup) run(ctx context.Context) (*wire.CallReply, *answer.Error) {
	last := answer.NewError(answer.NoBackendServer, answer.NotRun, refusedRetryAfter, "no backend server of %q takes work", lk.call.service.Name())
	lk.ask(ctx)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for len(lk.asked) > 0 {
		select {
		case <-hedge.C:
			lk.hedge(ctx)
		case got := <-lk.results:
			delete(lk.asked, got.address)
			if got.err == nil {
				lk.blameSilent()
				return got.reply, nil
			}
			last = got.err
			lk.call.rq.note(last)
			if er := lk.prepareRetry(ctx, got); er != nil {
				return nil, er
			}
			if len(lk.asked) == 0 {
				lk.ask(ctx)
			}
		case <-ctx.Done():
			return nil, answer.NewError(answer.DeadlineExceeded, answer.Unknown, refusedRetryAfter, "deadline exceeded")
		}
	}
	return nil, last
}

// ask sends the lookup to the best agent that has not been asked, if there is one and the budget bears it.
func (lk *lookup) ask(ctx context.Context) {
	if lk.tries >= maxTries || lk.tries > 0 && !lk.entry.budget.Take() {
		return
	}
	address, ok := lk.entry.choosePlain(lk.call, lk.refused)
	if !ok {
		return
	}
	lk.tries++
	lk.refused[address] = true
	lk.asked[address] = true
	go func() {
		reply, er := lk.entry.tryLookup(ctx, lk.call, address)
		lk.results <- lookupResult{address: address, reply: reply, err: er}
	}()
}

// hedge asks a second agent once.
func (lk *lookup) hedge(ctx context.Context) {
	if !lk.hedged {
		lk.hedged = true
		lk.ask(ctx)
	}
}

// blameSilent notes a fault of the agents that another one has overtaken.
func (lk *lookup) blameSilent() {
	for address := range lk.asked {
		lk.entry.board.Members().RecordFailure(time.Now(), address)
	}
}

// prepareRetry takes the configuration that a refusing agent asks for; that agent may then be asked again.
func (lk *lookup) prepareRetry(ctx context.Context, got lookupResult) *answer.Error {
	if got.err.Code() != answer.StaleEpoch || len(lk.asked) > 0 {
		return nil
	}
	lk.entry.catchUp(ctx, got.address)
	delete(lk.refused, got.address)
	return lk.entry.rebind(lk.call.rq)
}
