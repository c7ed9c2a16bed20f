package tend

import (
	"context"
	"slices"
	"time"

	"shallotcleat/core/weight"
	"shallotcleat/io/wire"
)

// word is what the gates must know of the engine at once.
type word struct {
	version uint64
	loading bool
	short   bool
}

// isLoadChanged reports whether the gates should be told the engine's load anew.
func (wt *watcher) isLoadChanged(now time.Time) bool {
	busy := wt.seen.Running + wt.seen.Waiting
	change := busy - wt.busy
	age := now.Sub(wt.toldLoad)
	return age > loadPeriod && change*change >= loadChange*loadChange || age > queuePeriod && wt.seen.Waiting > 0
}

func (wt *watcher) word(loading bool) word {
	return word{version: wt.seen.Version, loading: loading, short: wt.grant == weight.ShortOnly}
}

func (wt *watcher) tell(ctx context.Context, loading bool) {
	wt.told = time.Now()
	if loading && !wt.said.loading {
		wt.out = wt.told
	}
	wt.said = wt.word(loading)
	wt.noteLoad()
	wt.send(ctx, wt.tender.gates(), wt.news(loading, false))
}

// retell tells the gates again that could not be reached: a gate that has just started knows nothing of the engine.
func (wt *watcher) retell(ctx context.Context, loading bool) {
	now := time.Now()
	wt.retold = now
	var gates []string
	for address, since := range wt.missed {
		if now.Sub(since) < retellLimit {
			gates = append(gates, address)
		}
	}
	wt.send(ctx, gates, wt.news(loading, false))
}

// send tells gates and notes which of them could not be reached.
func (wt *watcher) send(ctx context.Context, gates []string, ns *wire.EngineNews) {
	missed := wt.tender.tell(ctx, gates, ns)
	now := time.Now()
	for _, address := range gates {
		if _, ok := wt.missed[address]; ok && !slices.Contains(missed, address) {
			delete(wt.missed, address)
		}
	}
	for _, address := range missed {
		if _, ok := wt.missed[address]; !ok {
			wt.missed[address] = now
		}
	}
}

// tellLoad tells the gates how busy the engine is; those of other zones, which send fewer calls, more seldom.
func (wt *watcher) tellLoad(ctx context.Context, loading bool) {
	wt.noteLoad()
	gates, far := wt.tender.gatesByZone()
	if now := time.Now(); now.Sub(wt.toldFar) > farPeriod {
		wt.toldFar = now
		gates = append(gates, far...)
	}
	wt.send(ctx, gates, wt.news(loading, false))
}

func (wt *watcher) noteLoad() {
	wt.toldLoad = time.Now()
	wt.busy = wt.seen.Running + wt.seen.Waiting
}

// tellDark tells the gates that the engine does not answer.
func (wt *watcher) tellDark(ctx context.Context) {
	if wt.id == "" {
		return
	}
	ns := wt.news(false, false)
	ns.Dark = true
	wt.send(ctx, wt.tender.gates(), ns)
}

// news returns what the gates are told.
func (wt *watcher) news(loading, ask bool) *wire.EngineNews {
	return &wire.EngineNews{
		ServerId: wt.id,
		Model:    wt.seen.Model,
		Version:  wt.seen.Version,
		Loading:  loading,
		Running:  int32(wt.seen.Running),
		Waiting:  int32(wt.seen.Waiting),
		Free:     int32(wt.seen.FreeTokens),
		Memory:   int32(wt.seen.MemoryTokens),
		Service:  wt.tender.opts.Service,
		Zone:     wt.tender.opts.Zone,
		Ask:      ask,
		Short:    wt.grant == weight.ShortOnly,
		Address:  wt.tender.opts.Address,
	}
}
