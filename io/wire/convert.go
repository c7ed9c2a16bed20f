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

// FromHead converts a configuration head to a message.
func FromHead(hd config.Head) *Head {
	out := &Head{Epoch: hd.Epoch(), Hash: hd.Hash(), Preset: hd.Preset(), Change: hd.Change(), Retired: hd.Retired()}
	for _, as := range hd.Added() {
		out.Added = append(out.Added, &Member{Address: as.Address(), Zone: as.Zone(), Service: as.Service()})
	}
	return out
}

// ToHead converts the message to a configuration head.
func (hd *Head) ToHead() config.Head {
	out := config.NewHead(hd.GetEpoch(), hd.GetHash(), hd.GetPreset(), hd.GetChange())
	var added []config.AddedServer
	for _, as := range hd.GetAdded() {
		added = append(added, config.NewAddedServer(as.GetAddress(), as.GetZone(), as.GetService()))
	}
	return out.WithServers(hd.GetRetired(), added)
}

// FromStatus converts a server status to a message.
func FromStatus(st member.Status) *Status {
	return &Status{
		Stamp:       uint64(st.Stamp()),
		Incarnation: st.Incarnation(),
		Engine:      st.EngineIncarnation(),
		Epoch:       st.Epoch(),
		Weights:     st.WeightVersion(),
		WaitUs:      st.QueueWait().Microseconds(),
		PrefillRate: st.PrefillRate(),
		Leaving:     st.Leaving(),
	}
}

// ToStatus converts the message to a server status.
func (st *Status) ToStatus() member.Status {
	return member.NewStatus(stamp.Stamp(st.GetStamp()), st.GetIncarnation(), st.GetEngine(), st.GetEpoch(),
		st.GetWeights(), time.Duration(st.GetWaitUs())*time.Microsecond, st.GetPrefillRate(), st.GetLeaving())
}

// FromTicket converts a ticket to a message.
func FromTicket(tk order.Ticket) *Ticket {
	return &Ticket{Agent: tk.Agent(), Incarnation: tk.Incarnation(), Seq: tk.Seq()}
}

// ToTicket converts the message to a ticket.
func (tk *Ticket) ToTicket() order.Ticket {
	return order.NewTicket(tk.GetAgent(), tk.GetIncarnation(), tk.GetSeq())
}

// FromReport converts a report to a message; its kind is UNSPECIFIED if the type of report is unknown.
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

// ToReport converts the message to a report, or returns false if its kind is unknown.
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

// FromError converts an error to a message.
func FromError(er *answer.Error) *Refusal {
	return &Refusal{
		Code:         string(er.Code()),
		Message:      er.Message(),
		RetryAfterMs: er.RetryAfter().Milliseconds(),
		Outcome:      string(er.Outcome()),
	}
}

// ToError converts the message to an error.
func (rf *Refusal) ToError() *answer.Error {
	retryAfter := time.Duration(rf.GetRetryAfterMs()) * time.Millisecond
	return answer.NewError(answer.Code(rf.GetCode()), answer.Outcome(rf.GetOutcome()), retryAfter, "%s", rf.GetMessage())
}

// FromHotPrefixes converts hot prefixes to a message.
func FromHotPrefixes(ht place.HotPrefixes) *Heat {
	out := &Heat{Total: ht.Total()}
	for _, hp := range ht.Prefixes() {
		out.Keys = append(out.Keys, uint64(hp.Key()))
		out.Counts = append(out.Counts, float32(hp.Count()))
	}
	return out
}

// ToHotPrefixes converts the message to hot prefixes. Keys without a count and counts without a key are dropped.
func (ht *Heat) ToHotPrefixes() place.HotPrefixes {
	count := min(len(ht.GetKeys()), len(ht.GetCounts()))
	prefixes := make([]place.HotPrefix, 0, count)
	for i := range count {
		prefixes = append(prefixes, place.NewHotPrefix(prefix.Key(ht.GetKeys()[i]), float64(ht.GetCounts()[i])))
	}
	return place.NewHotPrefixes(ht.GetTotal(), prefixes)
}
