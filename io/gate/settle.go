package gate

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

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
		if err == nil || client.EndingOf(err) == (whole.Finished{}) {
			return errTruncatedEvent
		}
		return err
	}
	askedAt := time.Now()
	life := at.gate.prober.Ask(ctx, at.gate.lifeQuestion(at, resp.LastHeard()))
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

// lifeQuestion returns the question whether the server of an attempt still runs, whose answer ended at a time.
func (gt *Gate) lifeQuestion(at *attempt, endedAt time.Time) probe.Question {
	sv := at.choice.Server()
	return probe.Question{
		Run:     sv.ID() + "/" + strconv.FormatInt(sv.StartUnixMilli(), 10),
		Address: sv.Address(),
		Target:  gt.opts.Dialect.LifeTarget(at.rq.service),
		Belongs: func(hd http.Header) bool { return gt.opts.Dialect.DecodeResponse(0, hd).RequestID == "" },
		EndedAt: endedAt,
		IsSame: func(hd http.Header, body []byte) (same, showsRun bool) {
			id, start := gt.opts.Dialect.DecodeLife(hd, body)
			showsRun = start != 0 && sv.StartUnixMilli() != 0
			return (id == "" || id == sv.ID()) && (!showsRun || start == sv.StartUnixMilli()), showsRun
		},
	}
}
