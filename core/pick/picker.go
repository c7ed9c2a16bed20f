package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/quota"
	"shallotcleat/core/runs"
	"shallotcleat/core/speed"
	"shallotcleat/core/zone"
)

// Rates, costs and lifetimes used in a choice.
const (
	// defaultPrefillRate is the prefill rate, in tokens per second, that is assumed of an engine while no estimate of it or of another
	// engine of its service is known; the users' engines prefill 92,100 and 140,000 tokens per second.
	defaultPrefillRate = 120_000
	// baseLatency is the time to the first event of a call without a prompt.
	baseLatency = 50 * time.Millisecond
	// utilizationTTL is how long a tender's report of an engine's utilization is used for the expected time.
	utilizationTTL = 800 * time.Millisecond
	// rejectedCost is the cost of a server that has rejected a call within the last rejectedPeriod.
	rejectedCost   = 300 * time.Millisecond
	rejectedPeriod = 250 * time.Millisecond
	// runningCallCost is what each running call adds to the time to the first event of the next one.
	runningCallCost = time.Millisecond
	// staleWeightsCost is the cost of a response from old weights after staleCostDelay.
	staleWeightsCost = 150 * time.Millisecond
	// failureCost is the cost of a server that fails all its calls.
	failureCost = 400 * time.Millisecond
	// backoffCost ranks servers in backoff behind all others.
	backoffCost = 10 * time.Second
	// probeCost is the cost of a server whose backoff has ended and that has not responded since; it is higher for calls
	// that may run at most once.
	probeCost           = 5 * time.Millisecond
	atMostOnceProbeCost = 300 * time.Millisecond
	// cacheMissBaseCost is the cost of a server that lacks shared parts of a prompt, besides cacheMissPrefillFactor
	// times their prefill time: prefilling them evicts other prompts.
	cacheMissBaseCost      = 60 * time.Millisecond
	cacheMissPrefillFactor = 2
	// longOutputTokens is the number of tokens above which a response is long: those that an engine generates in half a
	// second under normal load.
	longOutputTokens = 70
	// shortOnlyCost is the cost, for long calls, of a server that is about to load weights.
	shortOnlyCost = 3 * time.Second
	// loadingTTL is how long a server is assumed to load weights, or to take short calls only, without another report.
	loadingTTL = 6 * time.Second
	// doubtCost is the cost, for streams that callers may take up, of a server whose software version is not certain: such a stream could not go on. It
	// exceeds all differences but that of a server in backoff.
	doubtCost = 5 * time.Second
)

// Picker chooses servers; its methods may be called from any goroutine.
type Picker struct {
	zone string
	// oldWeightsGrace is how long after newer weights were announced a call may start on old ones.
	oldWeightsGrace time.Duration
	limits          *quota.Stock
	// ledger is nil if the runs of servers are not known to anyone.
	ledger *runs.Ledger

	// mu guards the fields below.
	mu   sync.Mutex
	view *fleet.View
	// processCount is how many processes choose among the servers.
	processCount int
	random       *rand.Rand
	// senderCount is how many processes are assumed to send to a server as much as this one does.
	senderCount int
	states      map[string]*state
	// targets holds, by model, the announced versions in ascending order.
	targets map[string][]announcedVersion
	// notBegun holds the functions set by Attempt.OnExpiry of the attempts that have not begun.
	notBegun map[*Attempt]func()
	// hints are those queued for the peers.
	hints []Hint
	// slowdowns holds, by server id, the observed ratios that have not been sent to the peers yet.
	slowdowns map[string]slowdownSum
	// speeds holds the engines' speeds that their tenders estimate.
	speeds *speed.Fleet
	// restrictions holds, by server id, what servers have said about new calls.
	restrictions map[string]restriction
	// stores holds the cache stores by the hash of their ids, and seen the last use of each prefix under any weights.
	stores map[uint64]*storeState
	seen   useTable[uint64, time.Time]
	// zones holds, by service, what decides on leaving the zone; price is the cost of doing so, and tokenBytes the size of the cached
	// prefix of one token.
	zones map[string]*serviceZones
	// sharesOff makes all calls choose by cost alone.
	sharesOff  bool
	price      zone.Price
	tokenBytes map[string]int
	// stagings holds, by service, the roles of the engines of services whose running calls can be handed over.
	stagings map[string]*staging
	// openings is nil if streams may begin anywhere; lastVersions holds, by server id, the last software version that was known of the servers of the services
	// that it restricts.
	openings     *Openings
	lastVersions map[string]string
}

