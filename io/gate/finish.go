package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
)

// Times after which a rejected caller may come back.
const (
	// configRetryAfter is about the time in which a starting process learns its configuration.
	configRetryAfter = 500 * time.Millisecond
	// serverRetryAfter is about the time in which servers come back into use.
	serverRetryAfter = 700 * time.Millisecond
	// busyRetryAfter is about the time in which a full server gets a free place.
	busyRetryAfter = 300 * time.Millisecond
	// spread is the part of the time by which callers' returns are spread.
	retryAfterJitter = 0.5
)

// statuses are the HTTP statuses of errors after which nothing has run; all other codes are 503.
var statusByCode = map[answer.Code]int{
	answer.BadRequest:   http.StatusBadRequest,
	answer.Unauthorized: http.StatusUnauthorized,
	answer.NotFound:     http.StatusNotFound,
	answer.TooLarge:     http.StatusRequestEntityTooLarge,
}

// finish tells the caller of a failure in the way that is still open, and writes the request's line of the log. A stream that
// has begun ends with a closed connection, which does not look complete.
func (gt *Gate) finish(ctx context.Context, rq *request, er *answer.Error) {
	outcome := answer.Done
	if er != nil {
		outcome = er.Outcome()
		gt.opts.Recorder.CountRefusal(string(er.Code()))
	}
	gt.opts.Recorder.CountAnswer(string(outcome))
	callerLeft := errors.Is(ctx.Err(), context.Canceled)
	gt.logRequest(rq, er, outcome, callerLeft)
	switch {
	case er == nil:
		return
	case rq.response.started || callerLeft:
		panic(http.ErrAbortHandler)
	case rq.response.fallback != nil:
		rq.response.writeBuffered(rq.response.fallback.status, rq.response.fallback.header, rq.response.fallback.body)
		return
	}
	gt.reject(rq, er)
}

// reject answers a request that no server has answered. Only an error after which nothing has run gets a status that says so.
func (gt *Gate) reject(rq *request, er *answer.Error) {
	status := http.StatusServiceUnavailable
	switch {
	case er.Outcome() != answer.NotRun && er.Code() == answer.Expired:
		status = http.StatusGatewayTimeout
	case er.Outcome() != answer.NotRun:
		status = http.StatusBadGateway
	default:
		if mapped, ok := statusByCode[er.Code()]; ok {
			status = mapped
		}
	}
	hd := rq.response.writer.Header()
	if er.RetryAfter() > 0 && status == http.StatusServiceUnavailable {
		after := er.RetryAfter().Seconds() * (1 + retryAfterJitter*rand.Float64())
		hd.Set("Retry-After", strconv.FormatFloat(after, 'f', 2, 64))
	}
	hd.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(er.Code()) + "\n"
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.response.writer.WriteHeader(status)
	// A caller that has left gets nothing; its connection is closed by the server.
	_, _ = rq.response.writer.Write([]byte(body))
}

// note keeps what the log tells of a sending that began to answer.
func (rl *requestLog) recordResponse(at *attempt, elapsed time.Duration) {
	if rl.firstEvent == 0 {
		rl.firstEvent = elapsed
		at.gate.opts.Recorder.CountFirstToken(elapsed)
	}
	rl.serverID = at.choice.Server().ID()
	rl.weightVersion = at.choice.Version()
	rl.cachedParts = at.choice.Held()
	rl.expectedFirstEvent = at.choice.Wait()
	if sv := at.choice.Source(); sv != nil {
		rl.cacheSourceID = sv.ID()
	}
}

// logRequest writes the one line of an answered request.
func (gt *Gate) logRequest(rq *request, er *answer.Error, outcome answer.Outcome, left bool) {
	fields := logrus.Fields{
		"event":      "request_answered",
		"request_id": rq.info.RequestID,
		"outcome":    string(outcome),
		"elapsed_ms": time.Since(rq.arrived).Milliseconds(),
		"sends":      rq.sends,
	}
	if rq.routes != nil {
		fields["config_version"] = rq.routes.Version()
	}
	if rq.route != nil {
		fields["route"] = rq.route.Name()
	}
	if rq.workspace != nil {
		fields["workspace"] = rq.workspace.Name()
	}
	if rq.log.serverID != "" {
		fields["server"] = rq.log.serverID
		fields["weights"] = rq.log.weightVersion
		fields["first_ms"] = rq.log.firstEvent.Milliseconds()
		if rq.call.Key() != 0 {
			fields["prompt_key"] = strconv.FormatUint(rq.call.Key(), 16)
			fields["expected_ms"] = rq.log.expectedFirstEvent.Milliseconds()
			fields["held_parts"] = rq.log.cachedParts
			fields["copied_from"] = rq.log.cacheSourceID
		}
	}
	if left {
		fields["caller_left"] = true
	}
	if er != nil {
		fields["code"] = string(er.Code())
		fields["reason"] = er.Message()
	}
	gt.log.WithFields(fields).Info("request answered")
}

// noteSend writes the line of a sending that was not answered.
func (gt *Gate) logFailedAttempt(rq *request, ch pick.Choice, result attemptResult, er *answer.Error) {
	gt.log.WithFields(logrus.Fields{
		"event":      "sending_failed",
		"request_id": rq.info.RequestID,
		"server":     ch.Server().ID(),
		"address":    ch.Server().Address(),
		"weights":    ch.Version(),
		"send":       rq.sends,
		"may_repeat": result == notExecuted || !rq.route.AtMostOnce(),
		"outcome":    string(er.Outcome()),
		"reason":     er.Message(),
	}).Info("sending failed")
}
