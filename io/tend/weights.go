package tend

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/weight"
	"shallotcleat/io/table"
	"shallotcleat/io/wire"
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
		pause(ctx, jitter(claimPause))
	}
}

func (td *Tender) claimOnce(parent context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(parent, storeLimit)
	defer cancel()
	row := table.Write{Key: ownersTable + "/" + td.opts.Address, Value: []byte(td.holderName())}
	versions, err := td.opts.Store.Commit(ctx, []table.Write{row})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		row.Expect = ce.Cell(row.Key).Version
		versions, err = td.opts.Store.Commit(ctx, []table.Write{row})
	}
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// tend looks at the engine again and again, gives the orders that are due and tells the gates what has changed.
func (td *Tender) tend(ctx context.Context) {
	eye := &watcher{tender: td}
	for ctx.Err() == nil {
		if eye.step(ctx) {
			pause(ctx, busyPeriod)
		} else {
			pause(ctx, idlePeriod)
		}
	}
}

// watcher is what a tender remembers between looks; the goroutine of tend owns it.
type watcher struct {
	tender *Tender
	seen   Seen
	id     string
	born   int64
	lost   bool
	told   time.Time
	// said is the version that the gates were told last.
	said uint64
}

// step makes one look and reports whether the next one is due soon.
func (wt *watcher) step(ctx context.Context) bool {
	td := wt.tender
	if !wt.look(ctx) {
		return false
	}
	now := time.Now()
	td.mu.Lock()
	td.keeper.Want(now, td.wanted[wt.seen.Model], td.engines)
	step := td.keeper.Next(now, wt.seen.Look, td.rank, td.engines)
	fence, wanted := td.fence, td.keeper.Wanted()
	td.mu.Unlock()
	if ln, ok := step.(weight.LoadNow); ok && fence > 0 {
		wt.order(ctx, ln, fence)
		return true
	}
	behind := wt.seen.Version < wanted
	if wt.said != wt.seen.Version && !behind || now.Sub(wt.told) > tellPeriod && !behind {
		wt.tell(ctx, wt.seen.Version, false)
	}
	return behind
}

// look sees the engine, and learns its id after each of its starts.
func (wt *watcher) look(parent context.Context) bool {
	td := wt.tender
	ctx, cancel := context.WithTimeout(parent, seeLimit)
	defer cancel()
	seen, err := td.opts.Engine.See(ctx)
	if err != nil {
		if !wt.lost && parent.Err() == nil {
			td.log.WithError(err).Warn("dependency lost: the engine does not answer")
		}
		wt.lost = true
		return false
	}
	if wt.lost {
		td.log.Info("dependency regained: the engine answers again")
	}
	wt.lost = false
	wt.seen = seen
	if wt.id != "" && seen.Born == wt.born {
		return true
	}
	id := seen.ServerID
	if id == "" {
		if id, err = td.opts.Engine.Identify(ctx); err != nil {
			td.log.WithError(err).Info("the engine's id is not known yet")
			return false
		}
	}
	wt.id, wt.born, wt.said = id, seen.Born, 0
	td.log.WithFields(logrus.Fields{"server": id, "weights": seen.Version}).Info("engine found")
	return true
}

// order tells the gates that the engine takes no calls for a while, and gives the order.
func (wt *watcher) order(parent context.Context, ln weight.LoadNow, fence uint64) {
	td := wt.tender
	wt.tell(parent, ln.Version(), true)
	ctx, cancel := context.WithTimeout(parent, orderLimit)
	defer cancel()
	vd, err := td.opts.Engine.Load(ctx, Order{
		ServerID: wt.id,
		Model:    wt.seen.Model,
		Version:  ln.Version(),
		Holder:   td.holderName(),
		Fence:    fence,
		Sequence: ln.Sequence(),
	})
	lg := td.log.WithFields(logrus.Fields{
		"event": "weights_load_ordered", "server": wt.id, "version": ln.Version(), "from": wt.seen.Version,
		"fence": fence, "sequence": ln.Sequence(), "verdict": vd,
	})
	if err != nil {
		lg.WithError(err).Info("order to load weights got no answer")
		return
	}
	lg.Info("order to load weights")
	if vd != Fenced {
		return
	}
	td.mu.Lock()
	td.fence = 0
	td.keeper.Again()
	td.mu.Unlock()
	td.claim(parent)
}

func (wt *watcher) tell(ctx context.Context, version uint64, loading bool) {
	wt.told = time.Now()
	wt.said = version
	if loading {
		wt.said = 0
	}
	wt.tender.tellAll(ctx, &wire.EngineNews{
		ServerId: wt.id,
		Model:    wt.seen.Model,
		Version:  version,
		Loading:  loading,
		Running:  int32(wt.seen.Running),
		Queued:   int32(wt.seen.Queued),
	})
}
