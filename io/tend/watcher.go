package tend

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/weight"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
)

// ownersTable holds one row for each engine; the version at which its holder wrote it is the fencing number of its orders.
const ownersTable = "owners"

// claim makes this tender the holder of its engine.
func (td *Tender) claim(ctx context.Context) {
	for ctx.Err() == nil {
		fence, err := td.claimOnce(ctx)
		if err == nil {
			td.mu.Lock()
			td.fence = fence
			td.mu.Unlock()
			td.log.WithField("fence", fence).Info("holder of the engine")
			return
		}
		td.log.WithError(err).Info("the engine can't be claimed yet")
		timer.Pause(ctx, jitter(claimPause))
	}
}

func (td *Tender) claimOnce(parent context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(parent, storeLimit)
	defer cancel()
	row := table.Write{Key: ownersTable + "/" + td.opts.Address, Value: []byte(td.opts.Name)}
	versions, err := td.opts.Store.Commit(ctx, []table.Write{row})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		row.Expect = ce.Cell(row.Key).Version
		versions, err = td.opts.Store.Commit(ctx, []table.Write{row})
	}
	if err != nil {
		return 0, fmt.Errorf("claim engine: %w", err)
	}
	return versions[0], nil
}

// tend looks at the engine again and again, gives the orders that are due and tells the gates what has changed.
func (td *Tender) tend(ctx context.Context) {
	eye := newWatcher(td)
	for ctx.Err() == nil {
		if eye.step(ctx) {
			timer.Pause(ctx, busyPeriod)
		} else {
			timer.Pause(ctx, idlePeriod)
		}
	}
}

// watcher is what a tender remembers between looks; the goroutine of tend owns it.
type watcher struct {
	tender *Tender
	seen   EngineState
	id     string
	born   int64
	lost   bool
	told   time.Time
	// toldLoad is when gates were told the engine's load last.
	toldLoad time.Time
	// toldFar is when those of other zones were.
	toldFar time.Time
	// missed holds the gates that could not be reached, with the time since when; retold is when they were told again last.
	missed map[string]time.Time
	retold time.Time
	// said is what the gates were told last.
	said word
	// out is when the engine stopped taking calls.
	out time.Time
	// busy is the number of the engine's calls that the gates were told last.
	busy int
	// grant is the desk's last answer while the engine is behind, beside that it may load.
	grant weight.Grant
}

func newWatcher(td *Tender) *watcher {
	return &watcher{tender: td, missed: make(map[string]time.Time)}
}

// step makes one look and reports whether the next one is due soon.
func (wt *watcher) step(ctx context.Context) bool {
	td := wt.tender
	if !wt.look(ctx) {
		return false
	}
	now := time.Now()
	td.mu.Lock()
	td.keeper.SetTarget(td.wanted[wt.seen.Model])
	step := td.keeper.Next(now, wt.seen.LoadState)
	fence, wanted := td.fence, td.keeper.Target()
	td.mu.Unlock()
	_, behind := step.(weight.RequestLoad)
	if !behind {
		wt.grant = weight.KeepServing
	}
	loading := wt.seen.LoadState.Busy() || wt.grant == weight.Drain
	if wt.said.loading && !loading {
		td.opts.Recorder.CountWeightLoad(now.Sub(wt.out))
		td.log.WithFields(logrus.Fields{"event": "weights_loaded", "server": wt.id, "version": wt.seen.Version}).Info("the engine takes calls again")
	}
	switch {
	case wt.said != wt.word(loading) || now.Sub(wt.told) > tellPeriod:
		wt.tell(ctx, loading)
	case wt.isLoadChanged(now):
		wt.tellLoad(ctx, loading)
	case len(wt.missed) > 0 && now.Sub(wt.retold) > retellPeriod:
		wt.retell(ctx, loading)
	}
	if behind && fence > 0 {
		wt.ask(ctx, fence)
	}
	return wt.seen.Version < wanted
}

// ask asks a gate what to do about the engine's old weights, and does it.
func (wt *watcher) ask(ctx context.Context, fence uint64) {
	gr := wt.tender.ask(ctx, wt.news(wt.grant == weight.Drain, true))
	switch gr {
	case weight.Load:
		wt.order(ctx, fence)
	case weight.ShortOnly, weight.Drain:
		wt.leave(ctx, gr)
	case weight.KeepServing:
		wt.grant = gr
	}
}

// leave tells the gates that the engine takes short calls only, or none, before it loads weights.
func (wt *watcher) leave(ctx context.Context, gr weight.Grant) {
	if wt.grant == gr {
		return
	}
	wt.grant = gr
	wt.tender.log.WithFields(logrus.Fields{
		"event": "weights_drain", "server": wt.id, "version": wt.seen.Version, "running": wt.seen.Running, "short_calls": gr == weight.ShortOnly,
	}).Info("the engine ends its calls before it loads weights")
	wt.tell(ctx, gr == weight.Drain)
}

// look sees the engine, and learns its id after each of its starts.
func (wt *watcher) look(parent context.Context) bool {
	td := wt.tender
	ctx, cancel := context.WithTimeout(parent, seeLimit)
	defer cancel()
	seen, err := td.opts.Engine.State(ctx)
	if err != nil {
		if !wt.lost && parent.Err() == nil {
			td.log.WithError(err).Warn("dependency lost: the engine does not answer")
			wt.tellDark(parent)
		}
		wt.lost = true
		return false
	}
	if wt.lost {
		td.log.Info("dependency regained: the engine answers again")
		wt.said = word{}
	}
	wt.lost = false
	wt.seen = seen
	if wt.id != "" && seen.StartUnixMilli == wt.born {
		return true
	}
	id := seen.ServerID
	if id == "" {
		if id, err = td.opts.Engine.Identify(ctx); err != nil {
			td.log.WithError(err).Info("the engine's id is not known yet")
			return false
		}
	}
	wt.id, wt.born, wt.said = id, seen.StartUnixMilli, word{}
	td.log.WithFields(logrus.Fields{"server": id, "weights": seen.Version}).Info("engine found")
	return true
}

// order tells the gates that the engine takes no calls for a while, and gives the order.
func (wt *watcher) order(parent context.Context, fence uint64) {
	td := wt.tender
	td.mu.Lock()
	ln := td.keeper.BeginLoad(time.Now())
	td.mu.Unlock()
	if wt.grant != weight.Drain {
		wt.tell(parent, true)
	}
	ctx, cancel := context.WithTimeout(parent, orderLimit)
	defer cancel()
	vd, err := td.opts.Engine.Load(ctx, LoadOrder{
		ServerID: wt.id,
		Model:    wt.seen.Model,
		Version:  ln.Version(),
		Holder:   td.opts.Name,
		Fence:    fence,
		Sequence: ln.Sequence(),
	})
	lg := td.log.WithFields(logrus.Fields{
		"event": "weights_load_ordered", "server": wt.id, "version": ln.Version(), "from": wt.seen.Version,
		"fence": fence, "sequence": ln.Sequence(), "verdict": vd.String(),
	})
	if err != nil {
		td.opts.Recorder.CountWeightOrder("no_answer")
		lg.WithError(err).Info("order to load weights got no answer")
		return
	}
	td.opts.Recorder.CountWeightOrder(vd.String())
	lg.Info("order to load weights")
	if vd != Fenced {
		return
	}
	td.mu.Lock()
	td.fence = 0
	td.keeper.RetryNow()
	td.mu.Unlock()
	td.claim(parent)
}
