package pick

import (
	"slices"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/zone"
)

// Obstacle says why a call is not sent to a server.
type Obstacle string

// The obstacles.
const (
	// Leaving means that the server has announced that it stops.
	Leaving Obstacle = "leaving"
	// Excluded means that an attempt of the call was sent there before.
	Excluded Obstacle = "excluded"
	// OtherSoftware means that the call is bound to another software version.
	OtherSoftware Obstacle = "other_software"
	// NotOpen means that the call is a stream that callers may take up, and not all processes may know the server's software version yet.
	NotOpen Obstacle = "not_open"
	// Replaced means that another server has responded at the address.
	Replaced Obstacle = "replaced"
	// Paused means that the server asked for a pause.
	Paused Obstacle = "paused"
	// LoadingWeights means that the server loads weights.
	LoadingWeights Obstacle = "loading_weights"
	// WeightsExpire means that the call would start too late on the server's old weights.
	WeightsExpire Obstacle = "weights_expire"
	// NoSlot means that this process holds no slot of the server's limit.
	NoSlot Obstacle = "no_slot"
	// CostsMore means that another server costs less.
	CostsMore Obstacle = "costs_more"
)

// Assessment is what is expected of a server for a call.
type Assessment struct {
	choice   Choice
	zoneCost time.Duration
	isHome   bool
	inBack   bool
	obstacle Obstacle
}

// Server returns the server.
func (as Assessment) Server() *fleet.Server { return as.choice.server }

// Cost returns the cost by which servers are compared, or zero if an obstacle rules the server out without regard to its cost.
func (as Assessment) Cost() time.Duration { return as.choice.cost }

// ZoneCost returns the part of the cost that the server's zone adds.
func (as Assessment) ZoneCost() time.Duration { return as.zoneCost }

// TimeToFirstEvent returns the expected time until the first event of the response.
func (as Assessment) TimeToFirstEvent() time.Duration { return as.choice.timeToFirstEvent }

// CachedParts returns how many shared parts of the prompt the server is assumed to have cached.
func (as Assessment) CachedParts() int { return as.choice.cachedParts }

// IsHome reports whether calls with the same shared parts prefer the server.
func (as Assessment) IsHome() bool { return as.isHome }

// InBackoff reports whether the server gets calls only if there is no other, since it did not respond.
func (as Assessment) InBackoff() bool { return as.inBack }

// Obstacle returns why the call is not sent to the server, or "" for the chosen one.
func (as Assessment) Obstacle() Obstacle { return as.obstacle }

// Explanation says where a call would be sent and why.
type Explanation struct {
	choice      Choice
	found       bool
	assessments []Assessment
	share       zone.Share
	leaves      bool
}

// Choice returns the server that the call would be sent to, and false if there is none.
func (ex Explanation) Choice() (Choice, bool) { return ex.choice, ex.found }

// Assessments returns those of all servers of the service, the cheapest first and those that are ruled out last.
func (ex Explanation) Assessments() []Assessment { return ex.assessments }

// Share returns the share of the service's calls that leaves the zone, and whether the call is part of it.
func (ex Explanation) Share() (share zone.Share, included bool) { return ex.share, ex.leaves }

// Explain returns where Choose would send a call, with all servers of the service in place of a sample of them. It takes no slot and changes
// nothing that a later choice depends on.
func (pk *Picker) Explain(now time.Time, cl Call) Explanation {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	servers := pk.view.Servers(cl.service)
	candidates, pl := pk.prepare(now, cl, servers, nil, true)
	ex := Explanation{leaves: pl.leaves}
	if sz, ok := pk.zones[cl.service]; ok {
		ex.share = sz.decider.Share()
	}
	for _, cd := range candidates {
		ch, inTime := pk.assess(now, cl, pl, cd)
		as := Assessment{choice: ch, zoneCost: pk.zoneCost(pl, cd.server), isHome: cd.isHome, inBack: pk.state(cd.server.ID()).inBackoff(now),
			obstacle: CostsMore}
		if allowed, _ := pk.limits.Allows(now, cd.server.ID(), cd.server.StartUnixMilli()); !allowed {
			as.obstacle = NoSlot
		}
		if !inTime {
			as.obstacle = WeightsExpire
		}
		if as.obstacle == CostsMore && ch.isBetterThan(ex.choice) {
			ex.choice, ex.found = ch, true
		}
		ex.assessments = append(ex.assessments, as)
	}
	slices.SortStableFunc(ex.assessments, func(a, b Assessment) int { return int(a.choice.cost - b.choice.cost) })
	for i := range ex.assessments {
		if as := &ex.assessments[i]; ex.found && as.choice.server == ex.choice.server {
			as.obstacle = ""
		}
	}
	obstacle := pk.obstacles(now, cl, servers, nil)
	for _, sv := range servers {
		if reason := obstacle(sv); reason != "" {
			ex.assessments = append(ex.assessments, Assessment{choice: Choice{server: sv}, obstacle: reason})
		}
	}
	if ex.found {
		pk.setQueueTime(now, cl, &ex.choice)
		ex.choice.exitReason = pk.exitReason(pl, ex.choice.server)
	}
	return ex
}

// KnowsModel reports whether any server of a service has named weights of a model.
func (pk *Picker) KnowsModel(service, model string) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return slices.ContainsFunc(pk.view.Servers(service), func(sv *fleet.Server) bool {
		version, loading := pk.weightVersion(time.Time{}, sv, model)
		return version > 0 || loading
	})
}
