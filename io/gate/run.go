package gate

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/core/scope"
	"shallotcleat/io/client"
	"shallotcleat/io/intake"
	"shallotcleat/io/link"
)

// Limits of the attempts of one request.
const (
	// maxSends is the maximum number of attempts; unlike Route.MaxAttempts, it includes those that did not run.
	maxSends = 4
	// minRetryTime is the minimum remaining time for another attempt.
	minRetryTime = 30 * time.Millisecond
	// responseTimeoutFraction is the response timeout of a server as a fraction of the route's target latency.
	responseTimeoutFraction = 0.8
	// minResponseTimeout is the minimum response timeout.
	minResponseTimeout = 250 * time.Millisecond
	// aliveTimeoutFraction is the minimum response timeout of an engine known to be alive, as a fraction of the remaining time.
	aliveTimeoutFraction = 0.6
	// aliveTimeoutFactor is the minimum response timeout of such an engine as a multiple of the expected time to the first event.
	aliveTimeoutFactor = 4
	// maxDrainBytes and drainTimeout bound the reading of a rejection's body, which keeps the connection for the next request.
	maxDrainBytes = 16 << 10
	drainTimeout  = 20 * time.Millisecond
)

// attemptResult is the result of an attempt for the request.
type attemptResult int

const (
	// responded means that the response was sent to the caller as far as possible; no other attempt follows.
	responded attemptResult = iota
	// notRun means that the server did not run the request.
	notRun
	// scopeChanged means that the request was not sent, since its call has an outdated scope. The server takes it all the same.
	scopeChanged
	// mayHaveRun means that the request may have run, or that its response is incomplete.
	mayHaveRun
	// stopped means that the run was stopped so that another server continues it.
	stopped
	// serverError means that the server responded with an error, which is kept as the fallback response.
	serverError
)

// isNotRun reports whether the request certainly did not run.
func (ar attemptResult) isNotRun() bool { return ar == notRun || ar == scopeChanged }

// run sends the request to one server after another until one responds, and returns an error if none does.
func (gt *Gate) run(parent context.Context, rq *request) *answer.Error {
	ctx, cancel := context.WithDeadline(parent, rq.deadline)
	defer cancel()
	defer context.AfterFunc(gt.cut, cancel)()
	if er := gt.pinResumed(ctx, rq); er != nil {
		return er
	}
	if !rq.service.IsEngine() {
		gt.meter.Add(time.Now(), rq.service.Name(), rq.workspace.Name(), rq.workspace.Priority(rq.route), 1)
	}
	last := answer.NewError(answer.NoBackendServer, answer.NotRun, serverRetryAfter,
		"no available backend server for service %q", rq.service.Name())
	for {
		now := time.Now()
		if er := gt.refuseStopping(now, rq); er != nil {
			return worseError(last, er)
		}
		if er := gt.crashes.check(ctx, now, rq); er != nil {
			return worseError(last, er)
		}
		if !gt.settleBegan(ctx, rq) {
			return last
		}
		rq.updateScope(gt.routes.Load())
		ch, ok := gt.picker.Choose(now, rq.call, rq.excluded)
		if !ok {
			return gt.noServerError(now, rq, last)
		}
		if er := gt.shed(rq, ch); er != nil {
			gt.picker.Release(ch)
			return er
		}
		if rq.sends == 0 {
			gt.retryBudgets.RecordFirst(now, rq.service.Name())
			if rq.service.IsEngine() {
				gt.meter.Add(now, rq.service.Name(), rq.workspace.Name(), rq.workspace.Priority(rq.route), float64(rq.info.PromptTokens))
			}
		} else if !gt.retryBudgets.Take(now, rq.service.Name()) {
			gt.picker.Release(ch)
			return last
		}
		if rq.possibleRuns > 0 && rq.quotaAmount > 0 {
			gt.picker.Limits().Charge(now, quotaName(rq.workspace), rq.quotaAmount)
		}
		rq.sends++
		result, er := gt.send(ctx, rq, ch)
		if result == stopped && !gt.settleBegan(ctx, rq) {
			gt.abandonMoved(ctx, rq)
			return answer.NewError(answer.StreamBroken, answer.Unknown, 0, "%v", errUncertainOrigin)
		}
		if result == stopped {
			ch, result, er = gt.continueMoved(ctx, rq)
		}
		if result == responded {
			return nil
		}
		gt.logFailedAttempt(rq, ch, result, er)
		last = worseError(last, er)
		if rq.beyondShare && result == notRun && er.Code() == answer.Overloaded {
			return last
		}
		if !gt.canRetry(ctx, rq, result) {
			return last
		}
		if result != scopeChanged {
			rq.excluded[ch.Server().ID()] = true
		}
	}
}

