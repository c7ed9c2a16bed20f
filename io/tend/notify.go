package tend

import (
	"context"
	"slices"
	"time"

	"shallotcleat/core/weight"
	"shallotcleat/io/wire"
)

// servingState is the part of the engine's state that determines which calls gates send to it. They are notified of changes at
// once.
type servingState struct {
	version uint64
	// outOfService is set while the engine drains or loads.
	outOfService bool
	shortOnly    bool
}

// isUtilizationNotifyDue reports whether the gates should be notified of the engine's utilization.
func (wt *watcher) isUtilizationNotifyDue(now time.Time) bool {
	calls := wt.state.Running + wt.state.Waiting
	change := calls - wt.notifiedCalls
	age := now.Sub(wt.utilizationNotifiedAt)
	return age > utilizationNotifyPeriod && change*change >= minCallsChange*minCallsChange ||
		age > waitingNotifyPeriod && wt.state.Waiting > 0
}

// servingState returns the engine's present serving state.
func (wt *watcher) servingState(outOfService bool) servingState {
	return servingState{version: wt.state.Version, outOfService: outOfService, shortOnly: wt.grant == weight.ShortOnly}
}

// notify notifies all gates of the engine's state.
func (wt *watcher) notify(ctx context.Context, outOfService bool) {
	wt.notifiedAt = time.Now()
	if outOfService && !wt.notified.outOfService {
		wt.outOfServiceSince = wt.notifiedAt
	}
	wt.notified = wt.servingState(outOfService)
	wt.recordUtilizationNotified()
	wt.send(ctx, wt.tender.gates(), wt.engineNews(outOfService, false))
}

// notifyUnreached retries the notification of gates that could not be reached, for notifyRetryLimit after the first failure. A gate
// that has just started has no state of the engine.
func (wt *watcher) notifyUnreached(ctx context.Context, outOfService bool) {
	now := time.Now()
	wt.retriedAt = now
	var gates []string
	for address, since := range wt.unreached {
		if now.Sub(since) < notifyRetryLimit {
			gates = append(gates, address)
		}
	}
	wt.send(ctx, gates, wt.engineNews(outOfService, false))
}

// send notifies gates and records which of them could not be reached.
func (wt *watcher) send(ctx context.Context, gates []string, ns *wire.EngineNews) {
	unreached := wt.tender.notify(ctx, gates, ns)
	now := time.Now()
	for _, address := range gates {
		if _, ok := wt.unreached[address]; ok && !slices.Contains(unreached, address) {
			delete(wt.unreached, address)
		}
	}
	for _, address := range unreached {
		if _, ok := wt.unreached[address]; !ok {
			wt.unreached[address] = now
		}
	}
}

// notifyUtilization notifies the gates of the engine's utilization. Gates of other zones send fewer calls and are notified less
// often.
func (wt *watcher) notifyUtilization(ctx context.Context, outOfService bool) {
	wt.recordUtilizationNotified()
	gates, remote := wt.tender.gatesByZone()
	if now := time.Now(); now.Sub(wt.remoteNotifiedAt) > remoteNotifyPeriod {
		wt.remoteNotifiedAt = now
		gates = append(gates, remote...)
	}
	wt.send(ctx, gates, wt.engineNews(outOfService, false))
}

// recordUtilizationNotified records the utilization that the gates are notified of.
func (wt *watcher) recordUtilizationNotified() {
	wt.utilizationNotifiedAt = time.Now()
	wt.notifiedCalls = wt.state.Running + wt.state.Waiting
}

// notifyDown notifies the gates that the engine does not respond.
func (wt *watcher) notifyDown(ctx context.Context) {
	if wt.id == "" {
		return
	}
	ns := wt.engineNews(false, false)
	ns.Dark = true
	wt.send(ctx, wt.tender.gates(), ns)
}

// engineNews returns the message to the gates; loadRequest is set if it requests a load.
func (wt *watcher) engineNews(outOfService, loadRequest bool) *wire.EngineNews {
	return &wire.EngineNews{
		ServerId: wt.id,
		Model:    wt.state.Model,
		Version:  wt.state.Version,
		Loading:  outOfService,
		Running:  int32(wt.state.Running),
		Waiting:  int32(wt.state.Waiting),
		Free:     int32(wt.state.FreeTokens),
		Memory:   int32(wt.state.MemoryTokens),
		Service:  wt.tender.opts.Service,
		Zone:     wt.tender.opts.Zone,
		Ask:      loadRequest,
		Short:    wt.grant == weight.ShortOnly,
		Address:  wt.tender.opts.Address,
	}
}
