package share

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a meter.
const (
	// halfLife is the half-life of recorded work.
	halfLife = 2 * time.Second
	// decayPeriod is the time between two decays, each of which visits the gate's own entries, rebuildPeriod the time between two sums over the
	// entries of all gates: at the design size 14,000 entries, which took 0.3 s of each second when they were visited in each decay.
	decayPeriod   = halfLife / 40
	rebuildPeriod = time.Second
	// minWork is the recent work below which an entry is dropped. Work is in tokens or calls.
	minWork = 0.05
	// activeFraction is the fraction of the mean work at or above which a workspace counts as active.
	activeFraction = 0.1
	// peerTTL is the time without news of another gate after which its work does not count any more.
	peerTTL = 2 * time.Second
	// usualHalfLife is the half-life of a workspace's usual work, and minUsualTime the time of measurement before which none is known.
	usualHalfLife = 20 * time.Second
	minUsualTime  = 10 * time.Second
	// maxUsualGrowth is the factor to the usual work above which present work is not taken for usual: usual work doubles in 80 s at most.
	maxUsualGrowth = 1.25
	// notableFraction is the fraction of a gate's work at a service below which an entry is not sent to other gates.
	notableFraction = 0.01
	// maxPeers and maxPeerWork bound what is kept of other gates.
	maxPeers    = 2048
	maxPeerWork = 256
	// ranks is the number of ranks.
	ranks = 10
)

// Work is the recent work that a workspace causes at a service with requests of one rank. Services and workspaces are given by the hashes of
// their names.
type Work struct {
	key    key
	amount float64
}

type key struct {
	service, workspace uint64
	rank               uint8
}

// NewWork returns recent work: the hashes of a service and a workspace, a rank, and an amount.
func NewWork(service, workspace uint64, rank int, amount float64) Work {
	return Work{key: newKey(service, workspace, rank), amount: amount}
}

func newKey(service, workspace uint64, rank int) key {
	return key{service: service, workspace: workspace, rank: uint8(min(max(rank, 0), ranks-1))}
}

// Service returns the hash of the service's name.
func (wk Work) Service() uint64 { return wk.key.service }

// Workspace returns the hash of the workspace's name.
func (wk Work) Workspace() uint64 { return wk.key.workspace }

// Rank returns the rank of the requests, 0 being the highest.
func (wk Work) Rank() int { return int(wk.key.rank) }

// Amount returns the recent work, which halves every two seconds.
func (wk Work) Amount() float64 { return wk.amount }

// peer is the recent work at another gate, as of at.
type peer struct {
	works []Work
	at    time.Time
}

// group is the work at one service, of all gates.
type group struct {
	total       float64
	byWorkspace map[uint64]float64
	// usual holds the moving mean of the work of each workspace since since.
	usual map[uint64]float64
	since time.Time
	// share is the equal share of shareOf, or zero if it is to be computed again.
	share, shareOf float64
	// admitted holds the part of each entry that a capacity suffices for; it is computed again after each decay.
	admitted         map[key]admittedPart
	admittedCapacity float64
}

// Meter tracks the recent work of workspaces at each service, in tokens or calls; its methods may be called from any goroutine.
type Meter struct {
	// mu guards the fields below.
	mu  sync.Mutex
	own map[key]float64
	// others is the sum of what other gates have reported last. It does not decay between two reports, since their callers go on.
	others    map[key]float64
	peers     map[uint64]peer
	groups    map[uint64]*group
	decayedAt time.Time
	rebuiltAt time.Time
}

// NewMeter returns a meter without recorded work.
func NewMeter() *Meter {
	return &Meter{own: make(map[key]float64), others: make(map[key]float64), peers: make(map[uint64]peer), groups: make(map[uint64]*group)}
}

// Add adds the work of a request of this gate, in the unit of the service: tokens or calls.
func (mt *Meter) Add(now time.Time, service, workspace string, rank int, amount float64) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	ky := newKey(xxhash.Sum64String(service), xxhash.Sum64String(workspace), rank)
	mt.own[ky] += amount
	mt.addToGroup(now, ky, amount)
}