// noServerError returns the error of a request for which no further server can be chosen; last is that of its last attempt. If all
// servers have asked for a pause or have reached their limits, the caller is told to return when the first one takes requests again.
func (gt *Gate) noServerError(now time.Time, rq *request, last *answer.Error) *answer.Error {
	pause, ok := gt.picker.PausedFor(now, rq.service.Name())
	if !ok || last.Outcome() != answer.NotRun {
		return last
	}
	return answer.NewError(answer.Overloaded, answer.NotRun, pause, "all servers of service %q asked for a pause or have reached their limits", rq.service.Name())
}

// worseError returns the error to report after two attempts: the response may state that the request did not run only if that
// is true of both.
func worseError(last, er *answer.Error) *answer.Error {
	if last.Outcome() == answer.Unknown && er.Outcome() == answer.NotRun {
		return last
	}
	return er
}

// canRetry reports whether a request may be sent to another server after an attempt with the given result. It counts the possible
// runs of the request.
func (gt *Gate) canRetry(ctx context.Context, rq *request, result attemptResult) bool {
	if !result.isNotRun() {
		rq.possibleRuns++
		if rq.trial || rq.route.AtMostOnce() || rq.possibleRuns >= rq.route.MaxAttempts() {
			return false
		}
	}
	return ctx.Err() == nil && rq.sends < maxSends && time.Until(rq.deadline) > minRetryTime
}

// send makes one attempt: it sends the request to a server and relays the response.
func (gt *Gate) send(parent context.Context, rq *request, ch pick.Choice) (attemptResult, *answer.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	now := time.Now()
	pickAttempt := gt.picker.StartAttempt(now, rq.call, ch)
	gt.countZoneExit(rq, ch)
	at := &attempt{gate: gt, rq: rq, choice: ch, pickAttempt: pickAttempt, sentAt: now, answer: rq.log.addAnswer(ch.Server()),
		head: intake.NewHeader(gt.memory)}
	defer at.freeHead()
	pickAttempt.OnExpiry(at.expiryFunc(cancel))
	at.handOver = at.newHandOver(cancel)
	timeout := gt.responseTimeout(rq)
	onTimeout := func() { gt.markUnreachable(ch.Server()) }
	if !rq.route.AtMostOnce() {
		if gt.picker.Alive(now, ch.Server().ID()) {
			timeout = max(timeout, aliveTimeoutFactor*ch.TimeToFirstEvent(),
				time.Duration(aliveTimeoutFraction*float64(rq.deadline.Sub(now))))
		}
		onTimeout = at.timeoutFunc(cancel)
	}
	rq.log.connUse = nil
	at.watchdog = time.AfterFunc(timeout, onTimeout)
	defer at.watchdog.Stop()
	clientRequest := gt.encodeRequest(ctx, rq, ch)
	clientRequest.HeadArrived = at.head.Add
	resp, err := gt.connPool.Do(ctx, ch.Server().Address(), clientRequest)
	if err != nil {
		at.recordEnd(err)
		return at.endNoResponse(parent, err)
	}
	defer resp.Close()
	at.answer.framing = resp.Framing
	return at.relayResponse(parent, resp)
}

// markUnreachable directs other requests away from a server whose response is late, unless its tender reports it alive. The
// request itself continues to wait.
func (gt *Gate) markUnreachable(sv *fleet.Server) {
	if now := time.Now(); !gt.picker.Alive(now, sv.ID()) {
		gt.picker.MarkUnreachable(now, sv)
	}
}

// responseTimeout returns the response timeout before it is extended for a server known to be alive.
func (gt *Gate) responseTimeout(rq *request) time.Duration {
	return max(time.Duration(responseTimeoutFraction*float64(rq.route.TargetLatency())), minResponseTimeout)
}

