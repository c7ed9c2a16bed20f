package gate

import (
	"net"
	"net/http"
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/drain"
	"shallotcleat/io/trace"
)

// Times of the graceful stop.
const (
	// takeMargin is how much sooner than the load balancer's lag the gate stops taking requests that may last longer than the process: what
	// counts is when the signal was sent, not when it arrived.
	takeMargin = 200 * time.Millisecond
	// cutMargin is the time before StopTimeout for the answers of requests that are cut off, or a twentieth of StopTimeout if that is less.
	cutMargin = 250 * time.Millisecond
	// closeInterval is the time between two checks whether connections of callers can be closed.
	closeInterval = 20 * time.Millisecond
	// stopEnforceInterval is the time between two checks for idle connections; it exceeds that of the last look for a request in them.
	stopEnforceInterval = 2 * lastReadTimeout
	// leavingRetryAfter is the approximate time after which a refused caller is to return: another gate serves it at once.
	leavingRetryAfter = 100 * time.Millisecond
)

// shutdown stops the HTTP server gracefully: readiness checks fail first, then responses tell callers to close their connections, and finally it
// waits for running requests. It cuts off those that still run shortly before StopTimeout, with an answer.
//
// Server.Shutdown is not used: it closes connections whose request has just been read, and does so without an answer.
func (gt *Gate) shutdown(srv *http.Server, conns *callerConns, callers net.Listener) {
	began, timeout := time.Now(), gt.opts.StopTimeout
	lag := min(gt.opts.BalancerLag, timeout/2)
	pl := drain.NewPlan(began, lag-min(takeMargin, lag/10), timeout-min(cutMargin, timeout/20))
	gt.stop.Store(&pl)
	gt.log.WithField("event", string(trace.LeavingBegan)).Info("graceful stop started")
	time.Sleep(lag / 3)
	gt.closeConnections.Store(true)
	time.Sleep(lag - lag/3)
	if err := callers.Close(); err != nil {
		gt.log.WithError(err).Warn("cannot close the listener of callers")
	}
	conns.leave(false)
	conns.waitClosed(pl.Cut())
	if open := conns.count(); open > 0 {
		gt.log.WithField("event", "stop_cut").WithField("connections", open).Warn("the time to stop has passed; running requests are cut off")
	}
	gt.cutOff()
	conns.leave(true)
	conns.waitClosed(began.Add(timeout))
	_ = srv.Close()
}

// refuseStopping returns an error for a request that no server may have run and that cannot be served before the process ends.
func (gt *Gate) refuseStopping(now time.Time, rq *request) *answer.Error {
	pl := gt.stop.Load()
	if pl == nil || rq.possibleRuns > 0 || pl.Takes(now, rq.deadline, gt.durations.Expected(rq.route.Name())) {
		return nil
	}
	return answer.NewError(answer.Leaving, answer.NotRun, leavingRetryAfter, "the process stops, and the request may take longer than the remaining %s",
		pl.Cut().Sub(now).Round(time.Millisecond))
}

// endedError returns the error of a request that may have run and ended without an answer, because of its deadline or of the stop.
func (gt *Gate) endedError(err error) *answer.Error {
	if gt.cut.Err() != nil {
		return answer.NewError(answer.Leaving, answer.Unknown, 0, "cut off at the end of the graceful stop: %v", err)
	}
	return answer.NewError(answer.DeadlineExceeded, answer.Unknown, 0, "%v", err)
}

// leave closes connections that are idle or become idle, after a last look for a request that has arrived, and refuses incomplete headers if
// lateHeaders is set.
func (ccs *callerConns) leave(lateHeaders bool) {
	ccs.mu.Lock()
	ccs.leaving, ccs.lateHeaders = true, lateHeaders
	ccs.mu.Unlock()
	ccs.enforce()
}

// waitClosed waits until all connections are closed, at most until a time.
func (ccs *callerConns) waitClosed(until time.Time) {
	expired := time.Now()
	for ccs.count() > 0 && time.Now().Before(until) {
		time.Sleep(closeInterval)
		if now := time.Now(); now.Sub(expired) >= stopEnforceInterval {
			expired = now
			ccs.enforce()
		}
	}
}

// count returns the number of open connections.
func (ccs *callerConns) count() int {
	ccs.mu.Lock()
	defer ccs.mu.Unlock()
	return len(ccs.open)
}
