package pick

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/fleet"
	"shallotcleat/core/prefix"
	"shallotcleat/core/zone"
)

// Parameters of calls that leave the availability zone.
const (
	// leaveCost is the cost, for a call that is to go to a certain zone, of servers elsewhere. It exceeds usual differences of waits, and is
	// less than the cost of a server that has just rejected a call.
	leaveCost = 100 * time.Millisecond
	// outputTokenBytes is the assumed size of a token in a response: an event with nine tokens takes some 350 bytes.
	outputTokenBytes = 40
	// callWeight is the weight of the latest call in the moving means over a service's calls. With 0.02 the gates' shares differed by up to
	// 0.14 in simulations, since each gate saw other calls.
	callWeight = 0.005
)

// serviceZones is what the choice of a zone for a service's calls depends on. The picker's lock guards it.
type serviceZones struct {
	decider *zone.Decider
	loads   []zone.Load
	// portable is the moving mean of the fraction of calls that lose no cached prefix by leaving, and hop that of the cost of a hop.
	portable float64
	hop      time.Duration
	// uncached and prompt are the moving means of the uncached and of all prompt tokens of a call.
	uncached float64
	prompt   float64
}

// plan says what zones cost a call.
type plan struct {
	// leaves is set if the call is part of the share that leaves, to destination.
	leaves      bool
	destination string
	// cached is set if a server of the destination has cached all shared parts of the prompt.
	cached bool
	// hop is the cost of a hop, and stay its additional cost for a call that is not part of the share.
	hop    time.Duration
	stay   time.Duration
	reason zone.Reason
}

// ServiceShare is the share of a service's calls that leaves the zone.
type ServiceShare struct {
	service string
	share   zone.Share
}

// Service returns the name of the service.
func (ss ServiceShare) Service() string { return ss.service }

// Share returns the share.
func (ss ServiceShare) Share() zone.Share { return ss.share }

// ZoneShares returns the present shares of the services for which calls were chosen.
func (pk *Picker) ZoneShares(now time.Time) []ServiceShare {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	shares := make([]ServiceShare, 0, len(pk.zones))
	for service, sz := range pk.zones {
		pk.updateShare(now, sz, pk.view.Servers(service))
		shares = append(shares, ServiceShare{service: service, share: sz.decider.Share()})
	}
	return shares
}

// SetZonePrice sets the cost of paths between zones.
func (pk *Picker) SetZonePrice(pr zone.Price) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.price = pr
}

// DisableZoneShares makes all calls choose by cost alone, with the cost of a hop added for servers of other zones.
func (pk *Picker) DisableZoneShares() {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.sharesOff = true
}

// SetTokenBytes sets the size of the cached prefix of one token, by service.
func (pk *Picker) SetTokenBytes(tokenBytes map[string]int) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.tokenBytes = tokenBytes
}

// WithRequest returns the call with the id of its request and the size of the request's body. All attempts of a request leave the zone or
// stay by the same rule.
func (cl Call) WithRequest(id string, bytes int) Call {
	cl.requestHash, cl.requestBytes = xxhash.Sum64String(id), bytes
	return cl
}

// hopCost returns the cost of a hop of a call to another zone.
func (pk *Picker) hopCost(cl Call) time.Duration {
	return pk.price.Hop(float64(cl.requestBytes + cl.outputTokens*outputTokenBytes))
}

// zoneCost returns the cost of a server's zone for a call.
func (pk *Picker) zoneCost(pl plan, sv *fleet.Server) time.Duration {
	switch {
	case pl.leaves && sv.Zone() == pl.destination:
		return pl.hop
	case pl.leaves && sv.Zone() == pk.zone:
		return leaveCost
	case pl.leaves:
		return pl.hop + leaveCost
	case sv.Zone() != pk.zone:
		return pl.hop + pl.stay
	}
	return 0
}