// New returns a picker for a process in an availability zone. No call starts on old weights later than oldWeightsGrace
// after newer ones were announced. The seed makes the random samples reproducible.
func New(zoneName string, oldWeightsGrace time.Duration, seed uint64) *Picker {
	return &Picker{
		processCount:    1,
		random:          rand.New(rand.NewPCG(seed, seed)),
		senderCount:     1,
		zone:            zoneName,
		oldWeightsGrace: oldWeightsGrace,
		limits:          quota.NewStock(),
		view:            fleet.NewRegistry().View(),
		states:          make(map[string]*state),
		slowdowns:       make(map[string]slowdownSum),
		speeds:          speed.NewFleet(),
		restrictions:    make(map[string]restriction),
		stores:          make(map[uint64]*storeState),
		seen:            newUseTable[uint64, time.Time](maxSeenPrefixes, reuseTTL),
		zones:           make(map[string]*serviceZones),
		stagings:        make(map[string]*staging),
		targets:         make(map[string][]announcedVersion),
		notBegun:        make(map[*Attempt]func()),
	}
}

// SetLedger sets what is known of the runs of servers. It must be called before Choose.
func (pk *Picker) SetLedger(lg *runs.Ledger) { pk.ledger = lg }

// inDoubt reports whether it is not certain which software version a server has.
func (pk *Picker) inDoubt(sv *fleet.Server) bool {
	return sv.SoftwareVersion() == "" || sv.StartUnixMilli() != 0 && pk.ledger.InDoubt(sv.Hash())
}

// SetView sets the current servers and drops the state of servers that are gone or have restarted.
func (pk *Picker) SetView(vw *fleet.View) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.view = vw
	pk.rememberVersions()
	pk.dropEndedRestrictions()
	for service := range pk.zones {
		if len(vw.Servers(service)) == 0 {
			delete(pk.zones, service)
		}
	}
	for id, st := range pk.states {
		sv := vw.Server(id)
		switch {
		case sv == nil:
			delete(pk.states, id)
		case sv.StartUnixMilli() != st.startUnixMilli:
			// The server has restarted under its id with an empty cache.
			pk.states[id] = newState(sv)
		}
	}
}

// MarkReplaced records that another server has responded at the address of a run of a server: the run has ended, though it is still listed. It does
// nothing if the server has started again.
func (pk *Picker) MarkReplaced(sv *fleet.Server) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if st := pk.stateOfRun(sv.ID(), sv.StartUnixMilli()); st != nil {
		st.replaced = true
	}
}

// SetSenders sets how many processes send calls to the servers of this process's zone, and how many there are in all
// zones.
func (pk *Picker) SetSenders(zone, all int) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.senderCount, pk.processCount = max(zone, 1), max(all, 1)
}

// View returns the current servers.
func (pk *Picker) View() *fleet.View {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.view
}

// SetUtilization records the utilization that a server's tender reported. It ends the server's backoff, since a server
// that responds to its tender is not down.
func (pk *Picker) SetUtilization(id string, ut Utilization) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	st.utilization, st.tokensSinceReport = ut, 0
	st.consecutiveFailures, st.backoffUntil = 0, time.Time{}
}

// state returns the state of a server, and creates it if needed. The caller holds mu.
func (pk *Picker) state(id string) *state {
	st, ok := pk.states[id]
	if !ok {
		st = newState(pk.view.Server(id))
		pk.states[id] = st
	}
	return st
}

