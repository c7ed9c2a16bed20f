package place

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"shallotcleat/core/member"
	"shallotcleat/core/piece"
)

// Costs and sizes of placement.
const (
	// hintCount bounds the prefixes that a chooser remembers; each takes about 200 bytes.
	hintCount = 50_000
	// otherZoneDelay is the price of a hop to another availability zone and back.
	otherZoneDelay = 3 * time.Millisecond
	// unknownRate is the prefill rate, in tokens per second, of a server that has told none.
	unknownRate = 10_000
	// homeSlack is how many times its share of the servers a prefix has at home.
	homeSlack = 2
	// strayBase and strayPerPrice make the extra cost of a second of computing on a server that is not at home for any
	// of the prefix: the copy takes the place of what that server is at home for. The preset's price raises it, and it
	// shrinks with the depth that the server is at home for.
	strayBase     = 5
	strayPerPrice = 10
)

// Request is what placement needs to know of a request.
type Request struct {
	service     string
	keys        []piece.Key
	tokens      int
	pieceTokens int
	price       float64
	weights     string
}

// NewRequest returns a request with a prompt of some tokens, whose whole pieces have the keys. The price is the extra
// cost of a recomputed second. Servers that are known to serve other weights than the given are passed over.
func NewRequest(service string, keys []piece.Key, tokens, pieceTokens int, price float64, weights string) Request {
	return Request{service: service, keys: keys, tokens: tokens, pieceTokens: pieceTokens, price: price, weights: weights}
}

// Choice is a server with what is expected of it.
type Choice struct {
	server   *member.Server
	cached   int
	expected time.Duration
	cost     time.Duration
}

// Server returns the server to send the request to.
func (ch Choice) Server() *member.Server { return ch.server }

// Cached returns how many prompt tokens the server is expected to hold.
func (ch Choice) Cached() int { return ch.cached }

// Expected returns the expected time to the first token.
func (ch Choice) Expected() time.Duration { return ch.expected }

// Work returns the expected time that the prompt keeps the server busy.
func (ch Choice) Work(rq Request) time.Duration {
	return prefillTime(rq.tokens-ch.cached, ch.server.PrefillRate())
}

// Chooser ranks servers; its methods may be called from any goroutine.
type Chooser struct {
	zone string
	// mu guards the hints.
	mu    sync.Mutex
	hints *hints
}

// NewChooser returns a chooser for an entry in an availability zone.
func NewChooser(zone string) *Chooser {
	return &Chooser{zone: zone, hints: newHints(hintCount)}
}

// Learn notes the true number of cached tokens that a reply told: the server now holds the whole prompt, and what it
// did not hold before was evicted from it.
func (cs *Chooser) Learn(now time.Time, rq Request, address string, engine uint64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.hints.learn(now, rq.keys, address, engine)
}

// Forget drops the belief that a server holds the request's prefixes.
func (cs *Chooser) Forget(rq Request, address string) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.hints.forget(rq.keys, address)
}

// Rank returns the usable servers, the cheapest first, at most limit of them.
func (cs *Chooser) Rank(now time.Time, vw *member.View, rq Request, limit int) []Choice {
	servers := usable(now, vw.Servers(rq.service), rq)
	cs.mu.Lock()
	shares := cs.hints.count(now, rq.keys)
	depths := cs.depths(servers, rq)
	cs.mu.Unlock()
	levels := homeLevels(servers, rq.keys, shares)
	choices := make([]Choice, 0, len(servers))
	for i, sv := range servers {
		choices = append(choices, cs.price(now, sv, rq, depths[i], levels[i]))
	}
	return cheapest(choices, limit)
}

// usable returns the servers that may get the request.
func usable(now time.Time, servers []*member.Server, rq Request) []*member.Server {
	out := make([]*member.Server, 0, len(servers))
	for _, sv := range servers {
		if sv.Usable(now) && !isOtherWeights(sv, rq) {
			out = append(out, sv)
		}
	}
	return out
}

