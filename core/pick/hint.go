package pick

import "time"

// Limits of cache hints.
const (
	// cachedTTL is how long a prompt is assumed to stay in an engine's cache after its last use.
	cachedTTL = 7 * time.Second
	// freshTTL is how long after its last use a prompt is so likely to be cached that no copy is requested; engines may
	// evict within seconds.
	freshTTL = 300 * time.Millisecond
	// sourceTTL is how long after a prompt was prefilled its engine may be asked for a copy; a miss costs 1 ms.
	sourceTTL = 30 * time.Second
	// hintInterval is the least time between two hints about the same prefix and server.
	hintInterval = 3 * time.Second
	// maxRecentPrefixes bounds the prefixes that are tracked for one server.
	maxRecentPrefixes = 8192
	// maxPendingHints bounds the hints that wait to be sent to peers.
	maxPendingHints = 1024
)

// Hint reports that an engine has prefilled a prefix of a prompt.
type Hint struct {
	server  uint64
	key     uint64
	version uint64
}

// NewHint returns a hint: the hash of the server's id, the key of the prefix and the weight version.
func NewHint(server, key, version uint64) Hint {
	return Hint{server: server, key: key, version: version}
}

// Server returns the hash of the server's id.
func (hn Hint) Server() uint64 { return hn.server }

// Key returns the key of the prefix.
func (hn Hint) Key() uint64 { return hn.key }

// Version returns the weight version under which the prefix was prefilled.
func (hn Hint) Version() uint64 { return hn.version }

// prefixUse holds when a part was last sent to a server, and when the server last completed its prefill.
type prefixUse struct {
	sentAt      time.Time
	prefilledAt time.Time
	// reported is set if the server's tender has reported that the part is cached, and not that it was evicted since.
	reported bool
}

// isCached reports whether the part is assumed to be cached.
func (us prefixUse) isCached(now time.Time) bool {
	return now.Sub(us.sentAt) < cachedTTL || us.reported && now.Sub(us.prefilledAt) < sourceTTL
}

// cachedDepth returns how many of a call's shared parts the server is assumed to have cached under a weight version,
// or to be prefilling.
func (st *state) cachedDepth(now time.Time, cl Call, version uint64) int {
	return st.depth(cl, version, func(us prefixUse) bool { return us.isCached(now) })
}

// depthSentWithin returns how many of a call's shared parts were sent to the server within the last ttl.
func (st *state) depthSentWithin(now time.Time, cl Call, version uint64, ttl time.Duration) int {
	return st.depth(cl, version, func(us prefixUse) bool { return now.Sub(us.sentAt) < ttl })
}

// depth returns the number of a call's first shared parts whose uses qualify: an engine uses a cached part only after all parts before it.
func (st *state) depth(cl Call, version uint64, qualifies func(prefixUse) bool) int {
	for depth, key := range cl.keys {
		if us, ok := st.prefixes.get(prefixKey{key: key, version: version}); !ok || !qualifies(us) {
			return depth
		}
	}
	return len(cl.keys)
}

// prefilledDepth returns how many of a call's shared parts can be copied from the server, and when it prefilled the last of them.
func (st *state) prefilledDepth(now time.Time, cl Call, version uint64) (int, time.Time) {
	var prefilledAt time.Time
	depth := st.depth(cl, version, func(us prefixUse) bool {
		isSource := now.Sub(us.prefilledAt) < sourceTTL
		if isSource {
			prefilledAt = us.prefilledAt
		}
		return isSource
	})
	return depth, prefilledAt
}

// recordPrefill records that a server has prefilled a prefix, and queues a hint for the peers unless the last prefill
// was recorded within hintInterval or too many hints are queued. The caller holds mu.
func (pk *Picker) recordPrefill(now time.Time, id string, key prefixKey) {
	sv := pk.view.Server(id)
	if sv == nil {
		return
	}
	st := pk.state(id)
	last, _ := st.prefixes.get(key)
	if now.Sub(last.prefilledAt) > hintInterval && len(pk.hints) < maxPendingHints {
		pk.hints = append(pk.hints, NewHint(sv.Hash(), key.key, key.version))
	}
	st.prefixes.set(now, key, prefixUse{sentAt: now, prefilledAt: now, reported: last.reported})
}

// TakeHints returns the hints that were queued for the peers since the last call.
func (pk *Picker) TakeHints() []Hint {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	hints := pk.hints
	pk.hints = nil
	return hints
}

// ApplyHints records the hints of a peer; those about unknown servers are ignored, and those that may be about an earlier run of a cache store.
func (pk *Picker) ApplyHints(now time.Time, hints []Hint) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, hn := range hints {
		pk.seen.set(now, hn.key, now)
		if st, ok := pk.stores[hn.server]; ok {
			if st.isLateHint(now) {
				continue
			}
			st.saved.set(now, prefixKey{key: hn.key, version: hn.version}, now)
		} else if sv := pk.view.ByHash(hn.server); sv != nil {
			pk.state(sv.ID()).prefixes.set(now, prefixKey{key: hn.key, version: hn.version}, prefixUse{sentAt: now, prefilledAt: now})
		}
	}
}
