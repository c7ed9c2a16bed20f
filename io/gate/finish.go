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
	spread = 0.5
)

// statuses are the HTTP statuses of errors after which nothing has run; all other codes are 503.
var statuses = map[answer.Code]int{
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
	left := errors.Is(ctx.Err(), context.Canceled)
	gt.logRequest(rq, er, outcome, left)
	switch {
	case er == nil:
		return
	case rq.out.started || left:
		panic(http.ErrAbortHandler)
	case rq.out.kept != nil:
		rq.out.whole(rq.out.kept.status, rq.out.kept.header, rq.out.kept.body)
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
		if known, ok := statuses[er.Code()]; ok {
			status = known
		}
	}
	hd := rq.out.writer.Header()
	if er.RetryAfter() > 0 && status == http.StatusServiceUnavailable {
		after := er.RetryAfter().Seconds() * (1 + spread*rand.Float64())
		hd.Set("Retry-After", strconv.FormatFloat(after, 'f', 2, 64))
	}
	hd.Set("Content-Type", "text/plain; charset=utf-8")
	body := string(er.Code()) + "\n"
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.out.writer.WriteHeader(status)
	// A caller that has left gets nothing; its connection is closed by the server.
	_, _ = rq.out.writer.Write([]byte(body))
}

// note keeps what the log tells of a sending that began to answer.
func (rl *requestLog) note(se *sending, elapsed time.Duration) {
	if rl.first == 0 {
		rl.first = elapsed
		se.gate.opts.Recorder.CountFirstToken(elapsed)
	}
	rl.server = se.choice.Server().ID()
	rl.version = se.choice.Version()
	rl.held = se.choice.Held()
	rl.expected = se.choice.Wait()
	if sv := se.choice.Source(); sv != nil {
		rl.source = sv.ID()
	}
}

// logRequest writes the one line of an answered request.
func (gt *Gate) logRequest(rq *request, er *answer.Error, outcome answer.Outcome, left bool) {
	fields := logrus.Fields{
		"event":      "request_answered",
		"request_id": rq.asked.RequestID,
		"outcome":    string(outcome),
		"elapsed_ms": time.Since(rq.arrived).Milliseconds(),
		"sends":      rq.sends,
	}
	if rq.table != nil {
		fields["config_version"] = rq.table.Version()
	}
	if rq.route != nil {
		fields["route"] = rq.route.Name()
	}
	if rq.workspace != nil {
		fields["workspace"] = rq.workspace.Name()
	}
	if rq.log.server != "" {
		fields["server"] = rq.log.server
		fields["weights"] = rq.log.version
		fields["first_ms"] = rq.log.first.Milliseconds()
		if rq.call.Key() != 0 {
			fields["prompt_key"] = strconv.FormatUint(rq.call.Key(), 16)
			fields["expected_ms"] = rq.log.expected.Milliseconds()
			fields["held_parts"] = rq.log.held
			fields["copied_from"] = rq.log.source
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
func (gt *Gate) noteSend(rq *request, ch pick.Choice, how ending, er *answer.Error) {
	gt.log.WithFields(logrus.Fields{
		"event":      "sending_failed",
		"request_id": rq.asked.RequestID,
		"server":     ch.Server().ID(),
		"address":    ch.Server().Address(),
		"weights":    ch.Version(),
		"send":       rq.sends,
		"may_repeat": how == notRun || !rq.route.AtMostOnce(),
		"outcome":    string(er.Outcome()),
		"reason":     er.Message(),
	}).Info("sending failed")
}