// plan decides whether a call leaves the zone and where it goes. If dry is set, nothing is recorded. The caller holds mu.
func (pk *Picker) plan(now time.Time, cl Call, servers []*fleet.Server, candidates []candidate, dry bool) plan {
	if pk.sharesOff {
		return plan{hop: pk.hopCost(cl)}
	}
	if _, known := pk.zones[cl.service]; dry && !known {
		return plan{hop: pk.hopCost(cl)}
	}
	sz := pk.serviceZones(now, cl, servers, dry)
	share := sz.decider.Share()
	pl := plan{hop: pk.hopCost(cl), stay: share.StayCost(), reason: share.Reason()}
	if !dry {
		sz.hop += time.Duration(float64(pl.hop-sz.hop) * callWeight)
	}
	// usable holds the zones with a candidate, and cached those with one that has cached all shared parts.
	var usable, cached []string
	for _, cd := range candidates {
		name := cd.server.Zone()
		isCached := len(cl.keys) > 0 && cd.depth == len(cl.keys) && !slices.Contains(cached, name)
		if name == pk.zone || !isCached && slices.Contains(usable, name) || pk.state(cd.server.ID()).inBackoff(now) {
			continue
		}
		if !slices.Contains(usable, name) {
			usable = append(usable, name)
		}
		if isCached {
			cached = append(cached, name)
		}
	}
	portable := len(cl.keys) == 0 || len(cached) > 0
	if !dry {
		sz.observePortable(portable)
	}
	if share.Fraction() == 0 || len(usable) == 0 {
		return pl
	}
	ofPortable, ofOthers := zone.Split(share.Fraction(), sz.portable)
	fraction := ofOthers
	if portable {
		fraction = ofPortable
	}
	hash := cl.requestHash
	if hash == 0 && !dry {
		hash = pk.random.Uint64()
	}
	if zone.Uniform(prefix.Mix(prefix.Key(hash), leaveSeed)) >= fraction {
		return pl
	}
	allowed, key := usable, uint64(0)
	switch {
	case len(cached) > 0:
		allowed = cached
	case len(cl.keys) > 0:
		key = cl.affinityKey()
	}
	number := zone.Uniform(prefix.Mix(prefix.Key(hash), destinationSeed))
	pl.destination = share.Destination(number, key, func(name string) bool { return slices.Contains(allowed, name) })
	if pl.destination == "" && portable && len(cached) > 0 {
		// The zones that have cached the prompt have nothing free.
		pl.destination = share.Destination(number, cl.affinityKey(), func(name string) bool { return slices.Contains(usable, name) })
	}
	pl.leaves = pl.destination != ""
	pl.cached = slices.Contains(cached, pl.destination)
	return pl
}

// leaveSeed and destinationSeed make the two decisions on a request independent of each other.
const (
	leaveSeed       = 1
	destinationSeed = 2
)

func (sz *serviceZones) observePortable(portable bool) {
	observed := 0.0
	if portable {
		observed = 1
	}
	sz.portable += (observed - sz.portable) * callWeight
}

// observeTokens records the prompt tokens of a call, and the number of them that its server must prefill.
func (sz *serviceZones) observeTokens(uncached, prompt int) {
	if uncached > 0 {
		sz.uncached += (float64(uncached) - sz.uncached) * callWeight
	}
	sz.prompt += (float64(prompt) - sz.prompt) * callWeight
}

// serviceZones returns what is known of the zones of a call's service, and updates it if that is due and dry is not set. The caller holds mu.
func (pk *Picker) serviceZones(now time.Time, cl Call, servers []*fleet.Server, dry bool) *serviceZones {
	sz, ok := pk.zones[cl.service]
	if !ok {
		sz = &serviceZones{decider: zone.NewDecider(pk.zone), portable: 1, hop: pk.hopCost(cl),
			uncached: initialUncachedTokens, prompt: initialUncachedTokens}
		pk.zones[cl.service] = sz
	}
	if !dry {
		pk.updateShare(now, sz, servers)
	}
	return sz
}

