package gate

import (
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
)

// shed returns an error if the first attempt of a request goes to an engine whose response is not expected to begin in time, and
// nil otherwise. Retries and resumed streams are not shed.
func (gt *Gate) shed(rq *request, ch pick.Choice) *answer.Error {
	if !rq.service.IsEngine() || rq.sends > 0 || rq.isResumed() {
		return nil
	}
	fairShareRatio := gt.meter.FairShareRatio(time.Now(), rq.workspace.Name())
	retryAfter, shed := ch.Shed(rq.route.TargetLatency(), rq.route.Priority() == 0, fairShareRatio)
	if !shed {
		return nil
	}
	return answer.NewError(answer.Overloaded, answer.NotRun, retryAfter,
		"response expected to begin after %s, target latency is %s; workspace uses %.1f times its fair share",
		ch.TimeToFirstEvent().Round(time.Millisecond), rq.route.TargetLatency(), fairShareRatio)
}
