package entry

import (
	"shallotcleat/core/answer"
	"shallotcleat/core/usage"
	"shallotcleat/io/wire"
)

// recordAccepted records the agent that accepted the call. The request id is that of the request that began the stream, so that a
// response resumed by its caller is charged to one request.
func (mc *modelCall) recordAccepted(ac *wire.Accepted, address string, st *wire.Status) {
	mc.usageRecord.Request = ac.GetRequestId()
	mc.usageRecord.Try = ac.GetTryId()
	mc.usageRecord.Agent = address
	mc.usageRecord.Incarnation = st.GetIncarnation()
	mc.usageRecord.Engine = st.GetEngine()
}

// addModelUsage adds the usage record of a model call. A call that no agent accepted has none and is not charged.
func (en *Entry) addModelUsage(call *modelCall, er *answer.Error) {
	if call.usageRecord.Try == "" {
		return
	}
	rc := call.usageRecord
	rc.Source = usage.Entry
	rc.Workspace = call.rq.workspace.Name()
	rc.Service = call.service.Name()
	rc.Epoch = call.rq.snapshot.Epoch()
	rc.Output = int64(call.relayedTokens)
	rc.Outcome = string(outcomeOf(er))
	en.usageWriter.Add(rc)
}

func outcomeOf(er *answer.Error) answer.Outcome {
	if er == nil {
		return answer.Done
	}
	return er.Outcome()
}

// addLookupUsage adds the usage record of a lookup that an agent replied to.
func (en *Entry) addLookupUsage(call *plainCall, address, tryID string, st *wire.Status) {
	en.usageWriter.Add(usage.Record{
		Request:     call.rq.id,
		Try:         tryID,
		Source:      usage.Entry,
		Workspace:   call.rq.workspace.Name(),
		Service:     call.service.Name(),
		Epoch:       call.rq.snapshot.Epoch(),
		Agent:       address,
		Incarnation: st.GetIncarnation(),
		Outcome:     string(answer.Done),
	})
}
