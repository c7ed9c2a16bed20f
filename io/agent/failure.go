package agent

import (
	"errors"

	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/reply"
	"shallotcleat/io/server"
	"shallotcleat/io/trace"
)

// recordServerFailure records that a request to the plain service failed with err.
func (ag *Agent) recordServerFailure(requestID string, err error) {
	ag.rec.RecordEvent(requestID, trace.ServerFailed, "message", err.Error(), "ended_by", ag.countBroken(err).String())
}

// countBroken counts an answer of the backend server that ended with err, if there was any and it was not the agent that stopped reading, and returns
// how it ended.
func (ag *Agent) countBroken(err error) whole.Ending {
	var ee *server.ExchangeError
	var we *client.WriteError
	ending := client.EndingOf(err)
	switch {
	case !errors.As(err, &ee) || ending == (whole.Interrupted{}):
	case errors.Is(err, reply.ErrIncomplete):
		ending = whole.Finished{}
		ag.rec.CountUnframedEnd(whole.Unknown{}.String())
	default:
		ag.rec.CountBrokenAnswer(ending.String(), errors.As(err, &we))
	}
	return ending
}
