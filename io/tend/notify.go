package tend

import (
	"context"
	"slices"
	"time"

	"shallotcleat/core/weight"
	"shallotcleat/io/wire"
)

// gateState is the part of the engine's state whose changes are sent to the gates at once.
type gateState struct {
	version   uint64
	loading   bool
	shortOnly bool
}

// isLoadNotifyDue reports whether the gates should be notified of the engine's load.
func (wt *watcher) isLoadNotifyDue(now time.Time) bool {
	calls := wt.state.Running + wt.state.Waiting
	change := calls - wt.notifiedCalls
	age := now.Sub(wt.loadNotifiedAt)
	return age > loadNotifyPeriod && change*change >= minCallsChange*minCallsChange || age > queueNotifyPeriod && wt.state.Waiting > 0
}

// gateState returns the part of the present state that is sent at once; loading is set while the engine drains or loads.
func (wt *watcher) gateState(loading bool) gateState {
	return gateState{version: wt.state.Version, loading: loading, shortOnly: wt.grant == weight.ShortOnly}
}

// notify notifies all gates of the engine's state.
func (wt *watcher) notify(ctx context.Context, loading bool) {
	wt.notifiedAt = time.Now()
	if loading && !wt.notified.loading {
		wt.outSince = wt.notifiedAt
	}
	wt.notified = wt.gateState(loading)
	wt.recordLoad()
	wt.send(ctx, wt.tender.gates(), wt.engineNews(loading, false))
}

// notifyUnreached notifies the gates that could not be reached again: a gate that has just started has no state of the engine.
func (wt *watcher) notifyUnreached(ctx context.Context, loading bool) {
	now := time.Now()
	wt.retriedAt = now
	var gates []string
	for address, since := range wt.unreached {
		if now.Sub(since) < retryLimit {
			gates = append(gates, address)
		}
	}
	wt.send(ctx, gates, wt.engineNews(loading, false))
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

// notifyLoad notifies the gates of the engine's load. Gates of other zones send fewer calls and are notified less often.
func (wt *watcher) notifyLoad(ctx context.Context, loading bool) {
	wt.recordLoad()
	gates, remote := wt.tender.gatesByZone()
	if now := time.Now(); now.Sub(wt.remoteNotifiedAt) > remoteNotifyPeriod {
		wt.remoteNotifiedAt = now
		gates = append(gates, remote...)
	}
	wt.send(ctx, gates, wt.engineNews(loading, false))
}

// recordLoad records the load that the gates are notified of.
func (wt *watcher) recordLoad() {
	wt.loadNotifiedAt = time.Now()
	wt.notifiedCalls = wt.state.Running + wt.state.Waiting
}

// notifyDown notifies the gates that the engine does not answer.
func (wt *watcher) notifyDown(ctx context.Context) {
	if wt.id == "" {
		return
	}
	ns := wt.engineNews(false, false)
	ns.Dark = true
	wt.send(ctx, wt.tender.gates(), ns)
}

// engineNews returns the message to the gates; ask is set if it requests a load.
func (wt *watcher) engineNews(loading, ask bool) *wire.EngineNews {
	return &wire.EngineNews{
		ServerId: wt.id,
		Model:    wt.state.Model,
		Version:  wt.state.Version,
		Loading:  loading,
		Running:  int32(wt.state.Running),
		Waiting:  int32(wt.state.Waiting),
		Free:     int32(wt.state.FreeTokens),
		Memory:   int32(wt.state.MemoryTokens),
		Service:  wt.tender.opts.Service,
		Zone:     wt.tender.opts.Zone,
		Ask:      ask,
		Short:    wt.grant == weight.ShortOnly,
		Address:  wt.tender.opts.Address,
	}
}
