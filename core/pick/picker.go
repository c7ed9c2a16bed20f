package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"shallotcleat/core/fleet"
)

// Costs and rates of a choice.
const (
	// prefillRate is how many prompt tokens an engine of usual pace reads in a second; the users' engines read 92,100 and 140,000.
	prefillTokensPerSecond = 120_000
	// baseTime is the time to the first event of a call without a prompt.
	baseLatency = 50 * time.Millisecond
	// reportLife is how long a tender's count of an engine's calls is used.
	utilizationTTL = 800 * time.Millisecond
	// fullCost is the price of a server that has rejected a call, for a time of fullPause.
	rejectedCost   = 300 * time.Millisecond
	rejectedPeriod = 250 * time.Millisecond
	// runningCost is what each running call adds to the time of the next one.
	runningCallCost = time.Millisecond
	// otherZoneCost is the price of a hop to another availability zone; bytes between zones are paid for.
	crossZoneCost = 12 * time.Millisecond
	// oldWeightsCost is the price of an answer from older weights once newer ones are due.
	staleWeightsCost = 150 * time.Millisecond
	// failingCost is the price of a server that fails all its calls.
	failureCost = 400 * time.Millisecond
	// pausedCost puts servers that do not answer behind all others.
	backoffCost = 10 * time.Second
	// probeCost is the price of a server whose pause has ended and that has not answered since; calls that may run at
	// most once avoid it more.
	probeCost           = 5 * time.Millisecond
	atMostOnceProbeCost = 300 * time.Millisecond
	// spreadCost is the price of a server that lacks shared parts of a prompt, besides spreadReads times their reading time: what is read
	// there takes the place of other prompts.
	cacheMissBaseCost   = 60 * time.Millisecond
	cacheMissReadFactor = 2
	// longOutput is the number of tokens above which an answer is long: those that an engine writes in half a second at a usual load.
	longOutputTokens = 70
	// shortOnlyCost is the price of a server that is to load weights soon, for calls that run long.
	shortOnlyCost = 3 * time.Second
	// loadingLimit is how long a server is believed to load weights without another word.
	loadingTTL = 6 * time.Second
)

// Picker chooses servers; its methods may be called from any goroutine.
type Picker struct {
	zone string
	// oldLimit is how long after newer weights were named a call may begin on older ones.
	oldWeightsGrace time.Duration

	// mu guards the fields below.
	mu   sync.Mutex
	view *fleet.View
	// processes is how many processes choose among the servers.
	processCount int
	random       *rand.Rand
	// senders is how many processes are taken to send to a server as this one does.
	senderCount int
	states      map[string]*state
	targets     map[string][]announcedVersion
	// hints are what others should be told.
	hints []Hint
	// paces holds by server what others should be told of its pace.
	slowdowns map[string]slowdownSum
}

// New returns a picker for a process in an availability zone. After oldLimit no call begins on older weights; the seed is that of
// its random choices.
func New(zone string, oldWeightsGrace time.Duration, seed uint64) *Picker {
	return &Picker{
		processCount:    1,
		random:          rand.New(rand.NewPCG(seed, seed)),
		senderCount:     1,
		zone:            zone,
		oldWeightsGrace: oldWeightsGrace,
		view:            fleet.NewRegistry().View(),
		states:          make(map[string]*state),
		slowdowns:       make(map[string]slowdownSum),
		targets:         make(map[string][]announcedVersion),
	}
}

// SetView takes the present servers.
func (pk *Picker) SetView(vw *fleet.View) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.view = vw
	for id, st := range pk.states {
		sv := vw.Server(id)
		switch {
		case sv == nil:
			delete(pk.states, id)
		case sv.StartUnixMilli() != st.startMillis:
			// The server has started anew under its id: it holds nothing of before.
			pk.states[id] = newState(sv)
		}
	}
}

// Replaced notes that another server has answered at a server's address: the server has ended, though it is still listed.
func (pk *Picker) MarkReplaced(id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.state(id).replaced = true
}

// SetSenders notes how many processes send calls to the servers of this one's zone, and how many there are in all.
func (pk *Picker) SetSenders(zone, all int) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.senderCount, pk.processCount = max(zone, 1), max(all, 1)
}

