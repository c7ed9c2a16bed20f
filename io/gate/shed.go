package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"shallotcleat/core/answer"
	"shallotcleat/core/pick"
	"shallotcleat/core/share"
	"shallotcleat/io/wire"
)

// Parameters of the exchange of the work of workspaces.
const (
	// workInterval is the time between two messages about the work of workspaces while servers are full, as long as there are at most
	// frequentGates, and calmWorkInterval the same otherwise: messages to each gate of a zone cost more than the decisions gain.
	workInterval     = 500 * time.Millisecond
	calmWorkInterval = time.Second
	frequentGates    = 100
	// maxToldWorks bounds the entries of a message.
	maxToldWorks = 32
	// contentionLogPeriod is the least time between two log lines about a full service.
	contentionLogPeriod = 10 * time.Second
)

// shed returns an error if a request is to be refused before its first attempt, and nil otherwise. Retries and resumed streams are not
// refused.
func (gt *Gate) shed(rq *request, ch pick.Choice) *answer.Error {
	if rq.sends > 0 || rq.isResumed() {
		return nil
	}
	if rq.service.IsEngine() {
		return gt.shedModelCall(rq, ch)
	}
	return gt.shedPlainCall(rq)
}

// shedModelCall refuses a request to an engine whose response is not expected to begin in time.
func (gt *Gate) shedModelCall(rq *request, ch pick.Choice) *answer.Error {
	fairShareRatio := gt.meter.FairShareRatio(time.Now(), rq.service.Name(), rq.workspace.Name())
	retryAfter, shed := ch.Shed(rq.route.TargetLatency(), rq.workspace.Priority(rq.route), fairShareRatio)
	if !shed {
		return nil
	}
	gt.flow.Full(time.Now(), rq.service.Name())
	return answer.NewError(answer.Overloaded, answer.NotRun, retryAfter,
		"response expected to begin after %s, target latency is %s; workspace uses %.1f times its fair share",
		ch.TimeToFirstEvent().Round(time.Millisecond), rq.route.TargetLatency(), fairShareRatio)
}

// shedPlainCall refuses a request to a plain service whose servers have lately been full, if its workspace is beyond its share of the service or
// its rank too low.
func (gt *Gate) shedPlainCall(rq *request) *answer.Error {
	now, service, rank := time.Now(), rq.service.Name(), rq.workspace.Priority(rq.route)
	capacity, full := gt.flow.Capacity(now, service, gt.picker.Slots(now, service))
	if !full {
		return nil
	}
	verdict := gt.meter.Admit(now, service, rq.workspace.Name(), rank, capacity, gt.flow.Draw())
	rq.beyondShare = verdict == share.Beyond
	if verdict == share.Within {
		return nil
	}
	gt.opts.Recorder.CountBeyondShare(verdict == share.Refused)
	if verdict == share.Beyond {
		return nil
	}
	fairShareRatio := gt.meter.FairShareRatio(now, service, rq.workspace.Name())
	if last := gt.contentionLoggedAt.Load(); now.UnixNano()-last >= int64(contentionLogPeriod) && gt.contentionLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		gt.log.WithFields(logrus.Fields{"event": "service_contended", "service": service, "capacity_per_second": capacity,
			"workspace": rq.workspace.Name(), "fair_share_ratio": fairShareRatio, "request_id": rq.info.RequestID}).
			Warn("servers are full; requests beyond the fair shares of their workspaces are refused")
	}
	return answer.NewError(answer.Overloaded, answer.NotRun, busyRetryAfter,
		"servers serve %.0f requests per second; workspace uses %.1f times its fair share, rank is %d", capacity, fairShareRatio, rank)
}

// workInterval returns the time between two messages about the work of workspaces.
func (gt *Gate) workInterval(now time.Time) time.Duration {
	if gt.gateCount() > frequentGates || len(gt.flow.FullServices(now)) == 0 {
		return calmWorkInterval
	}
	return workInterval
}

// gateHash identifies this gate in messages about work.
func (gt *Gate) gateHash() uint64 { return xxhash.Sum64String(gt.opts.PeerAddress) }

// ownWork returns the recent work of workspaces at this gate, for the other gates. It is empty if there is none.
func (gt *Gate) ownWork(now time.Time) []*wire.GateWork {
	works := gt.meter.Works(now, maxToldWorks)
	if len(works) == 0 {
		return nil
	}
	gw := &wire.GateWork{Gate: gt.gateHash(), Full: gt.flow.FullServices(now)}
	indexes := make(map[uint64]uint32)
	for _, wk := range works {
		index, known := indexes[wk.Service()]
		if !known {
			index = uint32(len(gw.Services))
			indexes[wk.Service()] = index
			gw.Services = append(gw.Services, wk.Service())
		}
		gw.Indexes = append(gw.Indexes, index)
		gw.Workspaces = append(gw.Workspaces, wk.Workspace())
		gw.Ranks = append(gw.Ranks, uint32(wk.Rank()))
		gw.Amounts = append(gw.Amounts, float32(wk.Amount()))
	}
	return []*wire.GateWork{gw}
}

// applyWorks applies the recent work of workspaces at other gates.
func (gt *Gate) applyWorks(now time.Time, works []*wire.GateWork) {
	for _, gw := range works {
		if gw.GetGate() == gt.gateHash() {
			continue
		}
		gt.meter.Apply(now, gw.GetGate(), decodeWork(gw))
		gt.flow.ApplyFull(now, gw.GetFull())
	}
}

// decodeWork returns the entries of a message; those without a service are left out.
func decodeWork(gw *wire.GateWork) []share.Work {
	var works []share.Work
	for i := range min(len(gw.GetIndexes()), len(gw.GetWorkspaces()), len(gw.GetRanks()), len(gw.GetAmounts())) {
		if index := int(gw.GetIndexes()[i]); index < len(gw.GetServices()) {
			works = append(works, share.NewWork(gw.GetServices()[index], gw.GetWorkspaces()[i], int(gw.GetRanks()[i]), float64(gw.GetAmounts()[i])))
		}
	}
	return works
}
