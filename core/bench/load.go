package bench

import (
	"math/rand/v2"
	"time"

	"shallotcleat/core/prefix"
)

// Shape of the prompts: three nested levels and a tail that no other prompt shares.
const (
	pieceTokens           = 2000
	rootPieces            = 2
	documentPieces        = 3
	sectionPieces         = 2
	documentsPerWorkspace = 12
	sectionsPerDocument   = 8
	minTailTokens         = 100
	maxTailTokens         = 1500
	zipfExponent          = 1.1
	shortPercent          = 30
	shortOutputTokens     = 2
	meanLongOutputTokens  = 120
)

// call is one request of the load.
type request struct {
	arrival      time.Duration
	entry        int
	keys         []prefix.Key
	promptTokens int
	outputTokens int
	short        bool
	// bound is how many of the prompt's tokens were computed anywhere before.
	boundTokens int
}

// loader makes the requests of a deployment in the order of time.
type generator struct {
	rng         *rand.Rand
	dep         Deployment
	workspaces  *zipf
	documents   *zipf
	sections    *zipf
	shiftPeriod time.Duration
	entries     int
	computed    map[prefix.Key]bool
}

func newGenerator(seed uint64, dep Deployment, cond Condition) *generator {
	rng := rand.New(rand.NewPCG(seed, 7))
	return &generator{
		rng:         rng,
		dep:         dep,
		workspaces:  newZipf(rng, dep.workspaces),
		documents:   newZipf(rng, documentsPerWorkspace),
		sections:    newZipf(rng, sectionsPerDocument),
		shiftPeriod: cond.shiftPeriod,
		entries:     dep.entries,
		computed:    make(map[prefix.Key]bool),
	}
}

// next returns a request that arrives at a time.
func (gn *generator) next(at time.Duration) *request {
	workspace, document, section := gn.workspaces.draw(), gn.documents.draw(), gn.sections.draw()
	if gn.shiftPeriod > 0 {
		document = (document + int(at/gn.shiftPeriod)*5) % documentsPerWorkspace
		section = (section + int(at/gn.shiftPeriod)*3) % sectionsPerDocument
	}
	rq := &request{arrival: at, entry: gn.rng.IntN(gn.entries), outputTokens: meanLongOutputTokens/2 + gn.rng.IntN(meanLongOutputTokens)}
	rq.keys = prefixKeys(workspace, document, section)
	rq.promptTokens = len(rq.keys)*pieceTokens + minTailTokens + gn.rng.IntN(maxTailTokens-minTailTokens)
	if gn.rng.IntN(100) < shortPercent {
		rq.short = true
		rq.outputTokens = shortOutputTokens
	}
	for _, key := range rq.keys {
		if gn.computed[key] {
			rq.boundTokens += pieceTokens
		}
		gn.computed[key] = true
	}
	return rq
}

// prefixKeys returns the keys of a root, a guide and a section below it.
func prefixKeys(workspace, document, section int) []prefix.Key {
	keys := make([]prefix.Key, 0, rootPieces+documentPieces+sectionPieces)
	chain := prefix.Key(workspace + 1)
	for range rootPieces {
		chain = prefix.Key(prefix.Mix(chain, 1))
		keys = append(keys, chain)
	}
	chain = prefix.Key(prefix.Mix(chain, uint64(document+100)))
	for range documentPieces {
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