// updateShare makes the steps of a service's share that are due. The caller holds mu.
func (pk *Picker) updateShare(now time.Time, sz *serviceZones, servers []*fleet.Server) {
	if sz.decider.IsDue(now) {
		pk.measureLoads(now, sz, servers)
		sz.decider.Update(now, sz.loads, sz.hop)
	}
}

// measureLoads sets the loads of the zones from the reports of a service's servers. It uses nothing that this process alone knows of its own
// calls, so that all processes of a zone get the same loads. The caller holds mu.
func (pk *Picker) measureLoads(now time.Time, sz *serviceZones, servers []*fleet.Server) {
	sz.loads = sz.loads[:0]
	for _, sv := range servers {
		st := pk.state(sv.ID())
		if sv.Draining() || st.replaced || st.inBackoff(now) || st.isLoading(now) || pk.restrictions[sv.ID()].forbidsCalls(now) {
			continue
		}
		ld := loadOf(&sz.loads, sv.Zone())
		ut := st.utilization
		if !ut.isCurrent(now) {
			ld.AddUnreported()
			continue
		}
		wait := st.slowdown * (float64(prefillTime(int(float64(ut.waiting)*sz.uncached), pk.prefillRate(now, sv, st))) + float64(ut.running)*float64(runningCallCost))
		freeMemory := 1.0
		if ut.memoryTokens > 0 {
			freeMemory = float64(ut.freeTokens) / float64(ut.memoryTokens)
			missing := float64(ut.waiting+1)*sz.prompt - float64(ut.freeTokens)
			wait += max(missing, 0) / float64(ut.memoryTokens) * float64(st.meanRunTime)
		}
		ld.Add(sv.Slots(), ut.running, time.Duration(wait), freeMemory, 1/st.slowdown)
	}
}

// loadOf returns the load of a zone, which it adds if needed.
func loadOf(loads *[]zone.Load, name string) *zone.Load {
	for i := range *loads {
		if (*loads)[i].Zone() == name {
			return &(*loads)[i]
		}
	}
	*loads = append(*loads, zone.NewLoad(name))
	return &(*loads)[len(*loads)-1]
}

// isCurrent reports whether a report describes the present load. Tenders report changes, and repeat reports with waiting calls, within
// utilizationTTL; an unchanged report without waiting calls is repeated within aliveTTL.
func (ut Utilization) isCurrent(now time.Time) bool {
	if ut.observedAt.IsZero() {
		return false
	}
	age := now.Sub(ut.observedAt)
	return age < utilizationTTL || ut.waiting == 0 && age < aliveTTL
}

// isLoading reports whether the server loads weights of any model.
func (st *state) isLoading(now time.Time) bool {
	for _, ws := range st.weights {
		if ws.loading && now.Before(ws.until) {
			return true
		}
	}
	return false
}

// exitReason returns why a call goes to a server of another zone, or "" if it does not.
func (pk *Picker) exitReason(pl plan, sv *fleet.Server) ExitReason {
	switch {
	case sv.Zone() == pk.zone:
		return ""
	case pl.reason == zone.NoServer:
		return ExitNoServer
	case pl.leaves:
		return ExitShare
	}
	return ExitCost
}

// ExitReason says why a call leaves the zone.
type ExitReason string

// The reasons why a call leaves the zone.
const (
	// ExitShare means that the call is part of the share that leaves.
	ExitShare ExitReason = "share"
	// ExitCost means that the server costs less than those of the zone, including the hop.
	ExitCost ExitReason = "cost"
	// ExitNoServer means that no server of the zone takes calls.
	ExitNoServer ExitReason = "no_server"
)

// ExitReason returns why the call leaves the zone, or "" if it does not.
func (ch Choice) ExitReason() ExitReason { return ch.exitReason }
