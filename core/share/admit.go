package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// beyondFraction is the part of a service's capacity up to which requests beyond their workspace's fair share are admitted. Requests come
// at random, so that full servers reject many of them before the load reaches the capacity: of 12 slots 3 % at 0.6 and 12 % at 0.8.
const beyondFraction = 0.6

// Verdict is the decision about a request.
type Verdict int

// The decisions about a request.
const (
	// Within means that the request is admitted, and that its workspace is within its fair share or there is capacity for all.
	Within Verdict = iota
	// Beyond means that the request is admitted if a server is free now: others come first where servers are full.
	Beyond
	// Refused means that the capacity does not suffice for the request.
	Refused
)

// Admit decides whether a request is among those that a service's capacity, in its unit of work per second, suffices for, if the requests
// of all gates go on as in the last seconds. draw is a random number from 0 to 1: a part of the requests of an entry is admitted.
//
// The requests of each workspace within its fair share come first, those of higher ranks before others, and then the rest, in the same order.
func (mt *Meter) Admit(now time.Time, service, workspace string, rank int, capacity, draw float64) Verdict {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	id := xxhash.Sum64String(service)
	gp, ok := mt.groups[id]
	// Recent work is a rate times the mean age of work, halfLife / ln 2.
	limit := capacity * halfLife.Seconds() / math.Ln2
	if !ok || gp.total <= beyondFraction*limit {
		return Within
	}
	if gp.admitted == nil || gp.admittedCapacity != capacity {
		gp.admitted, gp.admittedCapacity = mt.admitted(now, id, gp, limit), capacity
	}
	part, known := gp.admitted[newKey(id, xxhash.Sum64String(workspace), rank)]
	switch {
	case !known || draw < part.within:
		return Within
	case draw < part.within+part.beyond:
		return Beyond
	}
	return Refused
}

// admittedPart is the part of an entry's requests that are admitted within and beyond their workspace's fair share.
type admittedPart struct{ within, beyond float64 }

// claim is work of one entry in one class.
type claim struct {
	key    key
	amount float64
}

// admitted returns the part of each entry of a service that an amount of work suffices for. The caller holds mu.
func (mt *Meter) admitted(now time.Time, service uint64, gp *group, limit float64) map[key]admittedPart {
	var keys []key
	for _, works := range []map[key]float64{mt.own, mt.others} {
		for ky := range works {
			if ky.service == service {
				keys = append(keys, ky)
			}
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.workspace, b.workspace))
	})
	keys = slices.Compact(keys)
	within := make(map[uint8][]claim)
	beyond := make(map[uint8][]claim)
	used := make(map[uint64]float64)
	for _, ky := range keys {
		share := gp.fairShare(now, ky.workspace, min(limit, gp.total))
		part := min(mt.all(ky), max(share-used[ky.workspace], 0))
		used[ky.workspace] += part
		within[ky.rank] = append(within[ky.rank], claim{key: ky, amount: part})
		beyond[ky.rank] = append(beyond[ky.rank], claim{key: ky, amount: mt.all(ky) - part})
	}
	grantedWithin, grantedBeyond := make(map[key]float64), make(map[key]float64)
	sum := 0.0
	for _, rank := range slices.Sorted(maps.Keys(within)) {
		sum += fill(within[rank], limit-sum, grantedWithin)
	}
	for _, rank := range slices.Sorted(maps.Keys(beyond)) {
		sum += fill(beyond[rank], max(beyondFraction*limit-sum, 0), grantedBeyond)
	}
	parts := make(map[key]admittedPart, len(keys))
	for _, ky := range keys {
		if all := mt.all(ky); all > 0 {
			parts[ky] = admittedPart{within: grantedWithin[ky] / all, beyond: grantedBeyond[ky] / all}
		}
	}
	return parts
}

// fill grants the claims of one class what a limit suffices for, so that the least granted one gets as much as possible, and returns the sum.
func fill(claims []claim, limit float64, granted map[key]float64) float64 {
	sorted := slices.SortedFunc(slices.Values(claims), func(a, b claim) int { return cmp.Compare(a.amount, b.amount) })
	sum := 0.0
	for i, cl := range sorted {
		part := min(cl.amount, max(limit-sum, 0)/float64(len(sorted)-i))
		granted[cl.key] += part
		sum += part
	}
	return sum
}