// all returns the recent work of an entry at all gates. The caller holds mu.
func (mt *Meter) all(ky key) float64 { return mt.own[ky] + mt.others[ky] }

// addToGroup adds to the work at a service. The caller holds mu.
func (mt *Meter) addToGroup(now time.Time, ky key, amount float64) {
	gp, ok := mt.groups[ky.service]
	if !ok {
		gp = &group{byWorkspace: make(map[uint64]float64), usual: make(map[uint64]float64), since: now}
		mt.groups[ky.service] = gp
	}
	gp.byWorkspace[ky.workspace] = max(gp.byWorkspace[ky.workspace]+amount, 0)
	gp.total = max(gp.total+amount, 0)
	gp.share = 0
}

// rest stands for the workspaces of a gate that do not have entries of their own in its report. Their work counts as within their shares.
const rest = 0

// Works returns the largest entries of this gate's own work, at most limit, for the other gates, and one more for the rest of each
// service.
func (mt *Meter) Works(now time.Time, limit int) []Work {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	totals := make(map[uint64]float64)
	for ky, amount := range mt.own {
		totals[ky.service] += amount
	}
	var works []Work
	for ky, amount := range mt.own {
		if amount >= notableFraction*totals[ky.service] {
			works = append(works, Work{key: ky, amount: amount})
		}
	}
	// Services have different units, so that the entries of each are compared by their part of its work.
	part := func(wk Work) float64 { return wk.amount / totals[wk.key.service] }
	slices.SortFunc(works, func(a, b Work) int { return cmp.Compare(part(b), part(a)) })
	works = works[:min(len(works), limit)]
	for _, wk := range works {
		totals[wk.key.service] -= wk.amount
	}
	for service, amount := range totals {
		if amount >= minWork {
			works = append(works, Work{key: key{service: service, workspace: rest}, amount: amount})
		}
	}
	return works
}

// Apply replaces what is known of the work at another gate. It ignores amounts that are not positive numbers, and further gates or entries
// beyond the limits.
func (mt *Meter) Apply(now time.Time, gate uint64, works []Work) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	if _, known := mt.peers[gate]; !known && len(mt.peers) >= maxPeers {
		return
	}
	mt.drop(now, gate)
	var kept []Work
	for _, wk := range works[:min(len(works), maxPeerWork)] {
		if wk.amount > 0 && !math.IsInf(wk.amount, 1) {
			kept = append(kept, wk)
			mt.others[wk.key] += wk.amount
			mt.addToGroup(now, wk.key, wk.amount)
		}
	}
	mt.peers[gate] = peer{works: kept, at: now}
}

// drop removes the work at another gate. The caller holds mu.
func (mt *Meter) drop(now time.Time, gate uint64) {
	for _, wk := range mt.peers[gate].works {
		if mt.others[wk.key] -= wk.amount; mt.others[wk.key] < minWork {
			delete(mt.others, wk.key)
		}
		mt.addToGroup(now, wk.key, -wk.amount)
	}
	delete(mt.peers, gate)
}

// FairShareRatio returns the recent work of a workspace at a service divided by its fair share; at most 1 means that it is within its
// share. All active workspaces have the same fair share, or their usual work where that is more.
func (mt *Meter) FairShareRatio(now time.Time, service, workspace string) float64 {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	gp, ok := mt.groups[xxhash.Sum64String(service)]
	if !ok || gp.total <= 0 {
		return 0
	}
	id := xxhash.Sum64String(workspace)
	return gp.byWorkspace[id] / gp.fairShare(now, id, gp.total)
}

// fairShare returns the fair share of a workspace in an amount of work. The caller holds the meter's lock.
func (gp *group) fairShare(now time.Time, workspace uint64, total float64) float64 {
	if workspace == rest {
		return math.Inf(1)
	}
	return max(gp.equalShare(total), gp.usualWork(now, workspace))
}

// usualWork returns the usual work of a workspace, or zero if it is not known yet: a workspace that floods the system as the gate starts has
// no claim to that.
func (gp *group) usualWork(now time.Time, workspace uint64) float64 {
	return gp.usual[workspace] * gp.usualCorrection(now)
}

