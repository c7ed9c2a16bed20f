package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/weight"
)

// Grace of older weights after newer ones were named.
const (
	// freeGrace is how long answers from older weights are as good as others.
	staleCostDelay = 1200 * time.Millisecond
	// beginSafety is how many times the expected time may pass until a call begins.
	startSafetyFactor = 3
)

// named is a version of a model's weights, and when this process learned that it was named.
type announcedVersion struct {
	version     uint64
	announcedAt time.Time
}

// namedLimit bounds the versions that are remembered for one model.
const maxAnnouncedVersions = 32

// unknownAge is how much of the limit for older weights is left after a start, when it is not known how long ago newer ones
// were named. The bounds on a VM that has just started hold again after three seconds.
const startupGrace = 2 * time.Second

// WantOld notes the newest version of a model's weights that a process finds at its start.
func (pk *Picker) InitTargetVersion(now time.Time, model string, version uint64) {
	pk.SetTargetVersion(now.Add(weight.ExpirySlack+startupGrace-pk.oldWeightsGrace), model, version)
}

// Want notes the newest version of a model's weights as it is named; older news are ignored.
func (pk *Picker) SetTargetVersion(now time.Time, model string, version uint64) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	versions := pk.targets[model]
	if len(versions) > 0 && version <= versions[len(versions)-1].version {
		return
	}
	if len(versions) == maxAnnouncedVersions {
		versions = versions[1:]
	}
	pk.targets[model] = append(versions, announcedVersion{version: version, announcedAt: now})
}

// Weights notes which version of a model's weights a server has; it only grows. While the server loads others it gets no
// calls of the model.
func (pk *Picker) SetWeights(now time.Time, id, model string, version uint64, loading bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	if version < st.weights[model].version {
		// A word from before the last load, which came late.
		return
	}
	st.weights[model] = weightsState{version: version, loading: loading, until: now.Add(loadingTTL)}
}

// ShortOnly notes whether a server should get short calls only, so that its long ones end before it loads weights.
func (pk *Picker) SetShortOnly(now time.Time, id string, short bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	until := time.Time{}
	if short {
		until = now.Add(loadingTTL)
	}
	pk.state(id).shortOnlyUntil = until
}

// version returns the version of a model's weights at a server and whether it is loading; the caller holds mu.
func (pk *Picker) weightsVersion(now time.Time, sv *fleet.Server, model string) (uint64, bool) {
	ws := pk.state(sv.ID()).weights[model]
	listed := sv.WeightVersion(model)
	if listed > ws.version {
		return listed, false
	}
	return ws.version, ws.loading && now.Before(ws.until)
}

// firstMissed returns the first version of a model's weights that was named and is newer than a given one, whatever was named since; ok
// is false if there is none. The caller holds mu.
func (pk *Picker) firstMissed(model string, version uint64) (av announcedVersion, ok bool) {
	for _, av := range pk.targets[model] {
		if av.version > version {
			return av, true
		}
	}
	return announcedVersion{}, false
}

// Behind returns how long ago the first version was named that is newer than a version of a model's weights, or zero if there is none.
func (pk *Picker) StaleFor(now time.Time, model string, version uint64) time.Duration {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if av, ok := pk.firstMissed(model, version); ok {
		return now.Sub(av.announcedAt)
	}
	return 0
}

// weightsCost returns the price of a version of the weights, and the time after which no call may begin on it, which is zero for the
// newest one; the caller holds mu.
func (pk *Picker) weightsCost(now time.Time, cl Call, version uint64) (stalePenalty time.Duration, startDeadline time.Time) {
	av, ok := pk.firstMissed(cl.model, version)
	if !ok {
		return 0, time.Time{}
	}
	if now.Sub(av.announcedAt) > staleCostDelay {
		stalePenalty = staleWeightsCost
	}
	return stalePenalty, av.announcedAt.Add(pk.oldWeightsGrace - weight.ExpirySlack)
}
