package entry

import (
	"shallotcleat/core/answer"
	"shallotcleat/core/usage"
	"shallotcleat/io/wire"
)

// chargeTo notes the agent that took a call. The request id is that under which the stream began, so that an answer
// that a caller resumes is charged to one request.
func (call *modelCall) chargeTo(ac *wire.Accepted, address string, st *wire.Status) {
	call.charge.Request = ac.GetRequestId()
	call.charge.Try = ac.GetTryId()
	call.charge.Agent = address
	call.charge.Incarnation = st.GetIncarnation()
	call.charge.Engine = st.GetEngine()
}

// billModel makes the record of a model call that an agent has taken; what no agent took costs nothing.
func (en *Entry) billModel(call *modelCall, er *answer.Error) {
	if call.charge.Try == "" {
		return
	}
	rc := call.charge
	rc.Source = usage.Entry
	rc.Workspace = call.rq.workspace.Name()
	rc.Service = call.service.Name()
	rc.Epoch = call.rq.snapshot.Epoch()
	rc.Output = int64(call.tokens)
	rc.Outcome = string(outcomeOf(er))
	en.bill.Add(rc)
}

func outcomeOf(er *answer.Error) answer.Outcome {
	if er == nil {
		return answer.Done
	}
	return er.Outcome()
}

// billLookup makes the record of a lookup that an agent has answered.
func (en *Entry) billLookup(call *plainCall, address, try string, st *wire.Status) {
	en.bill.Add(usage.Record{
		Request:     call.rq.id,
		Try:         try,
		Source:      usage.Entry,
		Workspace:   call.rq.workspace.Name(),
		Service:     call.service.Name(),
		Epoch:       call.rq.snapshot.Epoch(),
		Agent:       address,
		Incarnation: st.GetIncarnation(),
		Outcome:     string(answer.Done),
	})
}
