package place

import (
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcleat/core/member"
	"shallotcleat/core/prefix"
)

// Costs and sizes of placement.
const (
	// hintCount bounds the prefixes that a chooser remembers; each takes about 200 bytes.
	maxHints = 50_000
	// otherZoneDelay is the price of a hop to another availability zone and back.
	crossZoneDelay = 3 * time.Millisecond
	// unknownRate is the prefill rate, in tokens per second, of a server that has told none.
	defaultPrefillRate = 10_000
	// homeSlack is how many times its share of the servers a prefix has at home.
	homeSlackFactor = 2
	// strayBase and strayPerPrice make the extra cost of a second of computing on a server that is not at home for any
	// of the prefix: the copy takes the place of what that server is at home for. The preset's price raises it, and it
	// shrinks with the depth that the server is at home for.
	nonHomeCost         = 5
	nonHomeCostPerPrice = 10
	// maxSeen is how many holders of a prompt's prefixes are looked up once only.
	maxDistinctHolders = 16
)

// Request is what placement needs to know of a request.
type Request struct {
	service        string
	keys           []prefix.Key
	tokens         int
	pieceTokens    int
	recomputePrice float64
	weights        string
}

// NewRequest returns a request with a prompt of some tokens, whose whole pieces have the keys. The price is the extra
// cost of a recomputed second. Servers that are known to serve other weights than the given are passed over.
func NewRequest(service string, keys []prefix.Key, tokens, pieceTokens int, recomputePrice float64, weights string) Request {
	return Request{service: service, keys: keys, tokens: tokens, pieceTokens: pieceTokens, recomputePrice: recomputePrice, weights: weights}
}

// Choice is a server with what is expected of it.
type Choice struct {
	server       *member.Server
	cachedTokens int
	cost         time.Duration
}

// Server returns the server to send the request to.
func (ch Choice) Server() *member.Server { return ch.server }

// Cached returns how many prompt tokens the server is expected to hold.
func (ch Choice) CachedTokens() int { return ch.cachedTokens }

// Work returns the expected time that the prompt keeps the server busy.
func (ch Choice) PrefillTime(rq Request) time.Duration {
	return prefillTime(rq.tokens-ch.cachedTokens, ch.server.PrefillRate())
}

// Chooser ranks servers; its methods may be called from any goroutine.
type Chooser struct {
	zone string
	// scratch holds *scratch values, so that a placement allocates next to nothing.
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

// Learn notes that a server has computed the request's prompt and so holds its pieces.
func (cs *Chooser) RecordCached(now time.Time, rq Request, address string, engine uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.hints.addHolder(now, rq.keys, address, engine)
}

// scratch is the memory of one placement.
type scratch struct {
	// servers are the usable ones; depths and levels belong to the server at the same place.
	servers []*member.Server
	depths  []int
	levels  []int
	subset  []scored
	shares  []float64
}

// reset keeps the servers that may get the request, and forgets all that was computed of others.
func (sc *scratch) reset(now time.Time, servers []*member.Server, rq Request) {
	sc.servers = sc.servers[:0]
	for _, sv := range servers {
		if sv.Usable(now) && !servesOtherWeights(sv, rq) {
			sc.servers = append(sc.servers, sv)
		}
	}
	sc.depths = append(sc.depths[:0], make([]int, len(sc.servers))...)
	sc.levels = append(sc.levels[:0], make([]int, len(sc.servers))...)
	sc.subset = sc.subset[:0]
	for i := range sc.servers {
		sc.subset = append(sc.subset, scored{index: i})
	}
}

// Rank returns the usable servers, the cheapest first, at most limit of them.
func (cs *Chooser) Rank(now time.Time, vw *member.View, rq Request, limit int) []Choice {
	sc := cs.scratch.Get().(*scratch)
	defer cs.scratch.Put(sc)
	sc.reset(now, vw.Servers(rq.service), rq)
	cs.mu.Lock()
	sc.shares = cs.hints.countRequest(now, rq.keys, sc.shares[:0])
	cs.findDepths(sc, rq)
	cs.mu.Unlock()
	findLevels(sc, rq.keys)
	ranked := make([]Choice, 0, limit)
	for i, sv := range sc.servers {
		cost := cs.cost(now, sv, rq, sc.depths[i], sc.levels[i])
		if len(ranked) == limit && cost >= ranked[limit-1].cost {
			continue
		}
		cached := min(sc.depths[i]*rq.pieceTokens, rq.tokens)
		ranked = insertCheapest(ranked, Choice{server: sv, cachedTokens: cached, cost: cost})
	}
	return ranked
}

func servesOtherWeights(sv *member.Server, rq Request) bool {
	return sv.HasStatus() && rq.weights != "" && sv.Status().Weights() != rq.weights
}

// findDepths finds for each server how many leading pieces it is believed to hold; the caller holds mu. A server that
// was found at a deeper prefix need not be looked up again.
func (cs *Chooser) findDepths(sc *scratch, rq Request) {
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
			if !ok || sc.servers[i].Status().EngineIncarnation() != hd.engine {
				continue
			}
			sc.depths[i] = max(sc.depths[i], at+1)
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

// price returns the cost of a server: the expected time to the first token, and the price of what is recomputed.
//
// The server is believed to hold the first pieces of the prompt, as many as depth, and is at home for the first prefixes,
// as many as level. It is expected to hold those too, since other entries send them there; this also places well what a
// restarted entry knows nothing of.
func (cs *Chooser) cost(now time.Time, sv *member.Server, rq Request, depth, level int) time.Duration {
	likely := min(max(depth, level)*rq.pieceTokens, rq.tokens)
	compute := prefillTime(rq.tokens-likely, sv.PrefillRate())
	expected := sv.ExpectedWait(now) + compute
	if sv.Zone() != cs.zone {
		expected += crossZoneDelay
	}
	price := rq.recomputePrice
	if pieces := len(rq.keys); level < pieces {
		price += (nonHomeCost + nonHomeCostPerPrice*rq.recomputePrice) * float64(pieces-level) / float64(pieces)
	}
	return expected + time.Duration(float64(compute)*price)
}

func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// insertCheapest puts a choice into its place among the cheapest ones; if they are complete it drives the last one out.
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
