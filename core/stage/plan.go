package stage

import (
	"cmp"
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
	// step only. Streams with short prompts are not handed over.
	maxShortTokens = ChunkTokens * 5 / 4
	// minEngines is the number of engines of a zone below which all of them do both: one engine more or less would be too large a part.
	minEngines = 6
	// minDecodeShare and maxDecodeShare bound the engines of a zone that only run streams. A decode step takes about 3 ms and a chunk 24 ms, so
	// that few engines can run the streams of all.
	minDecodeShare = 1.0 / 16
	maxDecodeShare = 1.0 / 3
	// decodeMemoryShare is the part of the memory of these engines that streams are to use, so that copies find room in a peak.
	decodeMemoryShare = 0.4
	// minLongShare is the part of all uncached tokens that those of long prompts must have; below it few streams are handed over.
	minLongShare = 0.02
	// beginWaiting and endWaiting are the mean number of calls of an engine without an event above which a separation begins and below
	// which it ends. An engine that prefills 10 % of the time has about 0.1 of them.
	beginWaiting = 0.3
	endWaiting   = 0.1
	// reportTimeConstant is the averaging time of the engines' reports, and mixTimeConstant that of the mix of long and short prompts.
	reportTimeConstant = 3 * time.Second
	mixTimeConstant    = 30 * time.Second
	// minCalls is the number of calls, each weighted by its age, from which the mix of prompts is known.
	minCalls = 20
	// rankSeed separates the ranking of engines from other rendezvous hashes of their ids.
	rankSeed = 0x7374616765
)

// Role is what an engine does for its service.
type Role int

// The roles of engines.
const (
	// Mixed engines read prompts of any length and run their streams.
	Mixed Role = iota
	// Prefill engines read prompts and hand over streams with long ones.
	Prefill
	// Decode engines run streams whose prompts were read elsewhere.
	Decode
)

// IsLong reports whether a prompt with a number of uncached tokens is long.
func IsLong(uncachedTokens int) bool { return uncachedTokens > maxShortTokens }

// Engine is an engine of a service as its tender reported it.
type Engine struct {
	hash         uint64
	zone         string
	waiting      int
	usedTokens   int
	memoryTokens int
	known        bool
}

// NewEngine returns an engine that takes calls, of which no report is known: the hash of its id and its zone.
func NewEngine(hash uint64, zone string) Engine { return Engine{hash: hash, zone: zone} }

// WithReport returns the engine with a report: the number of its calls without an event, and how much of its memory is used, in tokens.
func (en Engine) WithReport(waiting, usedTokens, memoryTokens int) Engine {
	en.waiting, en.usedTokens, en.memoryTokens, en.known = waiting, usedTokens, memoryTokens, true
	return en
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
	// waiting is the moving mean of the calls without an event of an engine, and used that of the engines whose memory streams fill.
	waiting   float64
	used      float64
	updatedAt time.Time
	separated bool
	// decodeCount is the number of engines that only run streams.
	decodeCount int
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
		rankEngines(members)
		zn.update(now, members, pl.longShare())
		if !zn.separated {
			continue
		}
		for i, en := range members {
			pl.roles[en.hash] = Prefill
			if i < zn.decodeCount {
				pl.roles[en.hash] = Decode
			}
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

// update decides whether the engines of a zone, in their order, are separated, and how many of them only run streams: enough that these
// streams use a bounded part of the engines' memory.
func (zn *zone) update(now time.Time, members []Engine, longShare float64) {
	waiting, known, used := 0, 0, 0.0
	for i, en := range members {
		if !en.known {
			continue
		}
		waiting += en.waiting
		known++
		if i < zn.decodeCount && en.memoryTokens > 0 {
			used += float64(en.usedTokens) / float64(en.memoryTokens)
		}
	}
	mean := 0.0
	if 2*known > len(members) {
		mean = float64(waiting) / float64(known)
	}
	weight := 1 - math.Exp(-float64(now.Sub(zn.updatedAt))/float64(reportTimeConstant))
	zn.waiting += (mean - zn.waiting) * weight
	zn.used += (used - zn.used) * weight
	zn.updatedAt = now
	least := beginWaiting
	if zn.separated {
		least = endWaiting
	}
	if zn.separated = len(members) >= minEngines && longShare >= minLongShare && zn.waiting >= least; !zn.separated {
		zn.decodeCount, zn.used = 0, 0
		return
	}
	fewest := max(int(math.Round(minDecodeShare*float64(len(members)))), 1)
	most := int(maxDecodeShare * float64(len(members)))
	zn.decodeCount = min(max(int(math.Ceil(zn.used/decodeMemoryShare)), fewest), most)
}

// rankEngines sorts engines by a hash of their ids, which is the same at all gates; the order changes little when an engine comes or goes.
func rankEngines(members []Engine) {
	slices.SortFunc(members, func(a, b Engine) int {
		return cmp.Compare(prefix.Mix(rankSeed, a.hash), prefix.Mix(rankSeed, b.hash))
	})
}

// Role returns the role of an engine by the hash of its id.
func (pl *Planner) Role(hash uint64) Role { return pl.roles[hash] }
