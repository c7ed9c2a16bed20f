package pick

import "time"

// Limits of hints.
const (
	// heldLife is how long a prompt is taken to be in an engine's cache after its last use.
	cachedTTL = 7 * time.Second
	// freshLife is how long it is certain enough that a prompt needs no copy; engines evict within seconds.
	freshTTL = 2 * time.Second
	// sourceLife is how long an engine is asked for a copy of a prompt; a miss costs a millisecond.
	sourceTTL = 10 * time.Second
	// hintPeriod is how soon others are told again that a prompt was sent to a server.
	hintInterval = 3 * time.Second
	// recentLimit bounds the prompts that are remembered for one server.
	maxRecentPrefixes = 8192
	// hintLimit bounds the hints that wait to be told.
	maxPendingHints = 1024
)

// Hint says that an engine has read the beginning of a prompt.
type Hint struct {
	server  uint64
	key     uint64
	version uint64
}

// NewHint returns a hint: the hash of the server's id, the key of the prompt's beginning and the version of the weights.
func NewHint(server, key, version uint64) Hint {
	return Hint{server: server, key: key, version: version}
}

// Server returns the hash of the server's id.
func (hn Hint) Server() uint64 { return hn.server }

// Key returns the key of the prompt's beginning.
func (hn Hint) Key() uint64 { return hn.key }

// Version returns the version of the weights.
func (hn Hint) Version() uint64 { return hn.version }

// use is when a prompt's beginning was last sent to a server, and when the server had last read it.
type prefixUse struct {
	sentAt time.Time
	readAt time.Time
}

// depth returns how many of a call's shared parts the server is believed to hold under a version of the weights, or to read now.
func (st *state) cachedDepth(now time.Time, cl Call, version uint64) int {
	return st.depthSentWithin(now, cl, version, cachedTTL)
}

// depthWithin returns how many of a call's shared parts were sent to the server within a time.
func (st *state) depthSentWithin(now time.Time, cl Call, version uint64, ttl time.Duration) int {
	for depth := len(cl.keys); depth > 0; depth-- {
		if us, ok := st.prefixes[prefixKey{key: cl.keys[depth-1], version: version}]; ok && now.Sub(us.sentAt) < ttl {
			return depth
		}
	}
	return 0
}

// readDepth returns how many of a call's shared parts may be copied from the server, and when it had read them.
func (st *state) readDepth(now time.Time, cl Call, version uint64) (int, time.Time) {
	for depth := len(cl.keys); depth > 0; depth-- {
		if us, ok := st.prefixes[prefixKey{key: cl.keys[depth-1], version: version}]; ok && now.Sub(us.readAt) < sourceTTL {
			return depth, us.readAt
		}
	}
	return 0, time.Time{}
}

// learn notes that a server has read a prompt's beginning, and keeps a hint for others unless they were told lately; the caller
// holds mu.
func (pk *Picker) recordRead(now time.Time, id string, key prefixKey) {
	sv := pk.view.Server(id)
	if sv == nil {
		return
	}
	st := pk.state(id)
	if now.Sub(st.prefixes[key].readAt) > hintInterval && len(pk.hints) < maxPendingHints {
		pk.hints = append(pk.hints, NewHint(sv.Hash(), key.key, key.version))
	}
	st.recordUse(key, prefixUse{sentAt: now, readAt: now})
}

// remember notes a use; when there are too many, those that are likely evicted are forgotten.
func (st *state) recordUse(key prefixKey, us prefixUse) {
	if _, ok := st.prefixes[key]; !ok && len(st.prefixes) >= maxRecentPrefixes {
		for old, last := range st.prefixes {
			if us.sentAt.Sub(last.sentAt) >= sourceTTL || len(st.prefixes) >= maxRecentPrefixes {
				delete(st.prefixes, old)
			}
		}
	}
	st.prefixes[key] = us
}

// TakeHints returns what other processes should be told since the last call.
func (pk *Picker) TakeHints() []Hint {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	hints := pk.hints
	pk.hints = nil
	return hints
}

// Hear takes hints of another process.
func (pk *Picker) ApplyHints(now time.Time, hints []Hint) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, hn := range hints {
		if sv := pk.view.ByHash(hn.server); sv != nil {
			pk.state(sv.ID()).recordUse(prefixKey{key: hn.key, version: hn.version}, prefixUse{sentAt: now, readAt: now})
		}
	}
}
