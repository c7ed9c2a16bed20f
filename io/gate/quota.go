package gate

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/quota"
	"shallotcleat/core/route"
)

const (
	// quotaQuiet is how long no request must have been refused until a workspace no longer counts as limited.
	quotaQuiet = 10 * time.Second
	// maxLoggedProblems bounds the log lines about figures of workspaces in one configuration.
	maxLoggedProblems = 20
)

// quotaName returns the name of a workspace's limit.
func quotaName(ws *route.Workspace) string { return "workspace/" + ws.Name() }

// quotaAmount returns what a request counts towards its workspace's limit, or zero if the limit is not enforced.
func (gt *Gate) quotaAmount(rq *request) float64 {
	qs := rq.workspace.Quota()
	switch {
	case gt.opts.Quota.Window <= 0 || qs.Rate <= 0:
		return 0
	case !qs.Tokens:
		return 1
	case rq.info.HasTokenCount:
		return rq.info.CountedTokens
	}
	return qs.UncachedTokens
}

// claimQuota admits a request by the limit of its workspace. It waits for an allowance for a short time and refuses the request if there is none.
func (gt *Gate) claimQuota(ctx context.Context, rq *request) *answer.Error {
	amount := gt.quotaAmount(rq)
	if amount <= 0 {
		return nil
	}
	qs, stock := rq.workspace.Quota(), gt.picker.Limits()
	lm := quota.NewLimit(quotaName(rq.workspace), qs.Rate, qs.Burst, !qs.Tokens, rq.routes.Version())
	if most := quota.MostAtOnce(lm, gt.opts.Quota); amount > most {
		gt.opts.Recorder.CountQuota(rq.workspace.Name(), amount, false)
		return answer.NewError(answer.LimitExceeded, answer.NotRun, 0, "the request counts %g; workspace %q may use at most %g at once", amount, rq.workspace.Name(), most)
	}
	cl := stock.Claim(time.Now(), lm, amount)
	until := cl.Until()
	if rq.deadline.Before(until) {
		until = rq.deadline
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-cl.Done():
	case <-timer.C:
		stock.GiveUp(cl)
	case <-ctx.Done():
		stock.GiveUp(cl)
	}
	<-cl.Done()
	gt.opts.Recorder.CountQuota(rq.workspace.Name(), amount, cl.Granted())
	if cl.Granted() {
		rq.quotaAmount = amount
		return nil
	}
	if stock.Refusing(time.Now(), lm.Name(), quotaQuiet) {
		gt.log.WithFields(logrus.Fields{"event": "workspace_limited", "workspace": rq.workspace.Name(), "rate": qs.Rate, "burst": qs.Burst, "tokens": qs.Tokens,
			"request_id": rq.info.RequestID}).Info("requests of a workspace over its limit are refused")
	}
	return answer.NewError(answer.LimitExceeded, answer.NotRun, cl.Retry(), "workspace %q is over its limit of %g per second and a burst of %g; the request counts %g",
		rq.workspace.Name(), qs.Rate, qs.Burst, amount)
}

// creditQuota gives back what a request was admitted for if it did not run.
func (gt *Gate) creditQuota(rq *request, er *answer.Error) {
	if rq.quotaAmount > 0 && er.Outcome() == answer.NotRun && rq.response.fallback == nil && rq.possibleRuns == 0 {
		gt.picker.Limits().Credit(time.Now(), quotaName(rq.workspace), rq.quotaAmount)
		rq.quotaAmount = 0
	}
}

// tickQuotas renews and returns allowances, and logs which workspaces are no longer limited.
func (gt *Gate) tickQuotas() {
	for _, name := range gt.picker.Limits().Tick(time.Now()) {
		gt.log.WithFields(logrus.Fields{"event": "workspace_limit_ended", "limit": name, "quiet_ms": quotaQuiet.Milliseconds()}).
			Info("requests of a workspace are no longer refused")
	}
}

// logQuotaProblems logs the figures of workspaces that are not usable.
func (gt *Gate) logQuotaProblems(sp route.Spec) {
	logged := 0
	for _, ws := range sp.Workspaces {
		for _, problem := range ws.Problems {
			if logged++; logged > maxLoggedProblems {
				return
			}
			gt.log.WithFields(logrus.Fields{"event": "workspace_limit_invalid", "workspace": ws.Name, "problem": problem, "version": sp.Version}).
				Warn("a figure of a workspace's limit is not usable and counts as missing")
		}
	}
}