// stateOfRun returns the state of the run of a server that started at a time, or nil if nothing is known of the run, or the server has started
// again since: what an earlier run did says nothing about the later one. The caller holds mu.
func (pk *Picker) stateOfRun(id string, startUnixMilli int64) *state {
	if st := pk.states[id]; st != nil && st.startUnixMilli == startUnixMilli {
		return st
	}
	return nil
}

// candidate is a server that a call may be sent to.
type candidate struct {
	server  *fleet.Server
	version uint64
	// stalePenalty is the cost of the server's weight version.
	stalePenalty time.Duration
	// startDeadline is the latest time at which calls may start on the weights, or zero if there is no limit.
	startDeadline time.Time
	isHome        bool
	// depth is how many shared parts of the call the server is assumed to have cached.
	depth int
}

// Choose returns the server with the lowest cost for a call, and false if there is none. excluded holds ids of servers
// that the call must not be sent to. Choose considers the call's home server and only a random sample of the others:
// many processes get the same report of an idle server, and would all send to it. If the server has a limit, the choice holds
// one of its slots; the caller sends the call or calls Release.
func (pk *Picker) Choose(now time.Time, cl Call, excluded map[string]bool) (Choice, bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	servers := pk.view.Servers(cl.service)
	pk.updateRoles(now, cl.service)
	candidates, pl := pk.prepare(now, cl, servers, excluded, false)
	pk.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	limit := pk.sampleSize(len(servers))
	seen := make(map[sampleGroup]int)
	// preferred is the best choice without regard to limits.
	var best, preferred Choice
	for _, cd := range candidates {
		ch, inTime := pk.assess(now, cl, pl, cd)
		if !inTime {
			continue
		}
		sg := pk.sampleGroup(now, cl, pl, cd)
		if seen[sg] >= limit && !cd.isHome {
			continue
		}
		allowed, limited := pk.limits.Allows(now, cd.server.ID(), cd.server.StartUnixMilli())
		ch.limited = limited
		if ch.isBetterThan(preferred) {
			preferred = ch
		}
		if !allowed {
			continue
		}
		seen[sg]++
		if ch.isBetterThan(best) {
			best = ch
		}
	}
	if preferred.server != best.server {
		pk.limits.Want(now, preferred.server.ID())
	}
	if best.server == nil {
		return Choice{}, false
	}
	if best.limited {
		best.slot = pk.limits.Take(now, best.server.ID())
	}
	ownTokens := pk.setQueueTime(now, cl, &best)
	if sz, ok := pk.zones[cl.service]; ok {
		sz.observeTokens(ownTokens, cl.tokens)
	}
	best.exitReason = pk.exitReason(pl, best.server)
	best.cacheSource = pk.cacheSource(now, cl, servers, best)
	best.saveStore = pk.saveStore(now, cl, best)
	return best, true
}

// prepare returns the servers that a call may be sent to, and whether it is to leave the zone. If dry is set, nothing is recorded. The caller
// holds mu.
func (pk *Picker) prepare(now time.Time, cl Call, servers []*fleet.Server, excluded map[string]bool, dry bool) ([]candidate, plan) {
	candidates := pk.candidates(now, cl, servers, excluded)
	pl := pk.plan(now, cl, servers, candidates, dry)
	switch {
	case pl.leaves && pl.cached:
		setHome(candidates, nil)
	case pl.leaves:
		setHome(candidates, pk.homeServer(now, cl, servers, pl.destination))
	}
	return candidates, pl
}

// assess returns the choice of a candidate with its cost. inTime is false if the call is not expected to start while the candidate's weights may
// be used. The caller holds mu.
func (pk *Picker) assess(now time.Time, cl Call, pl plan, cd candidate) (ch Choice, inTime bool) {
	cost, timeToFirstEvent := pk.cost(now, cl, pl, cd)
	inTime = cd.startDeadline.IsZero() || !now.Add(startSafetyFactor*timeToFirstEvent).After(cd.startDeadline)
	return Choice{server: cd.server, version: cd.version, cachedParts: cd.depth, cost: cost, timeToFirstEvent: timeToFirstEvent}, inTime
}

