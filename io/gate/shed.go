package gate

import (
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
)

// Admission to engines. Under a load that lasts, a longer queue serves no more requests, but all of them late.
const (
	// waitPart is the part of a route's target time within which an answer must be expected to begin.
	waitPart = 1.0
	// urgentWaitPart is that of the most urgent routes, so that less urgent requests are rejected before them.
	urgentWaitPart = 1.4
	// leastReturn and mostReturn bound the time after which a rejected caller may come back.
	leastReturn = 400 * time.Millisecond
	mostReturn  = 3 * time.Second
)

// shed rejects a request whose answer can't be expected to begin within its target time; it returns nil for others.
func (gt *Gate) shed(rq *request, ch pick.Choice) *answer.Error {
	target := rq.route.Target()
	if !rq.service.IsEngine() || target <= 0 || rq.sends > 0 {
		return nil
	}
	part := waitPart
	if rq.route.Priority() == 0 {
		part = urgentWaitPart
	}
	limit := time.Duration(part * float64(target))
	if ch.Wait() <= limit {
		return nil
	}
	after := min(max(ch.Wait()-limit, leastReturn), mostReturn)
	return answer.NewError(answer.Overloaded, answer.NotRun, after, "an answer is expected to begin after %s, the limit is %s",
		ch.Wait().Round(time.Millisecond), limit)
}
