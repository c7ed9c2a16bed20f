package pick

import (
	"time"

	"shallotcleat/core/fleet"
)

// Limits of hints.
const (
	// cacheLife is how long a prompt is expected to stay in an engine's cache after its last use.
	cacheLife = 8 * time.Second
	// hintPeriod is how soon others are told again that a prompt was sent to a server.
	hintPeriod = 3 * time.Second
	// recentLimit bounds the prompts that are remembered for one server.
	recentLimit = 8192
	// hintLimit bounds the hints that wait to be told.
	hintLimit = 1024
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

// depth returns how many of a call's shared parts the server is believed to hold under a version of the weights.
func (st *state) depth(now time.Time, cl Call, version uint64) int {
	for depth := len(cl.keys); depth > 0; depth-- {
		at, ok := st.recent[recentKey{key: cl.keys[depth-1], version: version}]
		if ok && now.Sub(at) < cacheLife {
			return depth
		}
	}
	return 0
}

// learn notes that a server reads a prompt's beginning, and keeps a hint for others unless they were told lately; the caller
// holds mu.
func (pk *Picker) learn(now time.Time, sv *fleet.Server, key recentKey) {
	st := pk.state(sv.ID())
	if at, ok := st.recent[key]; (!ok || now.Sub(at) > hintPeriod) && len(pk.hints) < hintLimit {
		pk.hints = append(pk.hints, NewHint(sv.Hash(), key.key, key.version))
	}
	st.remember(now, key)
}

// remember notes a prompt's beginning; when there are too many, those that are likely evicted are forgotten.
func (st *state) remember(now time.Time, key recentKey) {
	if len(st.recent) >= recentLimit {
		for old, at := range st.recent {
			if now.Sub(at) >= cacheLife || len(st.recent) >= recentLimit {
				delete(st.recent, old)
			}
		}
	}
	st.recent[key] = now
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
func (pk *Picker) Hear(now time.Time, hints []Hint) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for _, hn := range hints {
		if sv := pk.view.ByHash(hn.server); sv != nil {
			pk.state(sv.ID()).remember(now, recentKey{key: hn.key, version: hn.version})
		}
	}
}
