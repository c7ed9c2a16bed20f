package pick

import (
	"fmt"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Bounds on the work of one call, whatever a table holds.
const (
	// forgottenPerSet is how many outdated entries set removes at most; it is more than set adds.
	forgottenPerSet = 2
	// forgottenPerSweep is how many outdated entries ForgetUnused removes at most in all tables.
	forgottenPerSweep = 2048
)

// useTable holds values by keys, in the order in which they were last set. It holds a bounded number of them and forgets those that were set
// longer ago than its ttl, a few with each new one. The time that a call takes does not depend on how many it holds. The picker's lock
// guards it.
type useTable[K comparable, V any] struct {
	entries *lru.LRU[K, usedValue[V]]
	ttl     time.Duration
}

// usedValue is a value with the time at which it was set.
type usedValue[V any] struct {
	value V
	setAt time.Time
}

// newUseTable returns a table of at most size entries, which says nothing any more about keys that were set longer ago than ttl.
func newUseTable[K comparable, V any](size int, ttl time.Duration) useTable[K, V] {
	entries, err := lru.NewLRU[K, usedValue[V]](size, nil)
	if err != nil {
		panic(fmt.Sprintf("table of %d entries: %v", size, err))
	}
	return useTable[K, V]{entries: entries, ttl: ttl}
}

// get returns the value of a key, which may be outdated.
func (ut useTable[K, V]) get(key K) (V, bool) {
	uv, ok := ut.entries.Peek(key)
	return uv.value, ok
}

// set sets the value of a key. A table that is full forgets the key that was set the longest ago.
func (ut useTable[K, V]) set(now time.Time, key K, value V) {
	ut.forget(now, forgottenPerSet)
	ut.entries.Add(key, usedValue[V]{value: value, setAt: now})
}

// forget removes outdated entries, at most limit of them, and returns how many it removed.
func (ut useTable[K, V]) forget(now time.Time, limit int) int {
	for count := range limit {
		_, uv, ok := ut.entries.GetOldest()
		if !ok || now.Sub(uv.setAt) < ut.ttl {
			return count
		}
		ut.entries.RemoveOldest()
	}
	return limit
}

func (ut useTable[K, V]) remove(key K) { ut.entries.Remove(key) }

func (ut useTable[K, V]) clear() { ut.entries.Purge() }

func (ut useTable[K, V]) size() int { return ut.entries.Len() }

// ForgetUnused removes what is known of parts that nobody has used for long, such as those of a scope that is no longer in use. It removes a
// bounded number; later calls remove the rest.
func (pk *Picker) ForgetUnused(now time.Time) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	left := forgottenPerSweep - pk.seen.forget(now, forgottenPerSweep)
	for _, st := range pk.stores {
		left -= st.saved.forget(now, left)
		left -= st.saving.forget(now, left)
	}
	// The order of the states differs between calls.
	for _, st := range pk.states {
		if left -= st.prefixes.forget(now, left); left == 0 {
			return
		}
	}
}
