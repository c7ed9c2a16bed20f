package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotcleat/core/prefix"
)

// countHalfLife is the half-life of a request in the counts of its prefixes.
const countHalfLife = time.Minute

// priorRequests is the number of requests for other prefixes that an entry assumes at its start, so that the first
// prefixes that it sees do not look hot. They decay like all others.
const priorRequests = 30

// decayingCount is a count of requests that decays exponentially.
type decayingCount struct {
	count float64
	at    time.Time
}

// value returns the count decayed to now.
func (dc decayingCount) value(now time.Time) float64 {
	age := now.Sub(dc.at)
	return dc.count * math.Exp2(-float64(age)/float64(countHalfLife))
}

// add returns the count with one more request.
func (dc decayingCount) add(now time.Time) decayingCount {
	return decayingCount{count: dc.value(now) + 1, at: now}
}

// HotPrefix is a prefix with the decayed count of the requests that shared it.
type HotPrefix struct {
	key   prefix.Key
	count float64
}

// NewHotPrefix returns a prefix with its count.
func NewHotPrefix(key prefix.Key, count float64) HotPrefix { return HotPrefix{key: key, count: count} }

func (hp HotPrefix) Key() prefix.Key { return hp.key }

// Count returns the decayed count of requests.
func (hp HotPrefix) Count() float64 { return hp.count }

// HotPrefixes are the most requested prefixes that an entry knows. A restarted entry starts with those of a peer, so
// that it places requests as its peers do.
type HotPrefixes struct {
	total    float64
	prefixes []HotPrefix
}

// NewHotPrefixes returns hot prefixes, in order of decreasing count, with the decayed count of all requests.
func NewHotPrefixes(total float64, prefixes []HotPrefix) HotPrefixes {
	return HotPrefixes{total: total, prefixes: prefixes}
}

// Total returns the decayed count of all requests.
func (hps HotPrefixes) Total() float64 { return hps.total }

// Prefixes returns the prefixes in order of decreasing count.
func (hps HotPrefixes) Prefixes() []HotPrefix { return hps.prefixes }

// HotPrefixes returns the prefixes with the highest counts, at most limit of them.
func (cs *Chooser) HotPrefixes(now time.Time, limit int) HotPrefixes {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	prefixes := make([]HotPrefix, 0, cs.hints.byKey.Len())
	for _, key := range cs.hints.byKey.Keys() {
		ht, ok := cs.hints.byKey.Peek(key)
		if ok {
			prefixes = append(prefixes, HotPrefix{key: key, count: ht.requests.value(now)})
		}
	}
	slices.SortFunc(prefixes, func(left, right HotPrefix) int { return cmp.Compare(right.count, left.count) })
	return HotPrefixes{total: cs.hints.total.value(now), prefixes: prefixes[:min(limit, len(prefixes))]}
}

// Warm sets the request counts from those of a peer. An entry that has already seen more requests than the peer keeps
// its own.
func (cs *Chooser) Warm(now time.Time, peer HotPrefixes) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if peer.total <= cs.hints.total.value(now) {
		return
	}
	cs.hints.total = decayingCount{count: peer.total, at: now}
	for _, hp := range peer.prefixes {
		cs.hints.getOrAdd(hp.key).requests = decayingCount{count: hp.count, at: now}
	}
}
