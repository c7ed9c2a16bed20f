package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/stage"
)

// Costs and limits of the roles of engines.
const (
	// longRoleCost is the cost of a long prompt at an engine for streams, and shortRoleCost that of a short one, which delays the streams by
	// one chunk only. In the simulation of core/stage, a lower cost for both leaves more pauses, and a higher one delays more beginnings.
	longRoleCost  = 150 * time.Millisecond
	shortRoleCost = 50 * time.Millisecond
	// rolesInterval is the time between updates of the roles; tenders report about as often.
	rolesInterval = 200 * time.Millisecond
	// destinationSample is how many engines a hand-over chooses among, at random: all gates get the same report of an idle engine.
	destinationSample = 4
	// spareSlots is how many slots of a destination must be free; other gates may use some before the next report.
	spareSlots = 2
	// spareMemoryFactor is how much more free memory than the run needs a destination must have, for the same reason.
	spareMemoryFactor = 2
)

// staging holds the roles of the engines of one service.
type staging struct {
	planner   *stage.Planner
	updatedAt time.Time
}

// SetStagedServices sets the services whose engines get roles; those of other services keep none.
func (pk *Picker) SetStagedServices(services []string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	old := pk.stagings
	pk.stagings = make(map[string]*staging, len(services))
	for _, name := range services {
		if pk.stagings[name] = old[name]; pk.stagings[name] == nil {
			pk.stagings[name] = &staging{planner: stage.NewPlanner()}
		}
	}
}

// updateRoles updates the roles of the engines of a service if it has any and the last update is rolesInterval ago. The caller holds mu.
func (pk *Picker) updateRoles(now time.Time, service string) {
	sg := pk.stagings[service]
	if sg == nil || now.Sub(sg.updatedAt) < rolesInterval {
		return
	}
	sg.updatedAt = now
	var engines []stage.Engine
	for _, sv := range pk.view.Servers(service) {
		st := pk.state(sv.ID())
		if sv.Draining() || st.replaced || st.inBackoff(now) || pk.restrictions[sv.ID()].leaving {
			continue
		}
		en := stage.NewEngine(sv.Hash(), sv.Zone())
		if ut := st.utilization; now.Sub(ut.observedAt) < utilizationTTL {
			en = en.WithReport(ut.waiting, ut.memoryTokens-ut.freeTokens, ut.memoryTokens)
		}
		engines = append(engines, en)
	}
	sg.planner.Update(now, engines)
}

// roleCost returns the cost of a call at a server whose role is to run streams that are handed over, or zero. The caller holds mu.
func (pk *Picker) roleCost(cl Call, sv *fleet.Server) time.Duration {
	sg := pk.stagings[cl.service]
	if sg == nil {
		return 0
	}
	if sg.planner.Role(sv.Hash()) == stage.Decode {
		if stage.IsLong(cl.PrefillTokens()) {
			return longRoleCost
		}
		return shortRoleCost
	}
	return 0
}

// HandOver returns an engine that is to take over a running call from its server, and the time to copy it there; ok is false if no
// hand-over pays. The call must be limited to the software version at which it began. delayed is set if its stream is delayed.
func (pk *Picker) HandOver(now time.Time, cl Call, source Choice, tm stage.Terms, delayed bool) (ch Choice, copyTime time.Duration, ok bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	sg := pk.stagings[cl.service]
	if sg == nil || !cl.pinned || source.version == 0 || pk.view.Server(source.server.ID()) == nil {
		return Choice{}, 0, false
	}
	pk.updateRoles(now, cl.service)
	role := sg.planner.Role(source.server.Hash())
	if _, stale := pk.firstMissed(cl.model, source.version); role == stage.Mixed || stale {
		return Choice{}, 0, false
	}
	st := pk.state(source.server.ID())
	ahead := st.tokensAhead(now, pk.senderCount)
	if st.utilization.waiting > 0 {
		// The last report still counts the call itself as one without an event.
		ahead = max(ahead-int(st.meanUncachedTokens), st.backlogTokens)
	}
	if role == stage.Prefill {
		// Other long prompts come while the stream runs.
		ahead += int(st.meanUncachedTokens / 2)
	}
	sourcePause := stage.Pause(ahead, st.chunkTime())
	servers := append([]*fleet.Server(nil), pk.view.Servers(cl.service)...)
	pk.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	var best Choice
	var bestCopyTime time.Duration
	considered := make(map[bool]int)
	for _, sv := range servers {
		crossZone := sv.Zone() != source.server.Zone()
		if sv.ID() == source.server.ID() || considered[crossZone] >= destinationSample || !pk.isDestination(now, cl, sv, source.version) {
			continue
		}
		considered[crossZone]++
		st := pk.state(sv.ID())
		pause, copyTime := stage.Pause(st.tokensAhead(now, pk.senderCount), st.chunkTime()), tm.CopyTime(cl.tokens, crossZone)
		if !tm.Pays(sourcePause, pause, copyTime, delayed) {
			continue
		}
		cost := pause + copyTime + time.Duration(max(st.running, st.utilization.running))*runningCallCost
		if crossZone {
			cost += pk.hopCost(cl)
		}
		if ch := (Choice{server: sv, version: source.version, cost: cost}); ch.isBetterThan(best) {
			best, bestCopyTime = ch, copyTime
		}
	}
	return best, bestCopyTime, best.server != nil
}

// isDestination reports whether a server may take over a running call that began on a version of the weights. The caller holds mu.
func (pk *Picker) isDestination(now time.Time, cl Call, sv *fleet.Server, version uint64) bool {
	st := pk.state(sv.ID())
	switch {
	case sv.Draining() || st.replaced || cl.excludes(sv) || pk.restrictions[sv.ID()].forbidsCalls(now):
		return false
	case st.consecutiveFailures > 0 || now.Before(st.rejectedUntil) || now.Before(st.shortOnlyUntil):
		return false
	case pk.stagings[cl.service].planner.Role(sv.Hash()) != stage.Decode || now.Sub(st.utilization.observedAt) >= utilizationTTL:
		return false
	case max(st.running, st.utilization.running)+spareSlots > sv.Slots():
		return false
	case st.utilization.freeTokens < spareMemoryFactor*(cl.tokens+cl.outputTokens):
		return false
	}
	if _, limited := pk.limits.Allows(now, sv.ID(), sv.StartUnixMilli()); limited {
		return false
	}
	current, loading := pk.weightVersion(now, sv, cl.model)
	return current == version && !loading
}

// chunkTime returns the time in which the server prefills one chunk of a prompt.
func (st *state) chunkTime() time.Duration {
	return time.Duration(st.slowdown * float64(prefillTime(stage.ChunkTokens, st.prefillRate)))
}
