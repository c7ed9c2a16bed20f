package place

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotcleat/core/prefix"
)

// maxHoldersPerPrefix bounds how many servers are tracked for one prefix.
const maxHoldersPerPrefix = 8

// holder is a server that had cached a prefix when it replied at seenAt.
type holder struct {
	address string
	// incarnation is that of the backend server; each incarnation starts with an empty cache.
	incarnation uint64
	seenAt      time.Time
}

// hint is what is known of one prefix.
type hint struct {
	holders  []holder
	requests decayingCount
}

// hints tracks which servers have cached which prefixes, and how often the prefixes are requested. The owner serializes
// the calls.
type hints struct {
	byKey *lru.LRU[prefix.Key, *hint]
	// total counts the requests for all prefixes.
	total decayingCount
}

func newHints(size int) *hints {
	byKey, err := lru.NewLRU[prefix.Key, *hint](size, nil)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &hints{byKey: byKey}
}

// getOrAdd returns the hint of a prefix, and adds an empty one if there is none.
func (hn *hints) getOrAdd(key prefix.Key) *hint {
	ht, ok := hn.byKey.Get(key)
	if !ok {
		ht = &hint{}
		hn.byKey.Add(key, ht)
	}
	return ht
}

// countRequest counts a request and appends, for each of its prefixes, the fraction of all requests that share it.
func (hn *hints) countRequest(now time.Time, keys []prefix.Key, shares []float64) []float64 {
	if hn.total.at.IsZero() {
		hn.total = decayingCount{count: priorRequests, at: now}
	}
	hn.total = hn.total.add(now)
	for _, key := range keys {
		ht := hn.getOrAdd(key)
		ht.requests = ht.requests.add(now)
		shares = append(shares, ht.requests.count/hn.total.count)
	}
	return shares
}

// addHolder records that a server has cached the given prefixes.
func (hn *hints) addHolder(now time.Time, keys []prefix.Key, address string, incarnation uint64) {
	for _, key := range keys {
		ht := hn.getOrAdd(key)
		ht.holders = withHolder(ht.holders, holder{address: address, incarnation: incarnation, seenAt: now})
	}
}

// withHolder returns the holders with one added or renewed. At the limit it replaces the one that was seen longest ago.
func withHolder(holders []holder, added holder) []holder {
	oldest := 0
	for i := range holders {
		if holders[i].address == added.address {
			holders[i] = added
			return holders
		}
		if holders[i].seenAt.Before(holders[oldest].seenAt) {
			oldest = i
		}
	}
	if len(holders) < maxHoldersPerPrefix {
		return append(holders, added)
	}
	holders[oldest] = added
	return holders
}
