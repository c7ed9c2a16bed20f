package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/prefix"
)

// home returns the server of a zone where calls with the same shared parts meet, by rendezvous hashing; the caller holds mu.
func (pk *Picker) homeServer(now time.Time, cl Call, servers []*fleet.Server, zone string) *fleet.Server {
	if len(cl.keys) == 0 {
		return nil
	}
	var best *fleet.Server
	var bestScore uint64
	for _, sv := range servers {
		if st := pk.state(sv.ID()); sv.Zone() != zone || sv.Draining() || st.replaced || st.inBackoff(now) {
			continue
		}
		if score := prefix.Mix(prefix.Key(cl.affinityKey()), sv.Hash()); best == nil || score > bestScore {
			best, bestScore = sv, score
		}
	}
	return best
}

// source returns a server that has read more of the shared parts than the chosen one surely holds, as far as it is known; of
// several the one that had read them last. A copy that was not needed costs a millisecond. The caller holds mu.
func (pk *Picker) cacheSource(now time.Time, cl Call, servers []*fleet.Server, ch Choice) *fleet.Server {
	if len(cl.keys) == 0 || ch.version == 0 {
		return nil
	}
	var best *fleet.Server
	var bestRead time.Time
	bestDepth := pk.state(ch.server.ID()).depthSentWithin(now, cl, ch.version, freshTTL)
	for _, sv := range servers {
		st := pk.state(sv.ID())
		if sv == ch.server || st.consecutiveFailures > 0 || st.replaced {
			continue
		}
		if version, loading := pk.weightsVersion(now, sv, cl.model); version != ch.version || loading {
			continue
		}
		depth, read := st.readDepth(now, cl, ch.version)
		if depth > bestDepth || best != nil && depth == bestDepth && read.After(bestRead) {
			best, bestDepth, bestRead = sv, depth, read
		}
	}
	return best
}
