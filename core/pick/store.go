package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/prefix"
)

// Limits of the use of cache stores.
const (
	// downTTL is how long a store counts as down without another report.
	downTTL = 3 * time.Second
	// savedTTL is how long a prefix is assumed to stay in a store after its last use.
	savedTTL = 60 * time.Second
	// reuseTTL is how long after a call a prefix counts as used before, so that the next call saves it.
	reuseTTL = 60 * time.Second
	// savingTTL is how long a prefix is not saved again while a save of it is assumed to be in progress.
	savingTTL = 2 * time.Second
	// lateHintTime is how long after a store was found to have started again hints of saves may still be about its earlier run: they are sent each
	// 160 ms, take up to 300 ms, and are passed on within 40 ms.
	lateHintTime = time.Second
	// recentTTL is how long after a prefill or a use an engine is a better source than a store: it is unlikely to have evicted the
	// prefix, and its link is its own.
	recentTTL = time.Second
	// saveShare is the share of a store's link that all processes may use for saves.
	saveShare = 0.4
	// maxSaveCredit bounds the link time that all processes together may use for saves at once, since copies wait behind them.
	maxSaveCredit = 800 * time.Millisecond
	// maxSeenPrefixes bounds the prefixes whose last use is kept.
	maxSeenPrefixes = 32768
)

// CacheStore keeps cached prompt prefixes apart from the engines. Engines save prefixes there and fetch them from there.
type CacheStore struct {
	server *fleet.Server
	// tokensPerSecond is the rate at which its link carries the prefixes of a token.
	tokensPerSecond float64
}

// NewCacheStore returns a store at an address in an availability zone whose link carries the given number of tokens a second.
func NewCacheStore(address, zone string, tokensPerSecond float64) CacheStore {
	return CacheStore{
		server:          fleet.NewServer("cache-store-"+address, address, zone, "", 0, false, 0, nil),
		tokensPerSecond: tokensPerSecond,
	}
}

// storeState is what this process knows of one cache store. The picker's lock guards it.
type storeState struct {
	store CacheStore
	// saved holds the last use of each prefix that was saved, by this process or according to its peers.
	saved useTable[prefixKey, time.Time]
	// saving holds the prefixes that this process is saving, with the time at which the save began.
	saving useTable[prefixKey, time.Time]
	// saveCredit is the link time that this process may use for saves, as of creditAt.
	saveCredit time.Duration
	creditAt   time.Time
	// run identifies the run of the store, or is zero if unknown. The store gets no calls before downUntil.
	run       uint64
	downUntil time.Time
	// restartedAt is when it was found to have started again, or zero.
	restartedAt time.Time
}

// CacheStoreState is a report of a process that watches a cache store.
type CacheStoreState struct {
	store uint64
	run   uint64
	down  bool
}

// NewCacheStoreState returns a report: the hash of the store's id, a number that differs between its runs, and whether it does not
// respond.
func NewCacheStoreState(store, run uint64, down bool) CacheStoreState {
	return CacheStoreState{store: store, run: run, down: down}
}

// Store returns the hash of the store's id.
func (cs CacheStoreState) Store() uint64 { return cs.store }

// Run returns the number of the store's run, or zero if unknown.
func (cs CacheStoreState) Run() uint64 { return cs.run }

// Down reports whether the store does not respond.
func (cs CacheStoreState) Down() bool { return cs.down }

// ApplyCacheStoreStates records reports about cache stores. A store that has started again is empty.
func (pk *Picker) ApplyCacheStoreStates(now time.Time, states []CacheStoreState) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, cs := range states {
		st, ok := pk.stores[cs.store]
		switch {
		case !ok:
		case cs.down:
			st.downUntil = now.Add(downTTL)
		default:
			if st.run != 0 && st.run != cs.run {
				st.saved.clear()
				st.saving.clear()
				st.restartedAt = now
			}
			st.run, st.downUntil = cs.run, time.Time{}
		}
	}
}

// CacheStoreAddresses returns the addresses of the cache stores by the hashes of their ids.
func (pk *Picker) CacheStoreAddresses() map[uint64]string {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	addresses := make(map[uint64]string, len(pk.stores))
	for hash, st := range pk.stores {
		addresses[hash] = st.store.server.Address()
	}
	return addresses
}

