package wire

import (
	"time"

	"shallotcleat/core/answer"
	"shallotcleat/core/config"
	"shallotcleat/core/member"
	"shallotcleat/core/order"
	"shallotcleat/core/place"
	"shallotcleat/core/prefix"
	"shallotcleat/core/stamp"
)

// FromHead returns the message of a head.
func FromHead(hd config.Head) *Head {
	out := &Head{Epoch: hd.Epoch(), Hash: hd.Hash(), Preset: hd.Preset(), Change: hd.Change(), Retired: hd.Retired()}
	for _, mb := range hd.Added() {
		out.Added = append(out.Added, &Member{Address: mb.Address(), Zone: mb.Zone(), Service: mb.Service()})
	}
	return out
}

// ToHead returns the head in a message.
func (hd *Head) ToHead() config.Head {
	out := config.NewHead(hd.GetEpoch(), hd.GetHash(), hd.GetPreset(), hd.GetChange())
	var added []config.AddedServer
	for _, mb := range hd.GetAdded() {
		added = append(added, config.NewAddedServer(mb.GetAddress(), mb.GetZone(), mb.GetService()))
	}
	return out.WithServers(hd.GetRetired(), added)
}

// FromStatus returns the message of a status.
func FromStatus(st member.Status) *Status {
	return &Status{
		Stamp:       uint64(st.Stamp()),
		Incarnation: st.Incarnation(),
		Engine:      st.EngineIncarnation(),
		Epoch:       st.Epoch(),
		Weights:     st.Weights(),
		WaitUs:      st.QueueWait().Microseconds(),
		PrefillRate: st.PrefillRate(),
		Leaving:     st.Leaving(),
	}
}

// ToStatus returns the status in a message.
func (st *Status) ToStatus() member.Status {
	return member.NewStatus(stamp.Stamp(st.GetStamp()), st.GetIncarnation(), st.GetEngine(), st.GetEpoch(),
		st.GetWeights(), time.Duration(st.GetWaitUs())*time.Microsecond, st.GetPrefillRate(), st.GetLeaving())
}

// FromTicket returns the message of a ticket.
func FromTicket(tk order.Ticket) *Ticket {
	return &Ticket{Agent: tk.Agent(), Incarnation: tk.Incarnation(), Seq: tk.Seq()}
}

// ToTicket returns the ticket in a message.
func (tk *Ticket) ToTicket() order.Ticket {
	return order.NewTicket(tk.GetAgent(), tk.GetIncarnation(), tk.GetSeq())
}

// FromReport returns the message of a report.
func FromReport(rp order.Report) *Report {
	switch rp := rp.(type) {
	case order.NotLive:
		return &Report{Kind: Report_NOT_LIVE}
	case order.NotSent:
		return &Report{Kind: Report_NOT_SENT}
	case order.Running:
		return &Report{Kind: Report_RUNNING}
	case order.AnswerLost:
		return &Report{Kind: Report_BROKEN}
	case order.Restarted:
		return &Report{Kind: Report_REBORN}
	case order.Answered:
		rs := rp.Result()
		return &Report{Kind: Report_ANSWERED, HttpStatus: int32(rs.Status()), Body: []byte(rs.Body())}
	}
	return &Report{}
}

// ToReport returns the report in a message, or false if it is of no known kind.
func (rp *Report) ToReport() (order.Report, bool) {
	switch rp.GetKind() {
	case Report_NOT_LIVE:
		return order.NotLive{}, true
	case Report_NOT_SENT:
		return order.NotSent{}, true
	case Report_RUNNING:
		return order.Running{}, true
	case Report_BROKEN:
		return order.AnswerLost{}, true
	case Report_REBORN:
		return order.Restarted{}, true
	case Report_ANSWERED:
		return order.NewAnswered(order.NewResult(int(rp.GetHttpStatus()), string(rp.GetBody()))), true
	}
	return nil, false
}

// FromError returns the message of an error.
func FromError(er *answer.Error) *Refusal {
	return &Refusal{
		Code:         string(er.Code()),
		Message:      er.Message(),
		RetryAfterMs: er.RetryAfter().Milliseconds(),
		Outcome:      string(er.Outcome()),
	}
}

// ToError returns the error in a message.
func (rf *Refusal) ToError() *answer.Error {
	retryAfter := time.Duration(rf.GetRetryAfterMs()) * time.Millisecond
	return answer.NewError(answer.Code(rf.GetCode()), answer.Outcome(rf.GetOutcome()), retryAfter, "%s", rf.GetMessage())
}

// FromHotPrefixes returns the message of hot prefixes.
func FromHotPrefixes(ht place.HotPrefixes) *Heat {
	out := &Heat{Total: ht.Total()}
	for _, hp := range ht.Prefixes() {
		out.Keys = append(out.Keys, uint64(hp.Key()))
		out.Counts = append(out.Counts, float32(hp.Count()))
	}
	return out
}

// ToHotPrefixes returns the hot prefixes in a message.
func (ht *Heat) ToHotPrefixes() place.HotPrefixes {
	count := min(len(ht.GetKeys()), len(ht.GetCounts()))
	prefixes := make([]place.HotPrefix, 0, count)
	for i := range count {
		prefixes = append(prefixes, place.NewHotPrefix(prefix.Key(ht.GetKeys()[i]), float64(ht.GetCounts()[i])))
	}
	return place.NewHotPrefixes(ht.GetTotal(), prefixes)
}
