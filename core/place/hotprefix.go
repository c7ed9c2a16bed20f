package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"shallotcleat/core/prefix"
)

// heatHalfLife is the time after which a request counts half in the heat of its prefixes.
const countHalfLife = time.Minute

// priorRequests is how many requests for other prefixes an entry takes for granted at its start, so that the first ones
// that it sees do not look hot. They decay like all others.
const priorRequests = 30

// heat is a decaying count of requests.
type decayingCount struct {
	count float64
	at    time.Time
}

// now returns the decayed count.
func (ht decayingCount) value(now time.Time) float64 {
	age := now.Sub(ht.at)
	return ht.count * math.Exp2(-float64(age)/float64(countHalfLife))
}

// add returns the count with one request more.
func (ht decayingCount) add(now time.Time) decayingCount {
	return decayingCount{count: ht.value(now) + 1, at: now}
}

// HotPrefix is a prefix with the decayed count of the requests that shared it.
type HotPrefix struct {
	key   prefix.Key
	count float64
}

// NewHotPrefix returns a prefix with its count.
func NewHotPrefix(key prefix.Key, count float64) HotPrefix { return HotPrefix{key: key, count: count} }

// Key returns the prefix's key.
func (hp HotPrefix) Key() prefix.Key { return hp.key }

// Count returns the decayed count of requests.
func (hp HotPrefix) Count() float64 { return hp.count }

// Heat is what one entry knows of hot prefixes; a restarted entry begins with a peer's, and so places as its peers do.
type HotPrefixes struct {
	total    float64
	prefixes []HotPrefix
}

// NewHeat returns the hot prefixes among a decayed count of all requests.
func NewHotPrefixes(total float64, prefixes []HotPrefix) HotPrefixes {
	return HotPrefixes{total: total, prefixes: prefixes}
}

// Total returns the decayed count of all requests.
func (ht HotPrefixes) Total() float64 { return ht.total }

// Prefixes returns the hottest prefixes, the hottest first.
func (ht HotPrefixes) Prefixes() []HotPrefix { return ht.prefixes }

// Heat returns the hottest prefixes, at most limit of them.
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

// Warm begins with a peer's heat; an entry that has already seen more requests than the peer keeps its own.
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
