package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/prefix"
)

// nearTTL is how long after a prefill an engine in the zone of the chosen one is a better source than a later one elsewhere. In simulations of
// deployment B at a load of 0.9, a longer time loses more copies to evictions than it keeps in the zone.
const nearTTL = 4 * time.Second

// homeServer returns the server of a zone that calls with the same shared parts prefer, by rendezvous hashing, or nil if
// the call has no shared parts or the zone has no usable server. The caller holds mu.
func (pk *Picker) homeServer(now time.Time, cl Call, servers []*fleet.Server, zone string) *fleet.Server {
	if len(cl.keys) == 0 {
		return nil
	}
	var best *fleet.Server
	var bestScore uint64
	bestInRole := false
	for _, sv := range servers {
		st := pk.state(sv.ID())
		if sv.Zone() != zone || sv.Draining() || st.replaced || st.inBackoff(now) || pk.restrictions[sv.ID()].forbidsCalls(now) {
			continue
		}
		score, inRole := prefix.Mix(prefix.Key(cl.affinityKey()), sv.Hash()), pk.roleCost(cl, sv) == 0
		if best == nil || inRole && !bestInRole || inRole == bestInRole && score > bestScore {
			best, bestScore, bestInRole = sv, score, inRole
		}
	}
	return best
}

// cacheSource returns a server that is assumed to have prefilled more of the shared parts than the chosen one almost
// certainly has cached, or nil. It prefers the one with the most parts, then the one that prefilled them last, and a
// cache store to an engine that prefilled them before recentTTL. An unneeded copy costs 1 ms. The caller holds mu.
func (pk *Picker) cacheSource(now time.Time, cl Call, servers []*fleet.Server, ch Choice) *fleet.Server {
	if len(cl.keys) == 0 || ch.version == 0 {
		return nil
	}
	var best *fleet.Server
	var bestPrefilledAt time.Time
	// bestNear is set if best is in the zone of the chosen server and likely to have kept the prefix: a copy from another zone takes twice
	// as long and is billed.
	var bestNear bool
	bestDepth := pk.state(ch.server.ID()).depthSentWithin(now, cl, ch.version, freshTTL)
	cached := bestDepth
	for _, sv := range servers {
		st := pk.state(sv.ID())
		if sv == ch.server || st.consecutiveFailures > 0 || st.replaced {
			continue
		}
		if version, loading := pk.weightVersion(now, sv, cl.model); version != ch.version || loading {
			continue
		}
		depth, prefilledAt := st.prefilledDepth(now, cl, ch.version)
		near := !pk.sharesOff && sv.Zone() == ch.server.Zone() && now.Sub(prefilledAt) < nearTTL
		if depth > bestDepth || best != nil && depth == bestDepth && (near && !bestNear || near == bestNear && prefilledAt.After(bestPrefilledAt)) {
			if pk.copyPays(now, cl, ch, sv, cached, depth) {
				best, bestDepth, bestPrefilledAt, bestNear = sv, depth, prefilledAt, near
			}
		}
	}
	st := pk.cacheStore(now, cl)
	if st == nil {
		return best
	}
	saved := st.savedDepth(now, cl, ch.version)
	if (saved > bestDepth || best != nil && saved == bestDepth && now.Sub(bestPrefilledAt) > recentTTL) &&
		pk.copyPays(now, cl, ch, st.store.server, cached, saved) {
		for _, key := range cl.keys[:saved] {
			st.saved.set(now, prefixKey{key: key, version: ch.version}, now)
		}
		return st.store.server
	}
	return best
}

// copyPays reports whether copying the shared parts up to depth from another server costs less than prefilling those after the cached ones.
// Within a zone and where bytes have no price it always does.
func (pk *Picker) copyPays(now time.Time, cl Call, ch Choice, from *fleet.Server, cached, depth int) bool {
	if from.Zone() == ch.server.Zone() || !pk.price.ChargesBytes() {
		return true
	}
	tokens := cl.tokensAfter(cached) - cl.tokensAfter(max(depth, cached))
	rate := pk.prefillRate(now, ch.server, pk.state(ch.server.ID()))
	return pk.price.Bytes(float64(tokens)*float64(pk.tokenBytes[cl.service])) <= cacheMissCost(cl, tokens, false, rate)+prefillTime(tokens, rate)
}
