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
	leastLeft = 30 * time.Millisecond
	// silencePart is the part of a route's target time after which a server without an answer counts as silent.
	silencePart = 0.8
	// leastSilence bounds that time from below.
	leastSilence = 250 * time.Millisecond
	// busyPart is the part of the time left after which an engine that is known to live is left all the same.
	busyPart = 0.6
	// busyTimes is how many times the expected time must have passed by then.
	busyTimes = 4
	// answerLimit bounds the body of an answer that is no stream.
	answerLimit = 8 << 20
)

// ending tells how one sending ended for the request.
type ending int

const (
	// answered means that the caller has the whole answer, or as much of it as there will be.
	answered ending = iota
	// notRun means that the server did not run the request.
	notRun
	// mayHaveRun means that it is not known whether the request ran, or that its answer is broken.
	mayHaveRun
	// failedAnswer means that the server answered with a failure of its own, which is kept in the output.
	failedAnswer
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
			gt.budgets.First(now, rq.service.Name())
			gt.meter.Note(now, rq.workspace.Name(), rq.asked.PromptTokens)
		} else if !gt.budgets.Take(now, rq.service.Name()) {
			return last
		}
		rq.sends++
		how, er := gt.send(ctx, rq, ch)
		if how == answered {
			return nil
		}
		gt.noteSend(rq, ch, how, er)
		last = worse(last, er)
		if !gt.mayRepeat(ctx, rq, how) {
			return last
		}
		rq.excluded[ch.Server().ID()] = true
	}
}

// worse returns the error that the caller is told after two sendings: that nothing has run may be said only if it is true of
// both.
func worse(last, er *answer.Error) *answer.Error {
	if last.Outcome() == answer.Unknown && er.Outcome() == answer.NotRun {
		return last
	}
	return er
}

// mayRepeat reports whether a request may be sent to another server after a sending that ended in some way.
func (gt *Gate) mayRepeat(ctx context.Context, rq *request, how ending) bool {
	if how != notRun {
		rq.runs++
		if rq.route.AtMostOnce() || rq.runs >= rq.route.MaxAttempts() {
			return false
		}
	}
	return ctx.Err() == nil && rq.sends < maxSends && time.Until(rq.deadline) > leastLeft
}

// send sends the request to one server and passes the answer on.
func (gt *Gate) send(parent context.Context, rq *request, ch pick.Choice) (ending, *answer.Error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	now := time.Now()
	sent := gt.picker.Send(now, rq.call, ch)
	sending := &sending{gate: gt, rq: rq, choice: ch, sent: sent}
	silence := gt.silence(rq)
	late := func() { gt.suspect(ch.Server().ID()) }
	if !rq.route.AtMostOnce() {
		if gt.picker.Alive(now, ch.Server().ID()) {
			silence = max(silence, busyTimes*ch.Wait(), time.Duration(busyPart*float64(rq.deadline.Sub(now))))
		}
		late = sending.cancelSilent(cancel)
	}
	sending.watch = time.AfterFunc(silence, late)
	defer sending.watch.Stop()
	an, err := gt.calls.Do(ctx, ch.Server().Address(), gt.encode(rq, ch))
	if err != nil {
		return sending.unanswered(parent, err)
	}
	defer an.Close()
	return sending.take(parent, an)
}

// suspect keeps other requests from a server whose answer is late, unless it is known to live. The request itself goes on waiting.
func (gt *Gate) suspect(id string) {
	if now := time.Now(); !gt.picker.Alive(now, id) {
		gt.picker.Unreached(now, id)
	}
}

// silence returns how long a server may take until its answer begins.
func (gt *Gate) silence(rq *request) time.Duration {
	return max(time.Duration(silencePart*float64(rq.route.TargetLatency())), leastSilence)
}

// encode returns the request as it goes to a server.
func (gt *Gate) encode(rq *request, ch pick.Choice) *call.Request {
	at := AttemptInfo{
		ServerID:    ch.Server().ID(),
		Timeout:     time.Until(rq.deadline),
		Workspace:   rq.workspace.Name(),
		Priority:    min(max(rq.workspace.Priority(rq.route), 0), maxRank),
		LastEventID: rq.out.resumeFrom(rq.asked.LastEventID),
	}
	if rq.service.IsEngine() {
		at.WeightVersion = ch.Version()
		at.CacheSalt = cacheSalt(rq, ch.Version())
		if sv := ch.Source(); sv != nil {
			at.CacheSourceAddress = sv.Address()
		}
	}
	return &call.Request{
		Method: rq.method,
		Target: rq.target,
		Host:   rq.host,
		Header: gt.opts.Dialect.EncodeRequest(rq.header, at),
		Body:   rq.body,
		Once:   rq.route.AtMostOnce(),
		Belongs: func(hd http.Header) bool {
			id := gt.opts.Dialect.DecodeResponse(0, hd).RequestID
			return id == "" || id == rq.asked.RequestID
		},
	}
}

// cacheSalt keeps apart what is cached under different weights, and what isolated workspaces cache. If the version is not
// known nothing may be shared.
func cacheSalt(rq *request, version uint64) string {
	salt := "v" + strconv.FormatUint(version, 10)
	if version == 0 {
		salt = "r" + rq.asked.RequestID
	}
	if wl := wall(rq.workspace); wl != "" {
		salt += "/" + wl
	}
	return salt
}

// unanswered returns the ending of a sending without an answer.
func (se *sending) unanswered(parent context.Context, err error) (ending, *answer.Error) {
	var de *link.DialError
	now := time.Now()
	switch {
	case errors.As(err, &de) && parent.Err() == nil:
		se.sent.End(now, pick.Silent)
		return notRun, answer.NewError(answer.ServerUnreached, answer.NotRun, serverRetryAfter, "%v", err)
	case errors.As(err, &de):
		se.sent.End(now, pick.Abandoned)
		return notRun, answer.NewError(answer.Expired, answer.NotRun, serverRetryAfter, "%v", err)
	case parent.Err() != nil && !se.isSilent():
		se.sent.End(now, pick.Abandoned)
		return mayHaveRun, answer.NewError(answer.Expired, answer.Unknown, 0, "%v", err)
	}
	se.sent.End(now, pick.Silent)
	return mayHaveRun, answer.NewError(answer.ServerFailed, answer.Unknown, 0, "%v", err)
}
