package gate

import (
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
)

// shed returns an error if the request goes to an engine whose response is not expected to begin in time, and nil otherwise. Only
// first attempts are shed.
func (gt *Gate) shed(rq *request, ch pick.Choice) *answer.Error {
	if !rq.service.IsEngine() || rq.sends > 0 {
		return nil
	}
	fairShareRatio := gt.meter.FairShareRatio(time.Now(), rq.workspace.Name())
	after, shed := ch.Shed(rq.route.TargetLatency(), rq.route.Priority() == 0, fairShareRatio)
	if !shed {
		return nil
	}
	return answer.NewError(answer.Overloaded, answer.NotRun, after,
		"response expected to begin after %s, target latency is %s; workspace uses %.1f times its fair share",
		ch.TimeToFirstEvent().Round(time.Millisecond), rq.route.TargetLatency(), fairShareRatio)
}
