package agent

import (
	"context"
	"sync"
	"time"

	"shallotcleat/core/admit"
	"shallotcleat/core/answer"
)

// Estimates of a gate.
const (
	// timeWeight is the part of a new measurement in a smoothed time.
	timeWeight = 0.2
	// firstCost is the expected time of a call before any was measured.
	firstCost = 100 * time.Millisecond
	// leastRetryAfter is the shortest time after which a refused caller should come back.
	leastRetryAfter = time.Second
)

// gate holds calls back until the queue lets them enter the backend server.
type gate struct {
	// mu guards all fields below.
	mu    sync.Mutex
	queue *admit.Queue
	slots int
	// waiting tells the calls in the queue their verdict: true to enter, false if their deadline has passed.
	waiting map[string]chan bool
	// costs are the smoothed times that calls of a class stay in the server.
	costs [2]time.Duration
	// pending counts the prompt tokens that the server has yet to compute.
	pending int
	rate    admit.PrefillRate
}

func newGate(slots int) *gate {
	return &gate{
		queue:   admit.NewQueue(admit.NewLimits(slots, 0, slots)),
		slots:   slots,
		waiting: make(map[string]chan bool),
		costs:   [2]time.Duration{firstCost, firstCost},
	}
}

func (gt *gate) setLimits(reserve float64, waiting int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.queue.SetLimits(admit.NewLimits(gt.slots, reserve, waiting))
}

func (gt *gate) setClaimedRate(rate float64) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.rate.SetAdvertised(rate)
}

// pass describes a call that wants to enter.
type pass struct {
	id        string
	workspace string
	share     int
	class     admit.Class
	deadline  time.Time
}

// enter returns when the call may enter the server, or the reason why it is refused. If the call has to wait, queued is
// called first.
func (gt *gate) enter(ctx context.Context, ps pass, queued func()) *answer.Error {
	verdict, wait := gt.offer(ps)
	if wait == nil {
		return gt.verdictError(verdict)
	}
	queued()
	select {
	case started := <-wait:
		if !started {
			return answer.NewError(answer.DeadlineExceeded, answer.NotRun, leastRetryAfter, "the deadline passed in the queue")
		}
		return nil
	case <-ctx.Done():
	}
	if gt.cancel(ps.id) {
		return answer.NewError(answer.DeadlineExceeded, answer.NotRun, leastRetryAfter, "the caller left the queue")
	}
	// The call was let in at the same moment; it gives its place back.
	if <-wait {
		gt.leave(ps.id, ps.class, 0)
	}
	return answer.NewError(answer.DeadlineExceeded, answer.NotRun, leastRetryAfter, "the caller left the queue")
}

func (gt *gate) offer(ps pass) (admit.Decision, chan bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	it := admit.NewRequest(ps.id, ps.workspace, ps.share, ps.class, gt.costs[ps.class], ps.deadline)
	verdict := gt.queue.Offer(time.Now(), it)
	if verdict != admit.Queued {
		return verdict, nil
	}
	wait := make(chan bool, 1)
	gt.waiting[ps.id] = wait
	return verdict, wait
}

func (gt *gate) verdictError(verdict admit.Decision) *answer.Error {
	if verdict == admit.Admitted {
		return nil
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	wait := max(gt.queue.ExpectedWait(admit.ClassLong), leastRetryAfter)
	return answer.NewError(answer.Overloaded, answer.NotRun, wait, "the backend server's queue is full")
}

func (gt *gate) cancel(id string) bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if !gt.queue.Cancel(id) {
		return false
	}
	delete(gt.waiting, id)
	return true
}

// leave gives the place of a call back, which stayed for a time; zero is no measurement.
func (gt *gate) leave(id string, class admit.Class, stayed time.Duration) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if stayed > 0 {
		gt.costs[class] = smooth(gt.costs[class], stayed)
	}
	started, expired := gt.queue.Done(time.Now(), id)
	for _, it := range started {
		gt.tell(it.ID(), true)
	}
	for _, it := range expired {
		gt.tell(it.ID(), false)
	}
}

// tell gives a waiting call its verdict; the caller holds mu.
func (gt *gate) tell(id string, started bool) {
	gt.waiting[id] <- started
	delete(gt.waiting, id)
}

func smooth(old, sample time.Duration) time.Duration {
	return time.Duration(float64(old)*(1-timeWeight) + float64(sample)*timeWeight)
}

// beginPrefill notes prompt tokens that the server will compute and returns all that are before it, these included.
func (gt *gate) beginPrefill(tokens int) int {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.pending += tokens
	return gt.pending
}

// endPrefill notes the first token of a call: the server took a time to compute its tokens and those ahead of it.
func (gt *gate) endPrefill(tokens, ahead int, elapsed time.Duration) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.pending -= tokens
	gt.rate.Observe(time.Now(), ahead, elapsed)
}

// dropPrefill notes that the server will not compute some tokens after all.
func (gt *gate) dropPrefill(tokens int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.pending -= tokens
}

// load returns the time until a new call of a class would start to be computed, and the prefill rate.
func (gt *gate) load(class admit.Class) (time.Duration, float64) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	rate := gt.rate.Estimate(time.Now())
	wait := gt.queue.ExpectedWait(class)
	if rate > 0 {
		wait += time.Duration(float64(gt.pending) / rate * float64(time.Second))
	}
	return wait, rate
}

func (gt *gate) isEmpty() bool {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.queue.Running()+gt.queue.Waiting() == 0
}
