package tend

import (
	"context"
	"sync"
	"time"

	"shallotcleat/core/scope"
	"shallotcleat/io/timer"
)

// Parameters of following an engine's cache. Events that are lost or late cost precision only: gates assume that parts are cached for a while
// after their use.
const (
	// cacheEventsWait is how long the engine waits for events before it replies, and cacheEventsDelay the time between two calls, so that a
	// reply holds several events.
	cacheEventsWait  = time.Second
	cacheEventsDelay = 200 * time.Millisecond
	// maxCacheChanges bounds the changes that wait for the next message to the gates.
	maxCacheChanges = 2048
)

// CacheEvent reports that an engine has cached or evicted a part of a prompt.
type CacheEvent struct {
	// Salt is the text under which the part is cached.
	Salt    string
	Model   string
	PartID  string
	Evicted bool
}

// CacheEvents are the events since a position of the engine's event log.
type CacheEvents struct {
	Events []CacheEvent
	// Next is the position of the next call.
	Next uint64
	// Run differs between the starts of the engine.
	Run uint64
}

// cachedPart identifies a part in an engine's cache.
type cachedPart struct {
	version uint64
	key     uint64
}

// cacheChanges holds the changes of the engine's cache that gates have not been told of.
type cacheChanges struct {
	// mu guards evicted, which holds whether the last change of a part was its eviction.
	mu      sync.Mutex
	evicted map[cachedPart]bool
}

func (cc *cacheChanges) isEmpty() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return len(cc.evicted) == 0
}

// add adds events. Those under salts that are not of calls with a known weight version are ignored, and all that do not fit.
func (cc *cacheChanges) add(events []CacheEvent) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.evicted == nil {
		cc.evicted = make(map[cachedPart]bool)
	}
	for _, ev := range events {
		version, sc, ok := scope.ParseSalt(ev.Salt)
		if !ok {
			continue
		}
		pt := cachedPart{version: version, key: sc.PartKey(ev.Model, ev.PartID)}
		if _, known := cc.evicted[pt]; known || len(cc.evicted) < maxCacheChanges {
			cc.evicted[pt] = ev.Evicted
		}
	}
}

// take returns the keys of the parts that the engine has cached or evicted under a weight version since the last call. Changes under other
// versions are dropped: the engine drops its cache when it loads weights.
func (cc *cacheChanges) take(version uint64) (cached, evicted []uint64) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	for pt, isEvicted := range cc.evicted {
		switch {
		case pt.version != version:
		case isEvicted:
			evicted = append(evicted, pt.key)
		default:
			cached = append(cached, pt.key)
		}
	}
	clear(cc.evicted)
	return cached, evicted
}

// drop drops all changes: the engine has started again with an empty cache.
func (cc *cacheChanges) drop() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	clear(cc.evicted)
}

// followCache collects the changes of the engine's cache until the context ends.
func (td *Tender) followCache(ctx context.Context) {
	var position, run uint64
	for ctx.Err() == nil {
		ce, err := td.opts.Engine.CacheEvents(ctx, position, cacheEventsWait)
		if err != nil {
			td.log.WithError(err).Debug("reading the engine's cache events failed; retrying")
			timer.Sleep(ctx, cacheEventsDelay)
			continue
		}
		if ce.Run != run && position != 0 {
			// The engine has started again: the position is one of its earlier run.
			position, run = 0, ce.Run
			continue
		}
		position, run = ce.Next, ce.Run
		td.cache.add(ce.Events)
		timer.Sleep(ctx, cacheEventsDelay)
	}
}
