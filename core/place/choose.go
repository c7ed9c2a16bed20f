package place

import (
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcleat/core/member"
	"shallotcleat/core/prefix"
)

// Costs and limits of placement.
const (
	// maxHints bounds the prefixes that a chooser tracks; each takes about 200 bytes.
	maxHints = 50_000
	// crossZoneDelay is the round-trip time to another availability zone.
	crossZoneDelay = 3 * time.Millisecond
	// defaultPrefillRate is the prefill rate, in tokens per second, assumed of a server that has reported none.
	defaultPrefillRate = 10_000
	// homeSlackFactor is the ratio of the number of a prefix's home servers to its share of all servers.
	homeSlackFactor = 2
	// nonHomeCost and nonHomeCostPerPrice give the extra cost per second of prefill on a server that is a home for none
	// of the prompt's prefixes: the copy evicts prefixes that the server is a home for. The cost rises with the preset's
	// recompute price and falls with the home depth.
	nonHomeCost         = 5
	nonHomeCostPerPrice = 10
	// maxDistinctHolders bounds the servers that findCachedDepths looks up only once for a prompt.
	maxDistinctHolders = 16
)

// Request holds the properties of a request that placement depends on.
type Request struct {
	service        string
	keys           []prefix.Key
	tokens         int
	pieceTokens    int
	recomputePrice float64
	weightVersion  string
}

// NewRequest returns a request for a prompt of the given length in tokens; keys are those of its whole pieces of
// pieceTokens each. recomputePrice is the extra cost per second of prefill. Servers that are known to serve a version
// other than weightVersion are skipped, unless it is empty.
func NewRequest(service string, keys []prefix.Key, tokens, pieceTokens int, recomputePrice float64, weightVersion string) Request {
	return Request{service: service, keys: keys, tokens: tokens, pieceTokens: pieceTokens,
		recomputePrice: recomputePrice, weightVersion: weightVersion}
}

// Choice is a server with the expected cost of a request there.
type Choice struct {
	server       *member.Server
	cachedTokens int
	cost         time.Duration
}

func (ch Choice) Server() *member.Server { return ch.server }

// CachedTokens returns how many prompt tokens the server has cached according to the hints; prefixes that it is only a
// home for do not count.
func (ch Choice) CachedTokens() int { return ch.cachedTokens }

// PrefillTime returns the expected time that the server takes to compute the rest of the prompt.
func (ch Choice) PrefillTime(rq Request) time.Duration {
	return prefillTime(rq.tokens-ch.cachedTokens, ch.server.PrefillRate())
}

// Chooser ranks servers; its methods may be called from any goroutine.
type Chooser struct {
	zone string
	// scratch holds *scratch values, so that a placement allocates little.
	scratch sync.Pool
	// mu guards the hints.
	mu    sync.Mutex
	hints *hints
}

// NewChooser returns a chooser for an entry in an availability zone.
func NewChooser(zone string) *Chooser {
	cs := &Chooser{zone: zone, hints: newHints(maxHints)}
	cs.scratch.New = func() any { return &scratch{} }
	return cs
}

// RecordCached records that a server has computed the request's prompt and has cached its pieces.
func (cs *Chooser) RecordCached(now time.Time, rq Request, address string, incarnation uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.hints.addHolder(now, rq.keys, address, incarnation)
}

// scratch is the memory of one placement.
type scratch struct {
	// servers are the usable ones; cachedDepths and homeDepths are indexed like servers.
	servers      []*member.Server
	cachedDepths []int
	homeDepths   []int
	// subset holds the possible homes of a prefix.
	subset []scored
	// shares holds, for each prefix of the prompt, the fraction of all requests that share it.
	shares []float64
}

// reset sets the servers that may get the request and clears the results of the previous placement.
func (sc *scratch) reset(now time.Time, servers []*member.Server, rq Request) {
	sc.servers = sc.servers[:0]
	for _, sv := range servers {
		if sv.Usable(now) && !servesOtherVersion(sv, rq) {
			sc.servers = append(sc.servers, sv)
		}
	}
	sc.cachedDepths = append(sc.cachedDepths[:0], make([]int, len(sc.servers))...)
	sc.homeDepths = append(sc.homeDepths[:0], make([]int, len(sc.servers))...)
	sc.subset = sc.subset[:0]
	for i := range sc.servers {
		sc.subset = append(sc.subset, scored{index: i})
	}
}

