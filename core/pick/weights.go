package pick

import (
	"cmp"
	"slices"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/weight"
)

// Limits on the use of old weights after newer ones were announced.
const (
	// staleCostDelay is how long responses from old weights cost no more than others.
	staleCostDelay = 1200 * time.Millisecond
	// startSafetyFactor is the multiple of the expected time to the first event that must be left until startDeadline.
	startSafetyFactor = 3
	// expirySlack is how long before the end of the grace period attempts that have not begun end. It is shorter than weight.ExpirySlack, at
	// which engines are ordered to load and reject their waiting calls.
	expirySlack = 300 * time.Millisecond
)

// announcedVersion is a version of a model's weights, and when it was announced as far as this process knows.
type announcedVersion struct {
	version     uint64
	announcedAt time.Time
	// assumed is set if announcedAt is not based on an observation.
	assumed bool
}

// maxAnnouncedVersions bounds the versions that are kept for one model.
const maxAnnouncedVersions = 32

// startupGrace is how much of the grace period of old weights is left after a start, when it is unknown how long ago
// newer ones were announced. A VM must observe the limits from 3 s after its start.
const startupGrace = 2 * time.Second

// InitTargetVersion sets the target version of a model's weights that a process finds at its start.
func (pk *Picker) InitTargetVersion(now time.Time, model string, version uint64) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	announcedAt := now.Add(weight.ExpirySlack + startupGrace - pk.oldWeightsGrace)
	pk.addTarget(model, announcedVersion{version: version, announcedAt: announcedAt, assumed: true})
}

// SetTargetVersion sets the target version of a model's weights, announced at now; versions that are not newer than the
// last are ignored.
func (pk *Picker) SetTargetVersion(now time.Time, model string, version uint64) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if version > pk.target(model) {
		pk.addTarget(model, announcedVersion{version: version, announcedAt: now})
	}
}

// target returns the newest announced version of a model's weights, or zero if none is known. The caller holds mu.
func (pk *Picker) target(model string) uint64 {
	versions := pk.targets[model]
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].version
}

// addTarget adds an announced version of a model's weights. Of two observations of one announcement the earlier one holds, since a process
// may learn of it late; either replaces an assumption. The caller holds mu.
func (pk *Picker) addTarget(model string, av announcedVersion) {
	versions := pk.targets[model]
	i, found := slices.BinarySearchFunc(versions, av.version, func(known announcedVersion, version uint64) int {
		return cmp.Compare(known.version, version)
	})
	switch {
	case !found:
		versions = slices.Insert(versions, i, av)
		pk.targets[model] = versions[max(len(versions)-maxAnnouncedVersions, 0):]
	case versions[i].assumed && !av.assumed:
		versions[i] = av
	case !av.assumed && av.announcedAt.Before(versions[i].announcedAt):
		versions[i].announcedAt = av.announcedAt
	}
}

// SetWeights records the version of a model's weights at a server, as its tender reports; versions older than the known one are ignored.
// While the server loads other weights it gets no calls of the model, until loadingTTL has passed without another report.
func (pk *Picker) SetWeights(now time.Time, id, model string, version uint64, loading bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.setWeights(now, id, model, version, loading)
}

// ObserveWeights records the version of a model's weights that a response of a server names. The model is one that a caller has named: it is
// ignored unless the server's entry, its tender or an announcement names it too, so that callers cannot make the picker hold models.
func (pk *Picker) ObserveWeights(now time.Time, id, model string, version uint64) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	sv := pk.view.Server(id)
	if sv == nil {
		return
	}
	_, listed := sv.WeightVersions()[model]
	_, reported := pk.state(id).weights[model]
	if listed || reported || len(pk.targets[model]) > 0 {
		pk.setWeights(now, id, model, version, false)
	}
}

// setWeights is SetWeights; the caller holds mu.
func (pk *Picker) setWeights(now time.Time, id, model string, version uint64, loading bool) {
	st := pk.state(id)
	if version < st.weights[model].version {
		// A late report from before the last load.
		return
	}
	st.weights[model] = weightsState{version: version, loading: loading, until: now.Add(loadingTTL)}
}

// SetShortOnly records whether a server should get short calls only, so that its long ones end before it loads weights.
func (pk *Picker) SetShortOnly(now time.Time, id string, short bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	until := time.Time{}
	if short {
		until = now.Add(loadingTTL)
	}
	pk.state(id).shortOnlyUntil = until
}

// weightVersion returns the version of a model's weights at a server and whether the server is loading others. The
// caller holds mu.
func (pk *Picker) weightVersion(now time.Time, sv *fleet.Server, model string) (uint64, bool) {
	ws := pk.state(sv.ID()).weights[model]
	listed := sv.WeightVersion(model)
	if listed > ws.version {
		return listed, false
	}
	return ws.version, ws.loading && now.Before(ws.until)
}

// firstMissed returns the first announced version of a model's weights that is newer than the given one, regardless of
// later announcements; ok is false if there is none. The caller holds mu.
func (pk *Picker) firstMissed(model string, version uint64) (av announcedVersion, ok bool) {
	if version >= pk.target(model) {
		return announcedVersion{}, false
	}
	versions := pk.targets[model]
	i := slices.IndexFunc(versions, func(av announcedVersion) bool { return av.version > version })
	return versions[i], true
}

// StaleFor returns how long ago the first version newer than the given one was announced, or zero if there is none.
func (pk *Picker) StaleFor(now time.Time, model string, version uint64) time.Duration {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if av, ok := pk.firstMissed(model, version); ok {
		return now.Sub(av.announcedAt)
	}
	return 0
}

// weightsCost returns the cost of a weight version and the time after which no call may start on it, both zero for the
// newest one. The caller holds mu.
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

// ExpireAttempts calls the functions set by Attempt.OnExpiry of the attempts that have not begun on weights which may no longer be used,
// and forgets these attempts.
func (pk *Picker) ExpireAttempts(now time.Time) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	for att, onExpiry := range pk.notBegun {
		if pk.weightsExpired(now, att.model, att.version) {
			delete(pk.notBegun, att)
			onExpiry()
		}
	}
}

// WeightsExpired reports whether no call may begin on a version of a model's weights any more.
func (pk *Picker) WeightsExpired(now time.Time, model string, version uint64) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return pk.weightsExpired(now, model, version)
}

// weightsExpired is WeightsExpired; the caller holds mu.
func (pk *Picker) weightsExpired(now time.Time, model string, version uint64) bool {
	av, ok := pk.firstMissed(model, version)
	return ok && now.Sub(av.announcedAt) >= pk.oldWeightsGrace-expirySlack
}
