package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/route"
	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/probe"
)

// The reasons why an answer that ended with its connection is not taken for whole.
var (
	errTruncatedEvent = errors.New("stream ends within an event, or before the first one")
	errServerEnded    = errors.New("the server has ended, and its answer with the connection: it may be incomplete")
	errServerSilent   = errors.New("the answer ended with its connection, and the server does not show that it still runs: it may be incomplete")
)

// checkWhole returns nil if an answer is complete, and else the reason. err is that with which reading it ended. If the answer alone does not
// show whether it is complete, the server is asked whether it still runs.
func (at *attempt) checkWhole(ctx context.Context, resp *client.Response, err error, content whole.Content) error {
	switch whole.Judge(resp.Framing, client.EndingOf(err), content) {
	case whole.Whole:
		return nil
	case whole.Broken:
		resp.Discard()
		if err == nil || client.EndingOf(err) == (whole.Finished{}) {
			return errTruncatedEvent
		}
		return err
	}
	askedAt := time.Now()
	askCtx, cancel := context.WithDeadline(ctx, at.settleBy(askedAt))
	defer cancel()
	life := at.gate.prober.Ask(askCtx, at.gate.lifeQuestion(at.choice.Server(), at.rq.service, resp.LastHeard()))
	at.answer.recordLife(life, time.Since(askedAt))
	at.gate.opts.Recorder.CountUnframedEnd(life.String())
	if whole.Settle(life) == whole.Whole {
		return nil
	}
	if _, ended := life.(whole.Ended); ended {
		return errServerEnded
	}
	return errServerSilent
}

// Limits of the time for which the end of an answer stays in doubt.
const (
	// settleTimeout applies if the request can be sent to another server instead.
	settleTimeout = 400 * time.Millisecond
	// lastSettleTimeout applies otherwise, and settleMargin is left of the request's time, for an answer that is taken for incomplete.
	lastSettleTimeout = 2 * time.Second
	settleMargin      = 30 * time.Millisecond
)

// settleBy returns until when an answer that ended at a time may stay in doubt. A server that is full answers a question late, and its answer
// is most likely whole; it must not be thrown away as long as nothing better can follow.
func (at *attempt) settleBy(endedAt time.Time) time.Time {
	rq := at.rq
	timeout := settleTimeout
	if rq.route.AtMostOnce() || rq.possibleRuns+1 >= rq.route.MaxAttempts() || rq.sends >= maxSends {
		timeout = lastSettleTimeout
	}
	settleBy := endedAt.Add(timeout)
	if latest := rq.deadline.Add(-settleMargin); latest.Before(settleBy) {
		return latest
	}
	return settleBy
}

// lifeQuestion returns the question whether a run of a server of a service still runs after an event, such as the end of an answer, at a time.
func (gt *Gate) lifeQuestion(sv *fleet.Server, service *route.Service, endedAt time.Time) probe.Question {
	return probe.Question{
		Run:     sv.ID() + "/" + strconv.FormatInt(sv.StartUnixMilli(), 10),
		Address: sv.Address(),
		Target:  gt.opts.Dialect.LifeTarget(service),
		EndedAt: endedAt,
		Identify: func(hd http.Header, body []byte) (whole.Life, bool) {
			id, start := gt.opts.Dialect.DecodeLife(hd, body)
			if service.IsEngine() && (id == "" || id == sv.ID()) && sv.StartUnixMilli() != 0 && start > sv.StartUnixMilli() {
				gt.watcher.recordLaterRun(sv, start)
			}
			return identifyRun(sv, service.IsEngine(), id, start), start != 0 && sv.StartUnixMilli() != 0
		},
	}
}

// identifyRun returns what a response shows about a run of a server; id and start are those that it names, or empty. An engine must name its start:
// it may have started again under its id.
func identifyRun(sv *fleet.Server, isEngine bool, id string, start int64) whole.Life {
	known := sv.StartUnixMilli() != 0
	switch {
	case id != "" && id != sv.ID(), start != 0 && known && start != sv.StartUnixMilli():
		return whole.Ended{}
	case start != 0 && known, id != "" && !(isEngine && known):
		return whole.Running{}
	}
	return whole.Unknown{}
}
