package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/io/call"
	"shallotcleat/io/link"
)

// Limits of the sendings of one request.
const (
	// maxSends bounds the servers that a request is offered to.
	maxSends = 4
	// leastLeft is the least time that is worth another sending.
	minRetryTime = 30 * time.Millisecond
	// silencePart is the part of a route's target time after which a server without an answer counts as silent.
	responseTimeoutFraction = 0.8
	// leastSilence bounds that time from below.
	minResponseTimeout = 250 * time.Millisecond
	// busyPart is the part of the time left after which an engine that is known to live is left all the same.
	aliveTimeoutFraction = 0.6
	// busyTimes is how many times the expected time must have passed by then.
	aliveWaitFactor = 4
	// answerLimit bounds the body of an answer that is no stream.
	maxResponseBytes = 8 << 20
)

// ending tells how one sending ended for the request.
type attemptResult int

const (
	// answered means that the caller has the whole answer, or as much of it as there will be.
	answered attemptResult = iota
	// notRun means that the server did not run the request.
	notExecuted
	// mayHaveRun means that it is not known whether the request ran, or that its answer is broken.
	maybeExecuted
	// failedAnswer means that the server answered with a failure of its own, which is kept in the output.
	serverError
)

// run sends the request to servers until one has answered it, and returns the reason if none has.
func (gt *Gate) run(parent context.Context, rq *request) *answer.Error {
	ctx, cancel := context.WithDeadline(parent, rq.deadline)
	defer cancel()
	last := answer.NewError(answer.NoServer, answer.NotRun, serverRetryAfter, "no backend server of %q takes work", rq.service.Name())
	for {
		now := time.Now()
		ch, ok := gt.picker.Choose(now, rq.call, rq.excluded)
		if !ok {
			return last
		}
		if er := gt.shed(rq, ch); er != nil {
			return er
		}
		if rq.sends == 0 {
			gt.retryBudgets.RecordFirst(now, rq.service.Name())
			gt.meter.Note(now, rq.workspace.Name(), rq.info.PromptTokens)
		} else if !gt.retryBudgets.Take(now, rq.service.Name()) {
			return last
		}
		rq.sends++
		result, er := gt.send(ctx, rq, ch)
		if result == answered {
			return nil
		}
		gt.logFailedAttempt(rq, ch, result, er)
		last = worseError(last, er)
		if !gt.canRetry(ctx, rq, result) {
			return last
		}
		rq.excluded[ch.Server().ID()] = true
	}
}

// worse returns the error that the caller is told after two sendings: that nothing has run may be said only if it is true of
// both.
func worseError(last, er *answer.Error) *answer.Error {
	if last.Outcome() == answer.Unknown && er.Outcome() == answer.NotRun {
		return last
	}
	return er
}

// mayRepeat reports whether a request may be sent to another server after a sending that ended in some way.
func (gt *Gate) canRetry(ctx context.Context, rq *request, result attemptResult) bool {
	if result != notExecuted {
		rq.possibleRuns++
		if rq.route.AtMostOnce() || rq.possibleRuns >= rq.route.MaxAttempts() {
			return false
		}
	}
	return ctx.Err() == nil && rq.sends < maxSends && time.Until(rq.deadline) > minRetryTime
}

// send sends the request to one server and passes the answer on.
func (gt *Gate) send(parent context.Context, rq *request, ch pick.Choice) (attemptResult, *answer.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	now := time.Now()
	picked := gt.picker.Send(now, rq.call, ch)
	at := &attempt{gate: gt, rq: rq, choice: ch, picked: picked}
	timeout := gt.responseTimeout(rq)
	late := func() { gt.markSuspect(ch.Server().ID()) }
	if !rq.route.AtMostOnce() {
		if gt.picker.Alive(now, ch.Server().ID()) {
			timeout = max(timeout, aliveWaitFactor*ch.Wait(), time.Duration(aliveTimeoutFraction*float64(rq.deadline.Sub(now))))
		}
		late = at.timeoutFunc(cancel)
	}
	at.watchdog = time.AfterFunc(timeout, late)
	defer at.watchdog.Stop()
	an, err := gt.callPool.Do(ctx, ch.Server().Address(), gt.encodeRequest(rq, ch))
	if err != nil {
		return at.endUnanswered(parent, err)
	}
	defer an.Close()
	return at.relayResponse(parent, an)
}

// suspect keeps other requests from a server whose answer is late, unless it is known to live. The request itself goes on waiting.
func (gt *Gate) markSuspect(id string) {
	if now := time.Now(); !gt.picker.Alive(now, id) {
		gt.picker.Unreached(now, id)
	}
}

// silence returns how long a server may take until its answer begins.
func (gt *Gate) responseTimeout(rq *request) time.Duration {
	return max(time.Duration(responseTimeoutFraction*float64(rq.route.TargetLatency())), minResponseTimeout)
}

// encode returns the request as it goes to a server.
func (gt *Gate) encodeRequest(rq *request, ch pick.Choice) *call.Request {
	info := AttemptInfo{
		ServerID:    ch.Server().ID(),
		Timeout:     time.Until(rq.deadline),
		Workspace:   rq.workspace.Name(),
		Priority:    min(max(rq.workspace.Priority(rq.route), 0), maxPriority),
		LastEventID: rq.response.resumeEventID(rq.info.LastEventID),
	}
	if rq.service.IsEngine() {
		info.WeightVersion = ch.Version()
		info.CacheSalt = cacheSalt(rq, ch.Version())
		if sv := ch.Source(); sv != nil {
			info.CacheSourceAddress = sv.Address()
		}
	}
	return &call.Request{
		Method: rq.method,
		Target: rq.target,
		Host:   rq.host,
		Header: gt.opts.Dialect.EncodeRequest(rq.header, info),
		Body:   rq.body,
		Once:   rq.route.AtMostOnce(),
		Belongs: func(hd http.Header) bool {
			id := gt.opts.Dialect.DecodeResponse(0, hd).RequestID
			return id == "" || id == rq.info.RequestID
		},
	}
}

// cacheSalt keeps apart what is cached under different weights, and what isolated workspaces cache. If the version is not
// known nothing may be shared.
func cacheSalt(rq *request, version uint64) string {
	salt := "v" + strconv.FormatUint(version, 10)
	if version == 0 {
		salt = "r" + rq.info.RequestID
	}
	if scope := cacheScope(rq.workspace); scope != "" {
		salt += "/" + scope
	}
	return salt
}

// unanswered returns the ending of a sending without an answer.
func (at *attempt) endUnanswered(parent context.Context, err error) (attemptResult, *answer.Error) {
	var de *link.DialError
	now := time.Now()
	switch {
	case errors.As(err, &de) && parent.Err() == nil:
		at.picked.End(now, pick.Silent)
		return notExecuted, answer.NewError(answer.ServerUnreached, answer.NotRun, serverRetryAfter, "%v", err)
	case errors.As(err, &de):
		at.picked.End(now, pick.Abandoned)
		return notExecuted, answer.NewError(answer.Expired, answer.NotRun, serverRetryAfter, "%v", err)
	case parent.Err() != nil && !at.hasTimedOut():
		at.picked.End(now, pick.Abandoned)
		return maybeExecuted, answer.NewError(answer.Expired, answer.Unknown, 0, "%v", err)
	}
	at.picked.End(now, pick.Silent)
	return maybeExecuted, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "%v", err)
}
