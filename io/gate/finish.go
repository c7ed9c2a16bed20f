package gate

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
)

// Values of the Retry-After header before jitter.
const (
	// configRetryAfter is the approximate time that a starting process takes to load its configuration.
	configRetryAfter = 500 * time.Millisecond
	// serverRetryAfter is the approximate time after which unavailable servers are back in use.
	serverRetryAfter = 700 * time.Millisecond
	// busyRetryAfter is the approximate time in which a full server gets a free slot.
	busyRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the approximate time after which bodies that stall have made room.
	memoryRetryAfter = 600 * time.Millisecond
	// retryAfterJitter is the maximum jitter of Retry-After as a fraction of its value.
	retryAfterJitter = 0.5
)

// statusByCode maps error codes of requests that did not run to HTTP statuses; other codes map to 503.
var statusByCode = map[answer.Code]int{
	answer.BadRequest:    http.StatusBadRequest,
	answer.Unauthorized:  http.StatusUnauthorized,
	answer.NotFound:      http.StatusNotFound,
	answer.BodyTooLarge:  http.StatusRequestEntityTooLarge,
	answer.LimitExceeded: http.StatusTooManyRequests,
}

// finish records the outcome of a request, logs it and, after a failure, sends an error response. If the response has already
// started or the caller has disconnected, finish aborts the connection instead, so that the stream does not look complete.
func (gt *Gate) finish(ctx context.Context, rq *request, er *answer.Error) {
	outcome := answer.Done
	if er != nil {
		outcome = er.Outcome()
		gt.creditQuota(rq, er)
		gt.opts.Recorder.CountRefusal(string(er.Code()))
	}
	gt.opts.Recorder.CountAnswer(string(outcome))
	if !rq.response.progressAt.IsZero() {
		gt.opts.Recorder.RecordStreamPause(rq.response.longestPause)
	}
	callerLeft := errors.Is(ctx.Err(), context.Canceled) && !rq.bodyLate
	gt.logRequest(rq, er, outcome, callerLeft)
	switch {
	case er == nil:
		rq.response.resetAtEnd(false)
		return
	case rq.response.started || callerLeft:
		if err := rq.response.reset(); err != nil {
			gt.log.WithError(err).WithField("request_id", rq.info.RequestID).Warn("cannot reset the connection of a broken stream")
		}
		panic(http.ErrAbortHandler)
	case rq.response.fallback != nil:
		rq.response.writeFallback()
		return
	}
	gt.reject(rq, er)
}

// reject responds to a request that no server has responded to. Statuses that imply that the request did not run are used only if
// that is certain. The body is the error code.
func (gt *Gate) reject(rq *request, er *answer.Error) {
	status := http.StatusServiceUnavailable
	switch {
	case er.Outcome() != answer.NotRun && er.Code() == answer.DeadlineExceeded:
		status = http.StatusGatewayTimeout
	case er.Outcome() != answer.NotRun:
		status = http.StatusBadGateway
	default:
		if mapped, ok := statusByCode[er.Code()]; ok {
			status = mapped
		}
	}
	hd := rq.response.writer.Header()
	if er.RetryAfter() > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		// Rounded up, since a server that asked for a pause must not get a request before it ends.
		hundredths := math.Ceil(100 * gt.retryAfter(rq, er).Seconds())
		hd.Set("Retry-After", strconv.FormatFloat(hundredths/100, 'f', 2, 64))
	}
	hd.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(er.Code()) + "\n"
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.response.writer.WriteHeader(status)
	// The error is ignored: net/http closes the connection of a caller that has disconnected.
	_, _ = rq.response.writer.Write([]byte(body))
}

// callerRetryFraction is the part of their remaining time up to which callers honour Retry-After.
const callerRetryFraction = 1.0 / 3

// retryAfter returns the value of Retry-After: callers that servers are too full for return one after another.
func (gt *Gate) retryAfter(rq *request, er *answer.Error) time.Duration {
	if er.Code() != answer.Overloaded || rq.service == nil {
		return time.Duration(float64(er.RetryAfter()) * (1 + retryAfterJitter*rand.Float64()))
	}
	latest := time.Duration(callerRetryFraction * float64(time.Until(rq.deadline)))
	return gt.flow.Next(time.Now(), rq.service.Name(), er.RetryAfter(), latest)
}