// setQueueTime sets the time that a call is expected to spend in the queue of its server, and returns the number of tokens that the server must
// prefill for it. The caller holds mu.
func (pk *Picker) setQueueTime(now time.Time, cl Call, ch *Choice) int {
	st := pk.state(ch.server.ID())
	ownTokens := cl.tokens - cl.tokensAfter(0) + cl.tokensAfter(ch.cachedParts)
	ownTime := baseLatency + prefillTime(ownTokens, pk.prefillRate(now, ch.server, st))
	ch.queueTime = max(ch.timeToFirstEvent-time.Duration(st.slowdown*float64(ownTime)), 0)
	return ownTokens
}

// obstacle returns why a call must not be sent to a server, or "". The caller holds mu.
func (pk *Picker) obstacle(now time.Time, cl Call, sv *fleet.Server, excluded map[string]bool) Obstacle {
	rs := pk.restrictions[sv.ID()]
	switch {
	case sv.Draining() || rs.leaving:
		return Leaving
	case excluded[sv.ID()]:
		return Excluded
	case cl.excludes(sv):
		return OtherSoftware
	case pk.state(sv.ID()).replaced:
		return Replaced
	case rs.forbidsCalls(now):
		return Paused
	}
	if _, loading := pk.weightVersion(now, sv, cl.model); loading {
		return LoadingWeights
	}
	return ""
}

// candidates returns the servers that a call may be sent to, including those whose startDeadline may be too soon for it.
// The caller holds mu.
func (pk *Picker) candidates(now time.Time, cl Call, servers []*fleet.Server, excluded map[string]bool) []candidate {
	home := pk.homeServer(now, cl, servers, pk.zone)
	candidates := make([]candidate, 0, len(servers))
	obstacle := pk.obstacles(now, cl, servers, excluded)
	for _, sv := range servers {
		if obstacle(sv) != "" {
			continue
		}
		version, _ := pk.weightVersion(now, sv, cl.model)
		stalePenalty, startDeadline := pk.weightsCost(now, cl, version)
		depth := pk.state(sv.ID()).cachedDepth(now, cl, version)
		candidates = append(candidates, candidate{server: sv, version: version, stalePenalty: stalePenalty,
			startDeadline: startDeadline, isHome: sv == home, depth: depth})
	}
	return candidates
}

// setHome makes a server the home server of the candidates' call.
func setHome(candidates []candidate, home *fleet.Server) {
	for i := range candidates {
		candidates[i].isHome = candidates[i].server == home
	}
}

// sampleGroup is a group of candidates that is sampled separately, so that some of each group are considered.
type sampleGroup struct {
	// currentWeights is set while the server's weight version costs nothing.
	currentWeights bool
	sameZone       bool
	// isDestination is set if the call is to leave to the server's zone.
	isDestination bool
	// fullyCached is set if the server is assumed to have cached all shared parts of the prompt.
	fullyCached bool
	inBackoff   bool
	// inDoubt is set if the call is a stream that callers may take up, and the server's software version is not certain.
	inDoubt bool
	// otherRole is set if the server's role is to take other calls.
	otherRole bool
}

func (pk *Picker) sampleGroup(now time.Time, cl Call, pl plan, cd candidate) sampleGroup {
	return sampleGroup{
		currentWeights: cd.stalePenalty == 0,
		sameZone:       cd.server.Zone() == pk.zone,
		isDestination:  pl.leaves && cd.server.Zone() == pl.destination,
		fullyCached:    len(cl.keys) > 0 && cd.depth == len(cl.keys),
		inBackoff:      pk.state(cd.server.ID()).inBackoff(now),
		inDoubt:        pk.doubtCost(cl, cd.server) > 0,
		otherRole:      pk.roleCost(cl, cd.server) > 0,
	}
}

// sampleSize returns how many servers of each group a choice considers, given the number of servers of the service.
func (pk *Picker) sampleSize(servers int) int {
	return (servers+pk.processCount-1)/pk.processCount + 1
}