// SetCacheStores sets the cache stores; what is known of those that stay is kept.
func (pk *Picker) SetCacheStores(stores []CacheStore) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	states := make(map[uint64]*storeState, len(stores))
	for _, cs := range stores {
		st, ok := pk.stores[cs.server.Hash()]
		if !ok {
			st = &storeState{saved: newUseTable[prefixKey, time.Time](maxSeenPrefixes, savedTTL),
				saving: newUseTable[prefixKey, time.Time](maxSeenPrefixes, savingTTL)}
		}
		st.store = cs
		states[cs.server.Hash()] = st
	}
	pk.stores = states
}

// cacheStore returns the store that keeps the prefixes of a call, by rendezvous hashing, or nil if there is none or it is down. The
// caller holds mu.
func (pk *Picker) cacheStore(now time.Time, cl Call) *storeState {
	if len(cl.keys) == 0 {
		return nil
	}
	var best *storeState
	var bestScore uint64
	for hash, st := range pk.stores {
		if score := prefix.Mix(prefix.Key(cl.affinityKey()), hash); best == nil || score > bestScore {
			best, bestScore = st, score
		}
	}
	if best != nil && now.Before(best.downUntil) {
		return nil
	}
	return best
}

// savedDepth returns how many of a call's shared parts the store is assumed to have under a weight version.
func (st *storeState) savedDepth(now time.Time, cl Call, version uint64) int {
	for depth, key := range cl.keys {
		if usedAt, ok := st.saved.get(prefixKey{key: key, version: version}); !ok || now.Sub(usedAt) >= savedTTL {
			return depth
		}
	}
	return len(cl.keys)
}

// saveStore returns the store to which the engine of a choice is to save the call's prefix, or nil: the store lacks it, and saves use less
// than their share of the store's link. The caller holds mu.
func (pk *Picker) saveStore(now time.Time, cl Call, ch Choice) *storeState {
	st := pk.cacheStore(now, cl)
	if st == nil || st.store.tokensPerSecond <= 0 || ch.version == 0 || st.savedDepth(now, cl, ch.version) == len(cl.keys) {
		return nil
	}
	key := prefixKey{key: cl.affinityKey(), version: ch.version}
	if startedAt, ok := st.saving.get(key); ok && now.Sub(startedAt) < savingTTL {
		return nil
	}
	if !st.takeSaveCredit(now, cl.tokens, pk.processCount, pk.isReused(now, cl)) {
		return nil
	}
	return st
}

// takeSaveCredit reports whether this process may save a prompt now, and counts the save if so. Half of the credit is kept for prompts
// that are reused.
func (st *storeState) takeSaveCredit(now time.Time, tokens, processCount int, reused bool) bool {
	earned := time.Duration(saveShare / float64(processCount) * float64(now.Sub(st.creditAt)))
	limit := maxSaveCredit / time.Duration(processCount)
	st.saveCredit, st.creditAt = min(st.saveCredit+earned, limit), now
	if st.saveCredit <= 0 || !reused && st.saveCredit < limit/2 {
		return false
	}
	st.saveCredit -= time.Duration(float64(tokens) / st.store.tokensPerSecond * float64(time.Second))
	return true
}

// isReused reports whether a call with the same shared parts was seen lately, under any weights. The caller holds mu.
func (pk *Picker) isReused(now time.Time, cl Call) bool {
	seenAt, ok := pk.seen.get(cl.affinityKey())
	return ok && now.Sub(seenAt) < reuseTTL
}

// isLateHint reports whether a hint of a save that has just come may be about an earlier run of the store.
func (st *storeState) isLateHint(now time.Time) bool {
	return !st.restartedAt.IsZero() && now.Sub(st.restartedAt) < lateHintTime
}

// recordSave records that a store has the prefixes of an attempt, and queues hints for the peers. The caller holds mu.
func (pk *Picker) recordSave(now time.Time, st *storeState, keys []uint64, version uint64) {
	for _, key := range keys {
		pf := prefixKey{key: key, version: version}
		st.saving.remove(pf)
		if _, ok := st.saved.get(pf); !ok && len(pk.hints) < maxPendingHints {
			pk.hints = append(pk.hints, NewHint(st.store.server.Hash(), key, version))
		}
		st.saved.set(now, pf, now)
	}
}