// usualCorrection returns the factor from the moving mean to the usual work: the mean begins at zero.
func (gp *group) usualCorrection(now time.Time) float64 {
	measured := now.Sub(gp.since)
	if measured < minUsualTime {
		return 0
	}
	return 1 / (1 - decayFactor(measured, usualHalfLife))
}

// updateUsual adds the present work of each workspace to its usual work, which decays by a factor. Once that is known it grows by at most
// maxUsualGrowth, or to the mean of all, so that a flood does not become usual within its duration. The caller holds the meter's lock.
func (gp *group) updateUsual(now time.Time, factor float64) {
	correction := gp.usualCorrection(now)
	mean := 0.0
	for _, usual := range gp.usual {
		mean += usual * correction / float64(len(gp.usual))
	}
	for workspace, usual := range gp.usual {
		amount := gp.byWorkspace[workspace]
		if mean > 0 {
			amount = min(amount, max(maxUsualGrowth*usual*correction, mean))
		}
		if usual = usual*factor + amount*(1-factor); usual < minWork {
			delete(gp.usual, workspace)
		} else {
			gp.usual[workspace] = usual
		}
	}
	for workspace, amount := range gp.byWorkspace {
		if _, known := gp.usual[workspace]; !known {
			if mean > 0 {
				amount = min(amount, mean)
			}
			gp.usual[workspace] = max(amount*(1-factor), minWork)
		}
	}
}

// equalShare returns what each active workspace gets of an amount of work if all get the same. Which are active depends on that amount: next
// to the work that a flood asks for, all others would be inactive. The caller holds the meter's lock.
func (gp *group) equalShare(total float64) float64 {
	if gp.shareOf != total || gp.share == 0 {
		active := 0
		for _, work := range gp.byWorkspace {
			if work >= activeFraction*total/float64(len(gp.byWorkspace)) {
				active++
			}
		}
		gp.share, gp.shareOf = total/float64(max(active, 1)), total
	}
	return gp.share
}

func decayFactor(elapsed, half time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / half.Seconds())
}

// decay applies the half-life to this gate's own work, drops the work of gates without news, and once in rebuildPeriod sums up the work of each
// service again. The caller holds mu.
func (mt *Meter) decay(now time.Time) {
	elapsed := now.Sub(mt.decayedAt)
	if mt.decayedAt.IsZero() {
		mt.decayedAt, mt.rebuiltAt = now, now
		return
	}
	if elapsed < decayPeriod {
		return
	}
	mt.decayedAt = now
	factor := decayFactor(elapsed, halfLife)
	for ky, amount := range mt.own {
		left := amount * factor
		if left < minWork {
			left = 0
			delete(mt.own, ky)
		} else {
			mt.own[ky] = left
		}
		mt.addToGroup(now, ky, left-amount)
	}
	for gate, pr := range mt.peers {
		if now.Sub(pr.at) > peerTTL {
			mt.drop(now, gate)
		}
	}
	for _, gp := range mt.groups {
		gp.admitted = nil
	}
	if now.Sub(mt.rebuiltAt) >= rebuildPeriod {
		mt.rebuild(now)
	}
}

// rebuild sums up the work of each service and updates the usual work. The caller holds mu.
func (mt *Meter) rebuild(now time.Time) {
	usualFactor := decayFactor(now.Sub(mt.rebuiltAt), usualHalfLife)
	mt.rebuiltAt = now
	for _, gp := range mt.groups {
		gp.total, gp.share = 0, 0
		clear(gp.byWorkspace)
	}
	for _, works := range []map[key]float64{mt.own, mt.others} {
		for ky, amount := range works {
			gp := mt.groups[ky.service]
			gp.total += amount
			gp.byWorkspace[ky.workspace] += amount
		}
	}
	for service, gp := range mt.groups {
		gp.updateUsual(now, usualFactor)
		if len(gp.byWorkspace) == 0 && len(gp.usual) == 0 {
			delete(mt.groups, service)
		}
	}
}
