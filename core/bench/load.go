package bench

import (
	"math/rand/v2"
	"time"

	"shallotcleat/core/prefix"
)

// Shape of the prompts: three nested levels and a tail that no other prompt shares.
const (
	pieceTokens    = 2000
	rootPieces     = 2
	guidePieces    = 3
	sectionPieces  = 2
	guidesPerSpace = 12
	sections       = 8
	minTail        = 100
	maxTail        = 1500
	zipfExponent   = 1.1
	checkPercent   = 30
	checkTokens    = 2
	guideTokens    = 120
)

// call is one request of the load.
type call struct {
	at     time.Duration
	entry  int
	keys   []prefix.Key
	tokens int
	output int
	check  bool
	// bound is how many of the prompt's tokens were computed anywhere before.
	bound int
}

// loader makes the requests of a deployment in the order of time.
type loader struct {
	rng     *rand.Rand
	dep     Deployment
	spaces  *zipf
	guides  *zipf
	parts   *zipf
	shift   time.Duration
	entries int
	seen    map[prefix.Key]bool
}

func newLoader(seed uint64, dep Deployment, cond Condition) *loader {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &loader{
		rng:     rng,
		dep:     dep,
		spaces:  newZipf(rng, dep.workspaces),
		guides:  newZipf(rng, guidesPerSpace),
		parts:   newZipf(rng, sections),
		shift:   cond.shiftPeriod,
		entries: dep.entries,
		seen:    make(map[prefix.Key]bool),
	}
}

// next returns a request that arrives at a time.
func (ld *loader) next(at time.Duration) *call {
	space, guide, section := ld.spaces.draw(), ld.guides.draw(), ld.parts.draw()
	if ld.shift > 0 {
		guide = (guide + int(at/ld.shift)*5) % guidesPerSpace
		section = (section + int(at/ld.shift)*3) % sections
	}
	cl := &call{at: at, entry: ld.rng.IntN(ld.entries), output: guideTokens/2 + ld.rng.IntN(guideTokens)}
	cl.keys = prefixKeys(space, guide, section)
	cl.tokens = len(cl.keys)*pieceTokens + minTail + ld.rng.IntN(maxTail-minTail)
	if ld.rng.IntN(100) < checkPercent {
		cl.check = true
		cl.output = checkTokens
	}
	for _, key := range cl.keys {
		if ld.seen[key] {
			cl.bound += pieceTokens
		}
		ld.seen[key] = true
	}
	return cl
}

// prefixKeys returns the keys of a root, a guide and a section below it.
func prefixKeys(space, guide, section int) []prefix.Key {
	keys := make([]prefix.Key, 0, rootPieces+guidePieces+sectionPieces)
	chain := prefix.Key(space + 1)
	for range rootPieces {
		chain = prefix.Key(prefix.Mix(chain, 1))
		keys = append(keys, chain)
	}
	chain = prefix.Key(prefix.Mix(chain, uint64(guide+100)))
	for range guidePieces {
		chain = prefix.Key(prefix.Mix(chain, 2))
		keys = append(keys, chain)
	}
	chain = prefix.Key(prefix.Mix(chain, uint64(section+1000)))
	for range sectionPieces {
		chain = prefix.Key(prefix.Mix(chain, 3))
		keys = append(keys, chain)
	}
	return keys
}
