package tend

import (
	"context"
	"maps"
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

// isUtilizationNotifyDue reports whether the gates should be notified of the engine's utilization or of changes of its cache.
func (wt *watcher) isUtilizationNotifyDue(now time.Time) bool {
	calls := wt.state.Running + wt.state.Waiting
	change := calls - wt.notifiedCalls
	age := now.Sub(wt.utilizationNotifiedAt)
	if age > cacheNotifyPeriod && !wt.tender.cache.isEmpty() {
		return true
	}
	return age > utilizationNotifyPeriod && change*change >= minCallsChange*minCallsChange ||
		age > waitingNotifyPeriod && wt.state.Waiting > 0 || age > busyNotifyPeriod && calls > 0
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
	ns := wt.engineNews(outOfService, false)
	ns.Cached, ns.Evicted = wt.tender.cache.take(wt.state.Version)
	wt.send(ctx, wt.allRecipients(wt.notifiedAt), ns)
}

// notifyUnreached retries the notification of gates that could not be reached, for notifyRetryLimit after the first failure. A gate
// that has just started has no state of the engine.
func (wt *watcher) notifyUnreached(ctx context.Context, outOfService bool) {
	now := time.Now()
	wt.retriedAt = now
	var rc recipients
	for address, since := range wt.unreached {
		if now.Sub(since) < notifyRetryLimit {
			rc.direct = append(rc.direct, address)
		}
	}
	if wt.relaysDue {
		rc.relays = wt.relays(now)
	}
	wt.send(ctx, rc, wt.engineNews(outOfService, false))
}

// recipients are the gates that get a message: gates of the tender's own zone, and one gate of each other zone, which passes the message
// on within its zone.
type recipients struct {
	direct []string
	relays []string
}

// allRecipients returns the recipients of a message for all gates. While no gate is listed, these are the seed peers.
func (wt *watcher) allRecipients(now time.Time) recipients {
	td := wt.tender
	local, remote := td.gatesByZone()
	if len(local)+len(remote) == 0 {
		return recipients{direct: td.gates()}
	}
	return recipients{direct: local, relays: wt.relays(now)}
}

// relays returns one gate of each other zone, and avoids those that could not be reached lately.
func (wt *watcher) relays(now time.Time) []string {
	td := wt.tender
	return td.gateList.Relays(td.opts.Zone, td.opts.Address, func(address string) bool {
		failedAt, ok := wt.relayFailedAt[address]
		return !ok || now.Sub(failedAt) > relayBackoff
	})
}

// send notifies gates and records which of them could not be reached.
func (wt *watcher) send(ctx context.Context, rc recipients, ns *wire.EngineNews) {
	unreached := wt.tender.notify(ctx, rc, ns)
	now := time.Now()
	for _, address := range rc.direct {
		if !slices.Contains(unreached, address) {
			delete(wt.unreached, address)
		} else if _, ok := wt.unreached[address]; !ok {
			wt.unreached[address] = now
		}
	}
	if len(rc.relays) == 0 {
		return
	}
	wt.relaysDue = false
	for _, address := range rc.relays {
		if slices.Contains(unreached, address) {
			wt.relayFailedAt[address] = now
			wt.relaysDue = true
		} else {
			delete(wt.relayFailedAt, address)
		}
	}
	wt.forgetUnlistedGates()
}

// forgetUnlistedGates drops what is recorded of gates that are no longer listed.
func (wt *watcher) forgetUnlistedGates() {
	gates := wt.tender.gates()
	unlisted := func(address string, _ time.Time) bool { return !slices.Contains(gates, address) }
	maps.DeleteFunc(wt.unreached, unlisted)
	maps.DeleteFunc(wt.relayFailedAt, unlisted)
}

// notifyUtilization notifies the gates of the engine's utilization and of changes of its cache. Gates of other zones send fewer calls and are
// notified less often.
func (wt *watcher) notifyUtilization(ctx context.Context, outOfService bool) {
	wt.recordUtilizationNotified()
	now := time.Now()
	rc := wt.allRecipients(now)
	ns := wt.engineNews(outOfService, false)
	if now.Sub(wt.remoteNotifiedAt) > remoteNotifyPeriod {
		wt.remoteNotifiedAt = now
		ns.Cached, ns.Evicted = wt.tender.cache.take(wt.state.Version)
	} else {
		rc.relays = nil
	}
	wt.send(ctx, rc, ns)
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
	wt.send(ctx, wt.allRecipients(time.Now()), ns)
}

// engineNews returns the message to the gates; loadRequest is set if it requests a load.
func (wt *watcher) engineNews(outOfService, loadRequest bool) *wire.EngineNews {
	es := wt.speedometer.estimate()
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

		StartUnixMilli: wt.startUnixMilli,
		PreviousId:     wt.previousID,
		PrefillRate:    float32(es.PrefillRate()),
		StepUs:         uint32(es.Step().Microseconds()),
		ObservedMs:     uint64(wt.askedAt.Sub(wt.startedAt).Milliseconds()),
		Clock:          wt.clock,
	}
}