// encodeRequest returns the request to send to a server.
func (gt *Gate) encodeRequest(ctx context.Context, rq *request, ch pick.Choice) *client.Request {
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
		rq.log.cacheSalt = info.CacheSalt
		info.CacheSaveAddress = ch.SaveAddress()
		if sv := ch.CacheSource(); sv != nil {
			info.CacheSourceAddress = sv.Address()
		}
	}
	info.RunSourceAddress, info.RunHandle = rq.copySource()
	return &client.Request{
		ID:         rq.info.RequestID,
		Method:     rq.method,
		Target:     rq.target,
		Host:       rq.host,
		Header:     gt.opts.Dialect.EncodeRequest(rq.header, info),
		Body:       rq.body,
		AtMostOnce: rq.route.AtMostOnce(),
		Permit:     func() error { return gt.permit(ctx, rq, ch) },
		Carried:    func(cu client.ConnUse) { rq.log.connUse = &cu },
		Matches: func(hd http.Header) bool {
			// A response that names no request is no reason to wait for another one; relayResponse rejects it.
			id := gt.opts.Dialect.DecodeResponse(0, hd).RequestID
			return id == "" || id == rq.info.RequestID
		},
	}
}

// The reasons why a request is not sent to its chosen server after all.
var (
	errServerRestricted = errors.New("server is leaving or has asked for a pause")
	errWeightsExpired   = errors.New("the server's weights have expired")
	errScopeChanged     = errors.New("a configuration has changed with whom the request shares cached parts")
)

// permit checks, right before a request is sent, that its caller still waits and its server still takes requests: the connection may
// have taken a while.
func (gt *Gate) permit(ctx context.Context, rq *request, ch pick.Choice) error {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("request ended: %w", ctx.Err())
	case !now.Before(rq.deadline):
		return context.DeadlineExceeded
	case rq.continuesAt(ch):
		// The run began when its server took calls, and may be completed there.
		return nil
	case !gt.picker.AcceptsCalls(now, ch.Server().ID()):
		return errServerRestricted
	case rq.call.Model() != "" && !rq.call.IsCopied() && gt.routes.Load().Scope(rq.workspace) != rq.call.Scope():
		return errScopeChanged
	case rq.call.Model() != "" && gt.picker.WeightsExpired(now, rq.call.Model(), ch.Version()):
		return errWeightsExpired
	}
	return nil
}

// cacheSalt returns the salt of the request's cached parts. If the version of the weights is unknown, the request shares with no other.
func cacheSalt(rq *request, version uint64) string {
	if version == 0 {
		return scope.CallSalt(rq.workspace.Name(), rq.info.RequestID)
	}
	return rq.call.Scope().Salt(version)
}

// endNoResponse ends an attempt that got no response.
func (at *attempt) endNoResponse(requestCtx context.Context, err error) (attemptResult, *answer.Error) {
	var de *link.DialError
	var nse *client.NotSentError
	now := time.Now()
	switch {
	case errors.As(err, &nse):
		at.pickAttempt.End(now, pick.Abandoned)
		if errors.Is(err, errScopeChanged) {
			return scopeChanged, answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter, "%v", err)
		}
		if errors.Is(err, errServerRestricted) || errors.Is(err, errWeightsExpired) {
			return notRun, answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter, "%v", err)
		}
		return notRun, answer.NewError(answer.DeadlineExceeded, answer.NotRun, serverRetryAfter, "%v", err)
	case errors.As(err, &de) && at.weightsExpired.Load():
		at.pickAttempt.End(now, pick.Abandoned)
		return notRun, answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter, "%v", errWeightsExpired)
	case errors.As(err, &de) && requestCtx.Err() == nil:
		at.recordRunEvent(err)
		at.pickAttempt.End(now, pick.NoResponse)
		return notRun, answer.NewError(answer.ServerUnreachable, answer.NotRun, serverRetryAfter, "%v", err)
	case errors.As(err, &de):
		at.pickAttempt.End(now, pick.Abandoned)
		return notRun, answer.NewError(answer.DeadlineExceeded, answer.NotRun, serverRetryAfter, "%v", err)
	case at.weightsExpired.Load():
		return at.endExpired()
	case requestCtx.Err() != nil && !at.hasTimedOut():
		at.pickAttempt.End(now, pick.Abandoned)
		return mayHaveRun, at.gate.endedError(err)
	}
	at.recordBroken(requestCtx, err)
	at.recordRunEvent(err)
	at.gate.askInDoubt(at.choice.Server())
	at.pickAttempt.End(now, pick.NoResponse)
	return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "%v", err)
}