// View returns the present servers.
func (pk *Picker) View() *fleet.View {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.view
}

// Reported notes how busy a server's tender saw it; a server that answers its tender is not down.
func (pk *Picker) SetUtilization(id string, ut Utilization) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	st.utilization, st.tokensSinceReport = ut, 0
	st.consecutiveFailures, st.backoffUntil = 0, time.Time{}
}

// state returns the state of a server; the caller holds mu.
func (pk *Picker) state(id string) *state {
	st, ok := pk.states[id]
	if !ok {
		st = newState(pk.view.Server(id))
		pk.states[id] = st
	}
	return st
}

// candidate is a usable server in a choice.
type candidate struct {
	server  *fleet.Server
	version uint64
	// penalty is the price of the server's weights.
	stalePenalty time.Duration
	// end is when calls may begin on the weights at the latest, or zero.
	startDeadline time.Time
	isHome        bool
	// depth is how many shared parts of the call the server is believed to hold.
	depth int
}

// Choose returns the cheapest server of a call that is not excluded, and false if there is none. It looks at the call's home and
// at a random part of the others only: many processes get the same report of an idle server, and would all send to it.
func (pk *Picker) Choose(now time.Time, cl Call, excluded map[string]bool) (Choice, bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	servers := pk.view.Servers(cl.service)
	candidates := pk.candidates(now, cl, servers, excluded)
	pk.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	limit := pk.sampleSize(len(servers))
	seen := make(map[sampleGroup]int)
	var best Choice
	for _, cd := range candidates {
		cost, wait := pk.cost(now, cl, cd)
		if !cd.startDeadline.IsZero() && now.Add(startSafetyFactor*wait).After(cd.startDeadline) {
			continue
		}
		sg := pk.sampleGroup(now, cl, cd)
		if seen[sg]++; seen[sg] > limit && !cd.isHome {
			continue
		}
		if best.server == nil || cost < best.cost {
			best = Choice{server: cd.server, version: cd.version, cachedParts: cd.depth, cost: cost, timeToFirstEvent: wait}
		}
	}
	if best.server == nil {
		return Choice{}, false
	}
	st := pk.state(best.server.ID())
	own := cl.tokens - cl.tokensAfter(0) + cl.tokensAfter(best.cachedParts)
	best.queueTime = max(best.timeToFirstEvent-time.Duration(st.slowdown*float64(baseLatency+readTime(own))), 0)
	best.cacheSource = pk.cacheSource(now, cl, servers, best)
	return best, true
}

// candidates returns the servers that a call may be sent to; the caller holds mu.
func (pk *Picker) candidates(now time.Time, cl Call, servers []*fleet.Server, excluded map[string]bool) []candidate {
	home := pk.homeServer(now, cl, servers, pk.zone)
	candidates := make([]candidate, 0, len(servers))
	for _, sv := range servers {
		if sv.Draining() || excluded[sv.ID()] || pk.state(sv.ID()).replaced {
			continue
		}
		version, loading := pk.weightsVersion(now, sv, cl.model)
		penalty, end := pk.weightsCost(now, cl, version)
		if loading {
			continue
		}
		depth := pk.state(sv.ID()).cachedDepth(now, cl, version)
		candidates = append(candidates, candidate{server: sv, version: version, stalePenalty: penalty, startDeadline: end, isHome: sv == home, depth: depth})
	}
	return candidates
}

// samplePart is a part of the candidates that is sampled by itself, so that each has a chance to be looked at.
type sampleGroup struct {
	newest    bool
	sameZone  bool
	isCached  bool
	inBackoff bool
}

func (pk *Picker) sampleGroup(now time.Time, cl Call, cd candidate) sampleGroup {
	return sampleGroup{
		newest:    cd.stalePenalty == 0,
		sameZone:  cd.server.Zone() == pk.zone,
		isCached:  len(cl.keys) > 0 && cd.depth == len(cl.keys),
		inBackoff: pk.state(cd.server.ID()).inBackoff(now),
	}
}

// sampleSize returns how many servers of each part a choice looks at, of as many servers as given.
func (pk *Picker) sampleSize(servers int) int {
	return (servers+pk.processCount-1)/pk.processCount + 1
}
