package agent

import (
	"context"
	"sync"
	"time"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
)

// Parameters of a limiter.
const (
	// smoothingFactor is the weight of a new sample in the moving average of service times.
	smoothingFactor = 0.2
	// initialServiceTime is the expected service time of a class without a sample.
	initialServiceTime = 100 * time.Millisecond
	// minRetryAfter is the minimum retry delay of a refused caller.
	minRetryAfter = time.Second
)

// limiter limits the requests that run at once in the backend server, and queues the others. It is safe for concurrent
// use.
type limiter struct {
	// mu guards all fields below.
	mu    sync.Mutex
	queue *admit.Queue
	slots int
	// waiters are the channels of the queued requests, by id. Each receives true if its request may run, or false if the
	// request's deadline has passed. It has room for the result, so that a send never blocks.
	waiters map[string]chan bool
	// serviceTimes are the exponential moving averages of the service times, by class.
	serviceTimes [2]time.Duration
	// pendingTokens is the estimated number of prompt tokens that the server has yet to process.
	pendingTokens int
	prefillRate   admit.PrefillRate
}

func newLimiter(slots int) *limiter {
	return &limiter{
		queue:        admit.NewQueue(admit.NewLimits(slots, 0, slots)),
		slots:        slots,
		waiters:      make(map[string]chan bool),
		serviceTimes: [2]time.Duration{initialServiceTime, initialServiceTime},
	}
}

func (lm *limiter) setLimits(reserve float64, queueLimit int) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.queue.SetLimits(admit.NewLimits(lm.slots, reserve, queueLimit))
}

func (lm *limiter) setAdvertisedRate(rate float64) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.prefillRate.SetAdvertised(rate)
}

// admitRequest is a request for a slot of the backend server.
type admitRequest struct {
	// id is unique among the requests at the agent.
	id        string
	workspace string
	// share is the workspace's weight in the fair queue.
	share    int
	class    admit.Class
	deadline time.Time
}

// acquire waits for a slot and returns nil, or the error with which the request is refused. It calls onQueued before it
// waits. The caller must call release after a nil result.
func (lm *limiter) acquire(ctx context.Context, ar admitRequest, onQueued func()) *answer.Error {
	decision, result := lm.offer(ar)
	if result == nil {
		return lm.refusal(decision)
	}
	onQueued()
	select {
	case started := <-result:
		if !started {
			return answer.NewError(answer.DeadlineExceeded, answer.NotRun, minRetryAfter, "deadline exceeded in the queue")
		}
		return nil
	case <-ctx.Done():
	}
	if lm.cancel(ar.id) {
		return answer.NewError(answer.DeadlineExceeded, answer.NotRun, minRetryAfter, "request canceled in the queue")
	}
	// The queue admitted the request or found it expired before cancel; an admitted one must free its slot.
	if <-result {
		lm.release(ar.id, ar.class, 0)
	}
	return answer.NewError(answer.DeadlineExceeded, answer.NotRun, minRetryAfter, "request canceled in the queue")
}

// offer offers the request to the queue. If the request is queued, it returns the channel that receives the result.
func (lm *limiter) offer(ar admitRequest) (admit.Decision, chan bool) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	rq := admit.NewRequest(ar.id, ar.workspace, ar.share, ar.class, lm.serviceTimes[ar.class], ar.deadline)
	decision := lm.queue.Offer(time.Now(), rq)
	if decision != admit.Queued {
		return decision, nil
	}
	result := make(chan bool, 1)
	lm.waiters[ar.id] = result
	return decision, result
}

// refusal returns nil for an admitted request, and the error for a refused one.
func (lm *limiter) refusal(decision admit.Decision) *answer.Error {
	if decision == admit.Admitted {
		return nil
	}
	lm.mu.Lock()
	defer lm.mu.Unlock()
	wait := max(lm.queue.ExpectedWait(admit.ClassLong), minRetryAfter)
	return answer.NewError(answer.Overloaded, answer.NotRun, wait, "the backend server's queue is full")
}

// cancel removes a waiting request and reports whether it was waiting.
func (lm *limiter) cancel(id string) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if !lm.queue.Cancel(id) {
		return false
	}
	delete(lm.waiters, id)
	return true
}

// release frees the slot of a request that ran for serviceTime; zero adds no sample to the moving average.
func (lm *limiter) release(id string, class admit.Class, serviceTime time.Duration) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	if serviceTime > 0 {
		lm.serviceTimes[class] = smoothed(lm.serviceTimes[class], serviceTime)
	}
	started, expired := lm.queue.Done(time.Now(), id)
	for _, rq := range started {
		lm.notify(rq.ID(), true)
	}
	for _, rq := range expired {
		lm.notify(rq.ID(), false)
	}
}

// notify sends the result to a waiting request; the caller holds mu.
func (lm *limiter) notify(id string, started bool) {
	lm.waiters[id] <- started
	delete(lm.waiters, id)
}

func smoothed(average, sample time.Duration) time.Duration {
	return time.Duration(float64(average)*(1-smoothingFactor) + float64(sample)*smoothingFactor)
}

// beginPrefill adds prompt tokens that the server has to process, and returns the number of pending tokens, including
// these.
func (lm *limiter) beginPrefill(tokens int) int {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.pendingTokens += tokens
	return lm.pendingTokens
}

// endPrefill subtracts the prompt tokens of a request whose prefill has ended, and adds a sample to the prefill rate: the
// server processed the pending tokens that beginPrefill returned within elapsed.
func (lm *limiter) endPrefill(tokens, pending int, elapsed time.Duration) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.pendingTokens -= tokens
	lm.prefillRate.Observe(time.Now(), pending, elapsed)
}

// cancelPrefill subtracts prompt tokens that the server will not process.
func (lm *limiter) cancelPrefill(tokens int) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.pendingTokens -= tokens
}

// expectedWait returns the expected time until the prefill of a new request of a class would start, and the estimated
// prefill rate in tokens per second.
func (lm *limiter) expectedWait(class admit.Class) (time.Duration, float64) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	rate := lm.prefillRate.Estimate(time.Now())
	wait := lm.queue.ExpectedWait(class)
	if rate > 0 {
		wait += time.Duration(float64(lm.pendingTokens) / rate * float64(time.Second))
	}
	return wait, rate
}

// isEmpty reports whether no request runs or waits.
func (lm *limiter) isEmpty() bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return lm.queue.Running()+lm.queue.Waiting() == 0
}
