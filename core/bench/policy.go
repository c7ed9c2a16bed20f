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

// Policy is the name of a placement policy.
type Policy string

// Policies to compare; Shallotcleat is the project's own.
const (
	Shallotcleat   Policy = "shallotcleat"
	RoundRobin     Policy = "round-robin"
	LeastLoaded    Policy = "least-loaded"
	ConsistentHash Policy = "consistent-hash"
)

// Policies returns all policies, the project's own first.
func Policies() []Policy { return []Policy{Shallotcleat, RoundRobin, LeastLoaded, ConsistentHash} }

// router chooses servers for the requests of one entry.
type router interface {
	// choose returns the server for a request and the number of its tokens that the server is expected to have cached.
	choose(now time.Duration, rq *request) (server, cached int)
	// recordStatus records the engine's status from a reply.
	recordStatus(now time.Duration, server int, en *engine)
	// recordFirstToken records that the first token of a job has arrived.
	recordFirstToken(now time.Duration, jb *job, en *engine)
	// recordFailure records that a server did not reply.
	recordFailure(now time.Duration, server int)
}

func newRouter(pl Policy, dep Deployment, entry int) router {
	switch pl {
	case RoundRobin:
		return &roundRobin{count: dep.replicas, next: entry, failed: make(map[int]bool)}
	case LeastLoaded:
		return newLeastLoaded(dep)
	case ConsistentHash:
		return &consistentHash{count: dep.replicas, failed: make(map[int]bool)}
	}
	return newChooserRouter(dep, entry)
}

// epochTime is the start of virtual time.
var epochTime = time.Unix(1_000_000, 0)

const serviceName = "model"

func addressOf(server int) string { return fmt.Sprintf("server-%03d", server) }

func zoneOf(dep Deployment, index int) string { return fmt.Sprintf("zone-%d", index%dep.zones) }

// chooserRouter is the router of the Shallotcleat policy. It updates place.Chooser and member.Table as package entry
// does.
type chooserRouter struct {
	dep       Deployment
	members   *member.Table
	chooser   *place.Chooser
	lastStamp stamp.Stamp
}

func newChooserRouter(dep Deployment, entry int) *chooserRouter {
	cr := &chooserRouter{dep: dep, members: member.NewTable(), chooser: place.NewChooser(zoneOf(dep, entry))}
	var servers []*member.Server
	for server := range dep.replicas {
		servers = append(servers, member.NewServer(addressOf(server), zoneOf(dep, server), serviceName))
	}
	cr.members.Replace(servers)
	return cr
}

func (cr *chooserRouter) toPlaceRequest(rq *request) place.Request {
	return place.NewRequest(serviceName, rq.keys, rq.promptTokens, pieceTokens, cr.dep.recomputePrice, "")
}

func (cr *chooserRouter) choose(now time.Duration, rq *request) (int, int) {
	placeRq := cr.toPlaceRequest(rq)
	ranked := cr.chooser.Rank(epochTime.Add(now), cr.members.View(), placeRq, 1)
	if len(ranked) == 0 {
		return 0, 0
	}
	ch := ranked[0]
	server := 0
	_, _ = fmt.Sscanf(ch.Server().Address(), "server-%d", &server)
	cr.members.AddPending(ch.Server().Address(), ch.PrefillTime(placeRq))
	return server, ch.CachedTokens()
}

func (cr *chooserRouter) recordStatus(now time.Duration, server int, en *engine) {
	cr.lastStamp++
	st := member.NewStatus(cr.lastStamp, 1, en.incarnation, 1, "",
		en.queueWait(now), en.rateEstimate.Estimate(epochTime.Add(now)), false)
	cr.members.RecordStatus(epochTime.Add(now), addressOf(server), st)
}

func (cr *chooserRouter) recordFirstToken(now time.Duration, jb *job, en *engine) {
	address := addressOf(jb.server)
	cr.chooser.RecordCached(epochTime.Add(now), cr.toPlaceRequest(jb.request), address, en.incarnation)
}

func (cr *chooserRouter) recordFailure(now time.Duration, server int) {
	cr.members.RecordFailure(epochTime.Add(now), addressOf(server))
}

// roundRobin chooses the servers in turn.
type roundRobin struct {
	count  int
	next   int
	failed map[int]bool
}

func (rr *roundRobin) choose(time.Duration, *request) (int, int) {
	for {
		rr.next = (rr.next + 1) % rr.count
		if !rr.failed[rr.next] {
			return rr.next, 0
		}
	}
}

func (rr *roundRobin) recordStatus(time.Duration, int, *engine)          {}
func (rr *roundRobin) recordFirstToken(time.Duration, *job, *engine)     {}
func (rr *roundRobin) recordFailure(_ time.Duration, server int)         { rr.failed[server] = true }
func (ch *consistentHash) recordStatus(time.Duration, int, *engine)      {}
func (ch *consistentHash) recordFirstToken(time.Duration, *job, *engine) {}
func (ch *consistentHash) recordFailure(_ time.Duration, server int)     { ch.failed[server] = true }
func (ll *leastLoaded) recordFirstToken(time.Duration, *job, *engine)    {}
func (ll *leastLoaded) recordFailure(_ time.Duration, server int)        { ll.waits[server] = math.Inf(1) }

// consistentHash chooses a server by rendezvous hashing of the first piece of the prompt.
type consistentHash struct {
	count  int
	failed map[int]bool
}

func (ch *consistentHash) choose(_ time.Duration, rq *request) (int, int) {
	best, bestScore := 0, uint64(0)
	for server := range ch.count {
		score := prefix.Mix(rq.keys[0], uint64(server+1))
		if !ch.failed[server] && score >= bestScore {
			best, bestScore = server, score
		}
	}
	return best, 0
}

// leastLoaded chooses the server with the shortest expected queueing time, computed from its last reply and the requests
// sent since.
type leastLoaded struct {
	// waits holds the expected queueing times in seconds; a failure sets that of its server to infinity.
	waits []float64
	// rates holds the prefill rates in tokens per second.
	rates []float64
}

func newLeastLoaded(dep Deployment) *leastLoaded {
	ll := &leastLoaded{waits: make([]float64, dep.replicas), rates: make([]float64, dep.replicas)}
	for server := range ll.rates {
		ll.rates[server] = dep.prefillRate(server)
	}
	return ll
}

func (ll *leastLoaded) choose(_ time.Duration, rq *request) (int, int) {
	best := 0
	for server := range ll.waits {
		if ll.waits[server] < ll.waits[best] {
			best = server
		}
	}
	ll.waits[best] += float64(rq.promptTokens) / ll.rates[best]
	return best, 0
}

func (ll *leastLoaded) recordStatus(now time.Duration, server int, en *engine) {
	ll.waits[server] = en.queueWait(now).Seconds()
	ll.rates[server] = en.rateEstimate.Estimate(epochTime.Add(now))
}
