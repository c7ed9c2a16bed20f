package tend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/weight"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
)

// ownersTable is the table with one row for each engine. The version of the row that its holder wrote is the fencing number of the
// holder's load orders.
const ownersTable = "owners"

// claim makes this tender the holder of its engine; it retries until it succeeds or the context ends.
func (td *Tender) claim(ctx context.Context) {
	for ctx.Err() == nil {
		fence, err := td.claimOnce(ctx)
		if err == nil {
			td.mu.Lock()
			td.fence = max(td.fence, fence)
			td.mu.Unlock()
			td.log.WithField("fence", fence).Info("claimed the engine")
			return
		}
		td.log.WithError(err).Info("cannot claim the engine; retrying")
		timer.Sleep(ctx, jitter(storeRetryDelay))
	}
}

// claimOnce writes the engine's row and returns its version. A conflict is resolved by one more write over the row that it reports.
func (td *Tender) claimOnce(parent context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	row := table.Write{Key: ownersTable + "/" + td.opts.Address, Value: []byte(td.opts.Name)}
	versions, err := td.opts.Store.Commit(ctx, []table.Write{row})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		row.ExpectedVersion = ce.Cell(row.Key).Version
		versions, err = td.opts.Store.Commit(ctx, []table.Write{row})
	}
	if err != nil {
		return 0, fmt.Errorf("claim engine: %w", err)
	}
	return versions[0], nil
}

// runWatcher polls the engine until the context ends.
func (td *Tender) runWatcher(ctx context.Context) {
	wt := newWatcher(td)
	for ctx.Err() == nil {
		behind := wt.poll(ctx)
		if behind || wt.speedometer.wantsReports(time.Now()) {
			timer.Sleep(ctx, behindPollPeriod)
		} else {
			timer.Sleep(ctx, idlePollPeriod)
		}
	}
}

// watcher observes the engine, sends the load orders that are due and notifies the gates of changes. It is owned by the goroutine
// of runWatcher.
type watcher struct {
	tender *Tender
	state  EngineState
	// id is the engine's id, and startUnixMilli the start time of the engine process that has this id.
	id             string
	startUnixMilli int64
	// previousID is the id of the previous run if it responded so lately before this one that the address cannot have gone to another
	// service, and "" otherwise.
	previousID string
	// respondedAt is when the engine last responded, and askedAt when it was asked for that response.
	respondedAt time.Time
	askedAt     time.Time
	// startedAt is when the tender's process started, and clock a random name of the clock that counts from there.
	startedAt time.Time
	clock     uint64
	// unreachable is set while the engine does not respond.
	unreachable bool
	// notifiedAt is when all gates were last notified of the engine's state.
	notifiedAt time.Time
	// utilizationNotifiedAt is when gates were last notified of the engine's utilization.
	utilizationNotifiedAt time.Time
	// remoteNotifiedAt is when notifyUtilization last notified gates of other zones.
	remoteNotifiedAt time.Time
	// unreached maps each gate that could not be reached to the time of the first failure. retriedAt is the time of the last retry.
	unreached map[string]time.Time
	retriedAt time.Time
	// relayFailedAt maps each gate of another zone that could not be reached to the time of the last failure. relaysDue is set if the last
	// message did not reach all other zones.
	relayFailedAt map[string]time.Time
	relaysDue     bool
	// notified is the state that the gates were last notified of.
	notified servingState
	// outOfServiceSince is when the engine stopped taking calls.
	outOfServiceSince time.Time
	// notifiedCalls is the number of the engine's calls that the gates were last notified of.
	notifiedCalls int
	// grant is the last reply to a load request, other than Load; it is KeepServing while no load is due.
	grant weight.Grant
	// nextRequest is when the next load request is due.
	nextRequest time.Time
	speedometer *speedometer
}

func newWatcher(td *Tender) *watcher {
	return &watcher{tender: td, startedAt: time.Now(), clock: rand.Uint64(), unreached: make(map[string]time.Time), relayFailedAt: make(map[string]time.Time),
		speedometer: newSpeedometer(td.opts.Recorder)}
}

// poll observes the engine, acts on its state and reports whether its weights are behind the target version.
func (wt *watcher) poll(ctx context.Context) bool {
	td := wt.tender
	if !wt.observe(ctx) {
		return false
	}
	now := time.Now()
	td.mu.Lock()
	td.updater.SetTarget(td.targets[wt.state.Model])
	action := td.updater.Next(now, wt.state.LoadState)
	fence, target := td.fence, td.updater.Target()
	td.mu.Unlock()
	_, loadDue := action.(weight.RequestLoad)
	if !loadDue {
		wt.grant = weight.KeepServing
	}
	outOfService := wt.state.LoadState.Busy() || wt.grant == weight.Drain
	if wt.notified.outOfService && !outOfService {
		td.opts.Recorder.RecordWeightLoad(now.Sub(wt.outOfServiceSince))
		td.log.WithFields(logrus.Fields{"event": "weights_loaded", "server": wt.id, "version": wt.state.Version}).
			Info("the engine takes calls again")
	}
	switch {
	case wt.notified != wt.servingState(outOfService) || now.Sub(wt.notifiedAt) > notifyPeriod:
		wt.notify(ctx, outOfService)
	case wt.isUtilizationNotifyDue(now):
		wt.notifyUtilization(ctx, outOfService)
	case (len(wt.unreached) > 0 || wt.relaysDue) && now.Sub(wt.retriedAt) > notifyRetryPeriod:
		wt.notifyUnreached(ctx, outOfService)
	}
	if loadDue && fence > 0 && !now.Before(wt.nextRequest) {
		wt.requestLoad(ctx, fence)
	}
	return wt.state.Version < target
}

