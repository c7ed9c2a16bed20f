package bench

import (
	"fmt"
	"math"
	"time"

	"shallotcleat/core/member"
	"shallotcleat/core/place"
	"shallotcleat/core/prefix"
	"shallotcleat/core/stamp"
)

// Policy names a way to choose servers.
type Policy string

// The policies that are compared.
const (
	Shallotcleat   Policy = "shallotcleat"
	RoundRobin     Policy = "round-robin"
	LeastLoaded    Policy = "least-loaded"
	ConsistentHash Policy = "consistent-hash"
)

// Policies returns the policies of the comparison, the project's own first.
func Policies() []Policy { return []Policy{Shallotcleat, RoundRobin, LeastLoaded, ConsistentHash} }

// router chooses servers for one entry.
type router interface {
	// choose returns the server for a call, and how many of its tokens the server is believed to hold.
	choose(now time.Duration, cl *call) (server, cached int)
	// replied notes the status in a reply.
	replied(now time.Duration, server int, en *engine)
	// first notes the first token of a job, whose prompt had some cached tokens.
	first(now time.Duration, jb *job, en *engine)
	// failed notes that a server is gone.
	failed(now time.Duration, server int)
}

func newRouter(pl Policy, dep Deployment, entry int) router {
	switch pl {
	case RoundRobin:
		return &roundRobin{count: dep.replicas, next: entry, gone: make(map[int]bool)}
	case LeastLoaded:
		return newLeastLoaded(dep)
	case ConsistentHash:
		return &consistent{count: dep.replicas, gone: make(map[int]bool)}
	}
	return newOurs(dep, entry)
}

// epochTime is the moment at which virtual time begins.
var epochTime = time.Unix(1_000_000, 0)

const serviceName = "model"

func addressOf(server int) string { return fmt.Sprintf("server-%03d", server) }

func zoneOf(dep Deployment, number int) string { return fmt.Sprintf("zone-%d", number%dep.zones) }

// ours is the real chooser with the real table of servers, fed as package entry feeds them.
type ours struct {
	dep     Deployment
	members *member.Table
	chooser *place.Chooser
	stamps  stamp.Stamp
}

func newOurs(dep Deployment, entry int) *ours {
	or := &ours{dep: dep, members: member.NewTable(), chooser: place.NewChooser(zoneOf(dep, entry))}
	var servers []*member.Server
	for server := range dep.replicas {
		servers = append(servers, member.NewServer(addressOf(server), zoneOf(dep, server), serviceName))
	}
	or.members.Replace(servers)
	return or
}

func (or *ours) request(cl *call) place.Request {
	return place.NewRequest(serviceName, cl.keys, cl.tokens, pieceTokens, or.dep.price, "")
}

func (or *ours) choose(now time.Duration, cl *call) (int, int) {
	rq := or.request(cl)
	ranked := or.chooser.Rank(epochTime.Add(now), or.members.View(), rq, 1)
	if len(ranked) == 0 {
		return 0, 0
	}
	ch := ranked[0]
	server := 0
	_, _ = fmt.Sscanf(ch.Server().Address(), "server-%d", &server)
	or.members.AddPending(ch.Server().Address(), ch.PrefillTime(rq))
	return server, ch.CachedTokens()
}

func (or *ours) replied(now time.Duration, server int, en *engine) {
	or.stamps++
	st := member.NewStatus(or.stamps, 1, en.born, 1, "", en.wait(now), en.rate.Estimate(epochTime.Add(now)), false)
	or.members.RecordStatus(epochTime.Add(now), addressOf(server), st)
}

func (or *ours) first(now time.Duration, jb *job, en *engine) {
	address := addressOf(jb.server)
	or.chooser.RecordCached(epochTime.Add(now), or.request(jb.call), address, en.born)
}

func (or *ours) failed(now time.Duration, server int) {
	or.members.RecordFailure(epochTime.Add(now), addressOf(server))
}

// roundRobin takes the servers in a fixed order.
type roundRobin struct {
	count int
	next  int
	gone  map[int]bool
}

func (rr *roundRobin) choose(time.Duration, *call) (int, int) {
	for {
		rr.next = (rr.next + 1) % rr.count
		if !rr.gone[rr.next] {
			return rr.next, 0
		}
	}
}

func (rr *roundRobin) replied(time.Duration, int, *engine) {}
func (rr *roundRobin) first(time.Duration, *job, *engine)  {}
func (rr *roundRobin) failed(_ time.Duration, server int)  { rr.gone[server] = true }
func (cs *consistent) replied(time.Duration, int, *engine) {}
func (cs *consistent) first(time.Duration, *job, *engine)  {}
func (cs *consistent) failed(_ time.Duration, server int)  { cs.gone[server] = true }
func (ll *leastLoaded) first(time.Duration, *job, *engine) {}
func (ll *leastLoaded) failed(_ time.Duration, server int) { ll.waits[server] = math.Inf(1) }

// consistent sends each first piece to the server with the highest hash.
type consistent struct {
	count int
	gone  map[int]bool
}

func (cs *consistent) choose(_ time.Duration, cl *call) (int, int) {
	best, bestScore := 0, uint64(0)
	for server := range cs.count {
		score := prefix.Mix(cl.keys[0], uint64(server+1))
		if !cs.gone[server] && score >= bestScore {
			best, bestScore = server, score
		}
	}
	return best, 0
}

// leastLoaded takes the server with the shortest wait by its last reply and the calls sent since.
type leastLoaded struct {
	waits []float64
	rates []float64
}

func newLeastLoaded(dep Deployment) *leastLoaded {
	ll := &leastLoaded{waits: make([]float64, dep.replicas), rates: make([]float64, dep.replicas)}
	for server := range ll.rates {
		ll.rates[server] = dep.rateOf(server)
	}
	return ll
}

func (ll *leastLoaded) choose(_ time.Duration, cl *call) (int, int) {
	best := 0
	for server := range ll.waits {
		if ll.waits[server] < ll.waits[best] {
			best = server
		}
	}
	ll.waits[best] += float64(cl.tokens) / ll.rates[best]
	return best, 0
}

func (ll *leastLoaded) replied(now time.Duration, server int, en *engine) {
	ll.waits[server] = en.wait(now).Seconds()
	ll.rates[server] = en.rate.Estimate(epochTime.Add(now))
}
