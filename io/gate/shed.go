package gate

import (
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
)

// shed rejects a request to an engine whose answer can't be expected to begin in time; it returns nil for others.
func (gt *Gate) shed(rq *request, ch pick.Choice) *answer.Error {
	if !rq.service.IsEngine() || rq.sends > 0 {
		return nil
	}
	fairShareRatio := gt.meter.Excess(time.Now(), rq.workspace.Name())
	after, shed := ch.Shed(rq.route.TargetLatency(), rq.route.Priority() == 0, fairShareRatio)
	if !shed {
		return nil
	}
	return answer.NewError(answer.Overloaded, answer.NotRun, after,
		"an answer is expected to begin after %s, the target is %s; the workspace took %.1f times its share",
		ch.Wait().Round(time.Millisecond), rq.route.TargetLatency(), fairShareRatio)
}