// requestLoad asks a gate whether the engine may load and follows the reply.
func (wt *watcher) requestLoad(ctx context.Context, fence uint64) {
	grant, repeatDelay := wt.tender.requestLoad(ctx, wt.engineNews(wt.grant == weight.Drain, true))
	wt.nextRequest = time.Now().Add(repeatDelay)
	switch grant {
	case weight.Load:
		wt.sendOrder(ctx, fence)
	case weight.ShortOnly, weight.Drain:
		wt.restrictCalls(ctx, grant)
	case weight.KeepServing:
		wt.grant = grant
	}
}

// restrictCalls notifies the gates that the engine takes short calls only, or none, before it loads weights.
func (wt *watcher) restrictCalls(ctx context.Context, grant weight.Grant) {
	if wt.grant == grant {
		return
	}
	wt.grant = grant
	wt.tender.log.WithFields(logrus.Fields{
		"event": "weights_drain", "server": wt.id, "version": wt.state.Version, "running": wt.state.Running,
		"short_calls": grant == weight.ShortOnly,
	}).Info("the engine restricts its calls before it loads weights")
	wt.notify(ctx, grant == weight.Drain)
}

// observe reads the engine's state and, after each of its starts, its id. It reports whether both are known.
func (wt *watcher) observe(parent context.Context) bool {
	td := wt.tender
	ctx, cancel := context.WithTimeout(parent, stateTimeout)
	defer cancel()
	askedAt := time.Now()
	state, err := td.opts.Engine.State(ctx)
	wt.speedometer.observe(askedAt, time.Now(), state, err)
	if err != nil {
		if !wt.unreachable && parent.Err() == nil {
			td.log.WithError(err).Warn("dependency lost: the engine does not answer")
			wt.notifyDown(parent)
		}
		wt.unreachable = true
		return false
	}
	if wt.unreachable {
		td.log.Info("dependency regained: the engine answers again")
		wt.notified = servingState{}
	}
	wt.unreachable = false
	wt.state = state
	now, previous := time.Now(), wt.respondedAt
	if wt.id != "" && state.StartUnixMilli == wt.startUnixMilli {
		wt.respondedAt, wt.askedAt = now, askedAt
		return true
	}
	id := state.ServerID
	if id == "" {
		if id, err = td.opts.Engine.Identify(ctx); err != nil {
			td.log.WithError(err).Info("cannot identify the engine; retrying")
			return false
		}
	}
	if wt.id != "" {
		// The gates take what they are told next for the cache of this run, and its weights mostly have the version of before.
		td.cache.drop()
	}
	if wt.previousID = wt.id; elapsed(previous, now) >= td.opts.AddressReuse {
		wt.previousID = ""
	}
	wt.id, wt.startUnixMilli, wt.notified, wt.respondedAt, wt.askedAt = id, state.StartUnixMilli, servingState{}, now, askedAt
	td.log.WithFields(logrus.Fields{"server": id, "weights": state.Version}).Info("identified the engine")
	return true
}

// elapsed returns the time between two moments. The monotonic clock does not count the time for which a VM is suspended, and the time of day may
// be set back, so the longer of both holds.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// sendOrder notifies the gates that the engine takes no calls, and sends it a load order. If the engine has seen a higher fencing
// number, the tender claims it again.
func (wt *watcher) sendOrder(parent context.Context, fence uint64) {
	td := wt.tender
	td.mu.Lock()
	order := td.updater.BeginLoad(time.Now())
	td.mu.Unlock()
	if wt.grant != weight.Drain {
		wt.notify(parent, true)
	}
	ctx, cancel := context.WithTimeout(parent, loadOrderTimeout)
	defer cancel()
	verdict, err := td.opts.Engine.Load(ctx, LoadOrder{
		ServerID: wt.id,
		Model:    wt.state.Model,
		Version:  order.Version(),
		Holder:   td.opts.Name,
		Fence:    fence,
		Sequence: order.Sequence(),
	})
	log := td.log.WithFields(logrus.Fields{
		"event": "weights_load_ordered", "server": wt.id, "version": order.Version(), "from": wt.state.Version,
		"fence": fence, "sequence": order.Sequence(), "verdict": verdict.String(),
	})
	if err != nil {
		td.opts.Recorder.CountLoadOrder("no_answer")
		log.WithError(err).Info("load order got no answer")
		return
	}
	td.opts.Recorder.CountLoadOrder(verdict.String())
	log.Info("load order answered")
	if verdict != Fenced {
		return
	}
	td.mu.Lock()
	td.fence = 0
	td.updater.RetryNow()
	td.mu.Unlock()
	td.claim(parent)
}