// recordResponse records the attempt whose response has begun, for the log entry of the request.
func (rl *requestLog) recordResponse(at *attempt, elapsed time.Duration) {
	if rl.timeToFirstEvent == 0 {
		rl.timeToFirstEvent = elapsed
		at.gate.opts.Recorder.RecordFirstToken(elapsed)
	}
	rl.serverID = at.choice.Server().ID()
	rl.softwareVersion = at.choice.Server().SoftwareVersion()
	rl.weightVersion = at.choice.Version()
	rl.cachedParts = at.choice.CachedParts()
	rl.expectedTimeToFirstEvent = at.choice.TimeToFirstEvent()
	if sv := at.choice.CacheSource(); sv != nil {
		rl.cacheSourceID = sv.ID()
	}
}

// logRequest writes the log entry of a finished request.
func (gt *Gate) logRequest(rq *request, er *answer.Error, outcome answer.Outcome, callerLeft bool) {
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
	if rq.key != 0 {
		fields["request_key"] = keyName(rq.key)
	}
	if rq.log.serverID != "" {
		fields["server"] = rq.log.serverID
		fields["software"] = rq.log.softwareVersion
		fields["weights"] = rq.log.weightVersion
		fields["first_ms"] = rq.log.timeToFirstEvent.Milliseconds()
		if rq.call.Key() != 0 {
			fields["prompt_key"] = keyName(rq.call.Key())
			fields["expected_ms"] = rq.log.expectedTimeToFirstEvent.Milliseconds()
			fields["held_parts"] = rq.log.cachedParts
			fields["copied_from"] = rq.log.cacheSourceID
		}
	}
	if rq.log.zoneExit != "" {
		fields["zone_exit"] = rq.log.zoneExit
	}
	if !rq.response.progressAt.IsZero() {
		fields["longest_pause_ms"] = rq.response.longestPause.Milliseconds()
	}
	if from := eventsFrom(rq.log.answers); from != "" {
		fields["events_from"] = from
	}
	if rq.moved != nil {
		fields["moved_from"], fields["moved_to"] = rq.moved.source.Server().ID(), rq.moved.destination.Server().ID()
	}
	rq.addSendFields(fields)
	if rq.isResumed() {
		fields["resumes"] = rq.info.Resumes
		fields["after_event"] = rq.info.LastEventID
	}
	if callerLeft {
		fields["caller_left"] = true
	}
	if er != nil {
		fields["code"] = string(er.Code())
		fields["reason"] = er.Message()
	}
	level := logrus.InfoLevel
	if er != nil && er.Code() == answer.MemoryShort && !gt.memoryReporter.MayLog() {
		level = logrus.DebugLevel
	}
	gt.log.WithFields(fields).Log(level, "request finished")
}

// logFailedAttempt writes the log entry of an attempt that failed.
func (gt *Gate) logFailedAttempt(rq *request, ch pick.Choice, result attemptResult, er *answer.Error) {
	fields := logrus.Fields{
		"event":       "sending_failed",
		"request_id":  rq.info.RequestID,
		"request_key": keyName(rq.key),
		"server":      ch.Server().ID(),
		"software":    ch.Server().SoftwareVersion(),
		"address":     ch.Server().Address(),
		"weights":     ch.Version(),
		"send":        rq.sends,
		"may_repeat":  result.isNotRun() || !rq.route.AtMostOnce(),
		"outcome":     string(er.Outcome()),
		"reason":      er.Message(),
	}
	rq.addSendFields(fields)
	if parts := rq.info.PromptParts; len(parts) > 1 {
		fields["parts"] = partIDs(parts)
	}
	gt.log.WithFields(fields).Info("attempt failed")
}

// addSendFields adds whether the request must not run twice, and of its last attempt: the salt of its cached parts, how its answer was framed and ended, and over which connection
// it was sent: a new or a kept one, for how long it was idle, how many requests it carried before, and how many responses to other requests came first.
func (rq *request) addSendFields(fields logrus.Fields) {
	if count := len(rq.log.answers); count > 0 {
		rq.log.answers[count-1].addFields(fields)
	}
	if rq.route != nil {
		fields["at_most_once"] = rq.route.AtMostOnce()
	}
	if rq.log.cacheSalt != "" {
		fields["cache_salt"] = rq.log.cacheSalt
	}
	cu := rq.log.connUse
	if cu == nil {
		return
	}
	fields["conn_requests"] = cu.Requests()
	if cu.Requests() > 0 {
		fields["conn_idle_ms"] = cu.Idle().Milliseconds()
	}
	if cu.Skipped() > 0 {
		fields["skipped_responses"] = cu.Skipped()
	}
}

// maxLoggedParts bounds the parts of a prompt in a log entry.
const maxLoggedParts = 16

// partIDs returns the ids of a prompt's shared parts for the log.
func partIDs(parts []pick.Part) string {
	var ids []string
	for _, pt := range parts[:min(len(parts)-1, maxLoggedParts)] {
		ids = append(ids, pt.ID())
	}
	return strings.Join(ids, ",")
}
