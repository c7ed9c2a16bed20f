package place

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"shallotcleat/core/prefix"
)

// holdersPerKey bounds how many servers are remembered for one prefix.
const maxHoldersPerPrefix = 8

// holder is a server that held a prefix when it last replied.
type holder struct {
	address string
	// engine is the incarnation of the backend server; another one has an empty cache.
	engine uint64
	seen   time.Time
}

// hint is what is remembered of one prefix.
type hint struct {
	holders  []holder
	requests decayingCount
}

// hints remembers which servers hold which prefixes, and how hot the prefixes are; its owner serialises the calls.
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

// at returns the hint of a prefix, which is new if there was none.
func (hn *hints) getOrAdd(key prefix.Key) *hint {
	ht, ok := hn.byKey.Get(key)
	if !ok {
		ht = &hint{}
		hn.byKey.Add(key, ht)
	}
	return ht
}

// count notes one request and appends for each of its prefixes the part of all requests that share it.
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

// learn notes that a server holds the first pieces of a prompt.
func (hn *hints) addHolder(now time.Time, keys []prefix.Key, address string, engine uint64) {
	for _, key := range keys {
		ht := hn.getOrAdd(key)
		ht.holders = withHolder(ht.holders, holder{address: address, engine: engine, seen: now})
	}
}

// withHolder returns the holders with one added or renewed in place of the one seen longest ago.
func withHolder(holders []holder, added holder) []holder {
	oldest := 0
	for i := range holders {
		if holders[i].address == added.address {
			holders[i] = added
			return holders
		}
		if holders[i].seen.Before(holders[oldest].seen) {
			oldest = i
		}
	}
	if len(holders) < maxHoldersPerPrefix {
		return append(holders, added)
	}
	holders[oldest] = added
	return holders
}
