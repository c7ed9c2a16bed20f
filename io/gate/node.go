package gate

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/pick"
	"shallotcleat/core/speed"
	"shallotcleat/core/weight"
	"shallotcleat/io/wire"
)

// nodeHandler implements the Node service of wire.
type nodeHandler struct{ gate *Gate }

// Pull handles the Pull RPC: it returns newer rows of the tables, and the servers that have left if the request asks for them.
func (nh *nodeHandler) Pull(ctx context.Context, rq *wire.PullRequest) (*wire.PullReply, error) {
	reply := nh.gate.tableServer.Serve(ctx, rq)
	if rq.GetWantDeparted() {
		reply.Departed = nh.gate.watcher.departures()
	}
	return reply, nil
}

// Tell handles the Tell RPC of tenders. If a tender requests a load of newer weights, it decides whether the engine may begin;
// otherwise it applies the state of the engine that the tender reports, and passes it on if asked to.
func (nh *nodeHandler) Tell(_ context.Context, ns *wire.EngineNews) (*wire.Received, error) {
	gt := nh.gate
	now := time.Now()
	if ns.GetAsk() {
		req := loadRequest(ns).WithStaleness(gt.picker.StaleFor(now, ns.GetModel(), ns.GetVersion()))
		grant, repeatDelay := gt.loadScheduler.grant(now, req, gt.picker.CountAvailable(now, ns.GetService()))
		return &wire.Received{Grant: int32(grant), RepeatMs: int32(repeatDelay.Milliseconds())}, nil
	}
	if gt.applyNews(now, ns) && ns.GetRelay() {
		gt.hints.relayNews(ns)
	}
	return &wire.Received{}, nil
}

// applyNews applies the state of an engine that its tender reports. It ignores a late message about an earlier run, and reports whether it was none: what
// an earlier run has cached or does says nothing about the later one.
func (gt *Gate) applyNews(now time.Time, ns *wire.EngineNews) bool {
	if gt.watcher.isLate(ns) {
		gt.log.WithFields(logrus.Fields{"server": ns.GetServerId(), "address": ns.GetAddress(), "start_unix_ms": ns.GetStartUnixMilli()}).
			Debug("ignoring a late message about an earlier run of an engine")
		return false
	}
	if ns.GetDark() {
		gt.proveByTender(now, ns)
		gt.picker.MarkDown(now, ns.GetServerId())
		gt.watcher.recordSilence(ns.GetServerId())
		gt.log.WithField("server", ns.GetServerId()).Info("dependency lost: the engine does not answer its tender")
		return true
	}
	gt.freshness.setTenderAt(now)
	gt.watcher.recordStart(now, ns)
	gt.loadScheduler.recordState(now, loadRequest(ns), ns.GetLoading())
	gt.picker.SetWeights(now, ns.GetServerId(), ns.GetModel(), ns.GetVersion(), ns.GetLoading())
	gt.picker.SetShortOnly(now, ns.GetServerId(), ns.GetShort())
	gt.picker.ApplyCacheChanges(now, ns.GetServerId(), ns.GetVersion(), ns.GetCached(), ns.GetEvicted())
	gt.picker.SetUtilization(ns.GetServerId(),
		pick.NewUtilization(int(ns.GetRunning()), int(ns.GetWaiting()), int(ns.GetFree()), int(ns.GetMemory()), now))
	gt.applySpeed(now, ns)
	return true
}

// badSpeedLogPeriod is the least time between two log lines about implausible speeds, of any engine.
const badSpeedLogPeriod = 10 * time.Second

// applySpeed applies the speeds of an engine that its tender estimates.
func (gt *Gate) applySpeed(now time.Time, ns *wire.EngineNews) {
	es := speed.NewEstimate(float64(ns.GetPrefillRate()), time.Duration(ns.GetStepUs())*time.Microsecond)
	used := gt.picker.SetSpeed(now, ns.GetServerId(), ns.GetService(), es)
	gt.opts.Recorder.CountSpeedReport(used, es != speed.Estimate{})
	if used {
		return
	}
	last := gt.badSpeedLoggedAt.Load()
	if now.UnixNano()-last < int64(badSpeedLogPeriod) || !gt.badSpeedLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	gt.log.WithFields(logrus.Fields{"event": "speed_ignored", "server": ns.GetServerId(), "service": ns.GetService(),
		"prefill_rate": es.PrefillRate(), "step": es.Step().String()}).
		Warn("ignoring an implausible speed of an engine; its service's median is used")
}

func loadRequest(ns *wire.EngineNews) weight.LoadRequest {
	return weight.NewLoadRequest(ns.GetServerId(), ns.GetService(), ns.GetZone(), ns.GetVersion(), int(ns.GetRunning()))
}

// loadScheduler is a weight.Scheduler that is safe for concurrent use.
type loadScheduler struct {
	// mu guards scheduler.
	mu        sync.Mutex
	scheduler *weight.Scheduler
}

// grant decides a request and returns the time after which the tender repeats it.
func (ls *loadScheduler) grant(now time.Time, req weight.LoadRequest, engines int) (weight.Grant, time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	grant := ls.scheduler.Grant(now, req, engines)
	return grant, ls.scheduler.RepeatDelay(req)
}

// recordState marks the engine of req as out of service while it loads weights, and as in service otherwise.
func (ls *loadScheduler) recordState(now time.Time, req weight.LoadRequest, loading bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if loading {
		ls.scheduler.MarkOutOfService(now, req)
	} else {
		ls.scheduler.MarkInService(req.Engine())
	}
}
