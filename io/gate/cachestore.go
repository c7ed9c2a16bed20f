package gate

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/pick"
	"shallotcleat/io/timer"
)

// Parameters of the watch of cache stores.
const (
	// cacheStoreWatchers is how many gates watch one cache store; a store bounds the calls that wait.
	cacheStoreWatchers = 3
	// watchersInterval is the time between checks of which stores this gate watches.
	watchersInterval = time.Second
	// cacheStoreWait is how long one call waits at the store, cacheStoreTimeout how long it may take.
	cacheStoreWait    = time.Second
	cacheStoreTimeout = 1300 * time.Millisecond
	// cacheStorePause is the time between two calls, whether the first one failed or the cache changed.
	cacheStorePause = 250 * time.Millisecond
)

// ErrCacheStoreBusy is returned by CacheStoreClient.Wait if the store has too many waiting calls; it is up.
var ErrCacheStoreBusy = errors.New("cache store has too many waiting calls")

// CacheStoreClient calls cache stores.
type CacheStoreClient interface {
	// Wait blocks until the store's cache has changed after a position, but at most for the given duration. It returns a number that
	// differs between the runs of the store, and the next position; the first position is 0. It fails as soon as the store can't be reached.
	Wait(ctx context.Context, address string, position uint64, wait time.Duration) (run, next uint64, err error)
}

// watchCacheStores watches the cache stores for which this gate is one of the first in the order of GateList.Ranked, until ctx is done.
func (gt *Gate) watchCacheStores(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	cancels := make(map[uint64]context.CancelFunc)
	for ctx.Err() == nil {
		watched := make(map[uint64]bool)
		for hash, address := range gt.picker.CacheStoreAddresses() {
			ranked := gt.gateList.Ranked(address)
			if !slices.Contains(ranked[:min(len(ranked), cacheStoreWatchers)], gt.opts.PeerAddress) {
				continue
			}
			watched[hash] = true
			if cancels[hash] == nil {
				watchCtx, cancel := context.WithCancel(ctx)
				cancels[hash] = cancel
				wg.Go(func() { gt.watchCacheStore(watchCtx, hash, address) })
			}
		}
		for hash, cancel := range cancels {
			if !watched[hash] {
				cancel()
				delete(cancels, hash)
			}
		}
		timer.Sleep(ctx, watchersInterval)
	}
	for _, cancel := range cancels {
		cancel()
	}
}

// watchCacheStore reports the state of one cache store after each call to it.
func (gt *Gate) watchCacheStore(ctx context.Context, hash uint64, address string) {
	log := gt.log.WithField("address", address)
	down := false
	var position uint64
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, cacheStoreTimeout)
		run, next, err := gt.opts.CacheStores.Wait(callCtx, address, position, cacheStoreWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCacheStoreBusy) {
			timer.Sleep(ctx, cacheStoreWait)
			continue
		}
		if (err != nil) != down {
			down = err != nil
			if down {
				log.WithError(err).Warn("dependency lost: a cache store does not answer")
			} else {
				log.WithField("run", run).Info("dependency regained: a cache store answers")
			}
		}
		position = next
		gt.hints.reportStore(time.Now(), pick.NewCacheStoreState(hash, run, down))
		timer.Sleep(ctx, cacheStorePause)
	}
}