// Rank returns the usable servers in order of increasing cost, at most limit of them.
func (cs *Chooser) Rank(now time.Time, vw *member.View, rq Request, limit int) []Choice {
	sc := cs.scratch.Get().(*scratch)
	defer cs.scratch.Put(sc)
	sc.reset(now, vw.Servers(rq.service), rq)
	cs.mu.Lock()
	sc.shares = cs.hints.countRequest(now, rq.keys, sc.shares[:0])
	cs.findCachedDepths(sc, rq)
	cs.mu.Unlock()
	findHomeDepths(sc, rq.keys)
	ranked := make([]Choice, 0, limit)
	for i, sv := range sc.servers {
		cost := cs.cost(now, sv, rq, sc.cachedDepths[i], sc.homeDepths[i])
		if len(ranked) == limit && cost >= ranked[limit-1].cost {
			continue
		}
		cachedTokens := min(sc.cachedDepths[i]*rq.pieceTokens, rq.tokens)
		ranked = insertCheapest(ranked, Choice{server: sv, cachedTokens: cachedTokens, cost: cost})
	}
	return ranked
}

func servesOtherVersion(sv *member.Server, rq Request) bool {
	return sv.HasStatus() && rq.weightVersion != "" && sv.Status().WeightVersion() != rq.weightVersion
}

// findCachedDepths finds for each server how many leading pieces it is assumed to have cached. A server found at a
// deeper prefix need not be looked up again. The caller holds mu.
func (cs *Chooser) findCachedDepths(sc *scratch, rq Request) {
	var seen [maxDistinctHolders]string
	count := 0
	for at := len(rq.keys) - 1; at >= 0; at-- {
		ht, ok := cs.hints.byKey.Peek(rq.keys[at])
		if !ok {
			continue
		}
		for _, hd := range ht.holders {
			if slices.Contains(seen[:count], hd.address) {
				continue
			}
			i, ok := indexByAddress(sc.servers, hd.address)
			if !ok || sc.servers[i].Status().EngineIncarnation() != hd.incarnation {
				continue
			}
			sc.cachedDepths[i] = max(sc.cachedDepths[i], at+1)
			if count < maxDistinctHolders {
				seen[count] = hd.address
				count++
			}
		}
	}
}

func indexByAddress(servers []*member.Server, address string) (int, bool) {
	return slices.BinarySearchFunc(servers, address, func(sv *member.Server, address string) int {
		return strings.Compare(sv.Address(), address)
	})
}

// cost returns the cost of a server: the expected time to the first token, and the price of the prefill.
//
// The server is assumed to have cached the first cachedDepth pieces of the prompt, and is a home for its first
// homeDepth prefixes. It is expected to have cached those too, since other entries send them there; this also gives good
// placements for prefixes about which a restarted entry has no hints.
func (cs *Chooser) cost(now time.Time, sv *member.Server, rq Request, cachedDepth, homeDepth int) time.Duration {
	cachedTokens := min(max(cachedDepth, homeDepth)*rq.pieceTokens, rq.tokens)
	prefill := prefillTime(rq.tokens-cachedTokens, sv.PrefillRate())
	expected := sv.ExpectedWait(now) + prefill
	if sv.Zone() != cs.zone {
		expected += crossZoneDelay
	}
	price := rq.recomputePrice
	if pieces := len(rq.keys); homeDepth < pieces {
		price += (nonHomeCost + nonHomeCostPerPrice*rq.recomputePrice) * float64(pieces-homeDepth) / float64(pieces)
	}
	return expected + time.Duration(float64(prefill)*price)
}

func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// insertCheapest inserts a choice into a slice sorted by cost; if the slice is at its capacity, the last choice is
// dropped.
func insertCheapest(ranked []Choice, ch Choice) []Choice {
	if len(ranked) < cap(ranked) {
		ranked = append(ranked, ch)
	} else {
		ranked[len(ranked)-1] = ch
	}
	for i := len(ranked) - 1; i > 0 && ranked[i].cost < ranked[i-1].cost; i-- {
		ranked[i], ranked[i-1] = ranked[i-1], ranked[i]
	}
	return ranked
}
