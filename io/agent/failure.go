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
	fields := []string{"message", err.Error()}
	if ending := ag.countBroken(err); ending != nil {
		fields = append(fields, "ended_by", ending.String())
	}
	ag.rec.RecordEvent(requestID, trace.ServerFailed, fields...)
}

// countBroken counts an answer of the backend server that ended with err, unless the agent stopped reading it, and returns how it ended. It returns nil
// if the request was not sent, or refused.
func (ag *Agent) countBroken(err error) whole.Ending {
	var ee *server.ExchangeError
	if !errors.As(err, &ee) {
		return nil
	}
	if errors.Is(err, reply.ErrIncomplete) {
		ag.rec.CountUnframedEnd(whole.Unknown{}.String())
		return whole.Finished{}
	}
	ending := client.EndingOf(err)
	if ending != (whole.Interrupted{}) {
		var we *client.WriteError
		ag.rec.CountBrokenAnswer(ending.String(), errors.As(err, &we))
	}
	return ending
}