func isOtherWeights(sv *member.Server, rq Request) bool {
	return sv.Known() && rq.weights != "" && sv.Status().Weights() != rq.weights
}

// depths returns for each server how many leading pieces it is believed to hold; the caller holds mu.
func (cs *Chooser) depths(servers []*member.Server, rq Request) []int {
	depths := make([]int, len(servers))
	for at := len(rq.keys) - 1; at >= 0; at-- {
		ht, ok := cs.hints.byKey.Peek(rq.keys[at])
		if !ok {
			continue
		}
		for _, hd := range ht.holders {
			i, ok := find(servers, hd.address)
			if !ok || servers[i].Status().Engine() != hd.engine {
				continue
			}
			depths[i] = max(depths[i], at+1)
		}
	}
	return depths
}

func find(servers []*member.Server, address string) (int, bool) {
	return slices.BinarySearchFunc(servers, address, func(sv *member.Server, address string) int {
		return strings.Compare(sv.Address(), address)
	})
}

// price returns the choice of a server that is believed to hold the first pieces of the prompt, as many as depth, and
// that is at home for the first prefixes, as many as level. It is expected to hold those too, since other entries send
// them there; this also places well what a restarted entry knows nothing of.
func (cs *Chooser) price(now time.Time, sv *member.Server, rq Request, depth, level int) Choice {
	cached := min(depth*rq.pieceTokens, rq.tokens)
	likely := min(max(depth, level)*rq.pieceTokens, rq.tokens)
	compute := prefillTime(rq.tokens-likely, sv.PrefillRate())
	expected := sv.Wait(now) + compute
	if sv.Zone() != cs.zone {
		expected += otherZoneDelay
	}
	price := rq.price
	if pieces := len(rq.keys); level < pieces {
		price += (strayBase + strayPerPrice*rq.price) * float64(pieces-level) / float64(pieces)
	}
	waste := time.Duration(float64(compute) * price)
	return Choice{server: sv, cached: cached, expected: expected, cost: expected + waste}
}

func prefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		rate = unknownRate
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// homeLevels tells of each server for how many leading prefixes of a prompt it is at home, which all entries compute
// alike from what they see of the heat.
//
// Each prefix, from the shallowest on, narrows the servers to those with the highest rendezvous hashes for it, as many
// as make up its share of all requests with some slack. A prefix that few requests share has a single home; a hot one
// has several, and the deeper prefixes below it divide these among themselves. Servers weigh the same whatever their
// speed: what bounds them as homes is their memory, and the cost of a wait keeps work from slow ones.
func homeLevels(servers []*member.Server, keys []piece.Key, shares []float64) []int {
	levels := make([]int, len(servers))
	subset := make([]scored, len(servers))
	for i := range servers {
		subset[i].index = i
	}
	for depth, key := range keys {
		count := int(math.Ceil(shares[depth] * float64(len(servers)) * homeSlack))
		subset = narrow(subset, servers, key, max(count, 1))
		for _, sc := range subset {
			levels[sc.index] = depth + 1
		}
	}
	return levels
}

// scored is a server in a subset, with its rendezvous hash for the prefix in question.
type scored struct {
	index int
	score uint64
}

// narrow returns the given number of servers with the highest rendezvous hashes for a key.
func narrow(subset []scored, servers []*member.Server, key piece.Key, count int) []scored {
	if len(subset) <= count {
		return subset
	}
	for i := range subset {
		subset[i].score = piece.Mix(key, servers[subset[i].index].Hash())
	}
	slices.SortFunc(subset, func(left, right scored) int { return cmp.Compare(right.score, left.score) })
	return subset[:count]
}

// cheapest sorts just the first choices, since callers seldom need more than two.
func cheapest(choices []Choice, limit int) []Choice {
	limit = min(limit, len(choices))
	for at := range limit {
		best := at
		for i := at + 1; i < len(choices); i++ {
			if choices[i].cost < choices[best].cost {
				best = i
			}
		}
		choices[at], choices[best] = choices[best], choices[at]
	}
	return choices[:limit]
}
