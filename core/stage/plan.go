package stage

import (
	"math"
	"slices"
	"time"

	"shallotcleat/core/prefix"
)

// Limits of a separation of the engines of a zone.
const (
	// ChunkTokens is the number of prompt tokens that an engine prefills between two decode steps.
	ChunkTokens = 2048
	// maxShortTokens is the number of uncached tokens up to which a prompt is short: about one chunk, which delays a running stream by one
	// step only.
	maxShortTokens = ChunkTokens * 5 / 4
	// minEngines is the number of engines of a zone below which all of them do both: one engine more or less would be too large a part.
	minEngines = 6
	// maxPrefillShare bounds the engines of a zone that read long prompts, so that enough remain for streams.
	maxPrefillShare = 2.0 / 3
	// minLongShare is the part of all uncached tokens that those of long prompts must have; below it they delay few streams.
	minLongShare = 0.02
	// beginWaiting and endWaiting are the mean number of calls of an engine without an event above which a separation begins and below
	// which it ends. An engine that prefills 10 % of the time has about 0.1 of them.
	beginWaiting = 0.3
	endWaiting   = 0.1
	// waitingTimeConstant is the averaging time of the waiting calls, and mixTimeConstant that of the mix of long and short prompts. A
	// gate that takes 2 long prompts a second knows their share to about 0.05 after the latter.
	waitingTimeConstant = 3 * time.Second
	mixTimeConstant     = 30 * time.Second
	// minCalls is the number of calls, each weighted by its age, from which the mix of prompts is known.
	minCalls = 20
	// countHysteresis is how far the wanted number of engines must be from the current one for a change; each change moves prompts to
	// engines that have not cached them.
	countHysteresis = 0.75
	// rankSeed separates the ranking of engines from other rendezvous hashes of their ids.
	rankSeed = 0x7374616765
)

// Role is what an engine does for its service.
type Role int

// The roles of engines.
const (
	// Mixed engines read prompts of any length and run their streams.
	Mixed Role = iota
	// Prefill engines read long prompts.
	Prefill
	// Decode engines run streams whose prompts were read elsewhere, and read short prompts.
	Decode
)

// IsLong reports whether a prompt with a number of uncached tokens is long.
func IsLong(uncachedTokens int) bool { return uncachedTokens > maxShortTokens }

// Engine is an engine of a service as its tender reported it.
type Engine struct {
	hash    uint64
	zone    string
	waiting int
	known   bool
}

// NewEngine returns an engine that takes calls: the hash of its id, its zone, and the number of its calls without an event, which is
// ignored unless known is set.
func NewEngine(hash uint64, zone string, waiting int, known bool) Engine {
	return Engine{hash: hash, zone: zone, waiting: waiting, known: known}
}

// Planner assigns roles to the engines of one service; its owner serializes the calls. All gates get the same reports of the engines and
// about the same mix of prompts, so that their planners agree without messages, except for an engine at the border now and then.
type Planner struct {
	zones map[string]*zone
	roles map[uint64]Role
	// longTokens and shortTokens are the uncached tokens of long and short prompts, and calls their number, each weighted by age at decayedAt.
	longTokens, shortTokens, calls float64
	decayedAt                      time.Time
}

// zone is the state of the engines of one zone.
type zone struct {
	// waiting is the moving mean of the calls without an event of an engine.
	waiting   float64
	updatedAt time.Time
	separated bool
	// prefillCount is the number of engines that read long prompts.
	prefillCount int
}

// NewPlanner returns a planner that has observed nothing.
func NewPlanner() *Planner {
	return &Planner{zones: make(map[string]*zone), roles: make(map[uint64]Role)}
}

// Observe records a prompt of which an engine must prefill a number of tokens.
func (pl *Planner) Observe(now time.Time, uncachedTokens int) {
	if uncachedTokens <= 0 {
		return
	}
	pl.decay(now)
	pl.calls++
	if IsLong(uncachedTokens) {
		pl.longTokens += float64(uncachedTokens)
	} else {
		pl.shortTokens += float64(uncachedTokens)
	}
}

func (pl *Planner) decay(now time.Time) {
	factor := math.Exp(-float64(now.Sub(pl.decayedAt)) / float64(mixTimeConstant))
	pl.longTokens, pl.shortTokens, pl.calls, pl.decayedAt = pl.longTokens*factor, pl.shortTokens*factor, pl.calls*factor, now
}

// Update assigns the roles anew for the engines that take calls.
func (pl *Planner) Update(now time.Time, engines []Engine) {
	pl.decay(now)
	byZone := make(map[string][]Engine)
	for _, en := range engines {
		byZone[en.zone] = append(byZone[en.zone], en)
	}
	clear(pl.roles)
	for name, zn := range pl.zones {
		if len(byZone[name]) == 0 && now.Sub(zn.updatedAt) > mixTimeConstant {
			delete(pl.zones, name)
		}
	}
	for name, members := range byZone {
		zn, ok := pl.zones[name]
		if !ok {
			zn = &zone{updatedAt: now}
			pl.zones[name] = zn
		}
		zn.update(now, members, pl.longShare())
		if zn.separated {
			pl.assign(members, zn.prefillCount)
		}
	}
}

// longShare returns the part of all uncached tokens that belongs to long prompts, or zero if it is unknown.
func (pl *Planner) longShare() float64 {
	if pl.calls < minCalls {
		return 0
	}
	return pl.longTokens / (pl.longTokens + pl.shortTokens)
}

// update decides whether the engines of a zone are separated, and how many read long prompts: their part of the engines is that of the
// long prompts in all tokens to prefill. All engines then prefill for the same part of the time, so that prompts wait no longer than
// without a separation.
func (zn *zone) update(now time.Time, members []Engine, longShare float64) {
	waiting, known := 0, 0
	for _, en := range members {
		if en.known {
			waiting += en.waiting
			known++
		}
	}
	mean := 0.0
	if 2*known > len(members) {
		mean = float64(waiting) / float64(known)
	}
	zn.waiting += (mean - zn.waiting) * (1 - math.Exp(-float64(now.Sub(zn.updatedAt))/float64(waitingTimeConstant)))
	zn.updatedAt = now
	least := beginWaiting
	if zn.separated {
		least = endWaiting
	}
	if len(members) < minEngines || longShare < minLongShare || zn.waiting < least {
		zn.separated, zn.prefillCount = false, 0
		return
	}
	zn.separated = true
	wanted := longShare * float64(len(members))
	if zn.prefillCount == 0 || math.Abs(wanted-float64(zn.prefillCount)) > countHysteresis {
		zn.prefillCount = int(math.Round(wanted))
	}
	zn.prefillCount = min(max(zn.prefillCount, 1), int(maxPrefillShare*float64(len(members))))
}

// assign gives the engines of a zone their roles; the ranking by a hash of their ids is the same at all gates, and changes little when an
// engine comes or goes.
func (pl *Planner) assign(members []Engine, prefillCount int) {
	rank := func(en Engine) uint64 { return prefix.Mix(rankSeed, en.hash) }
	slices.SortFunc(members, func(a, b Engine) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	for i, en := range members {
		pl.roles[en.hash] = Decode
		if i < prefillCount {
			pl.roles[en.hash] = Prefill
		}
	}
}

// Role returns the role of an engine by the hash of its id.
func (pl *Planner) Role(hash uint64) Role { return pl.roles[hash] }
