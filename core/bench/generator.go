package bench

import (
	"math/rand/v2"
	"time"

	"shallotcleat/core/prefix"
)

// Shape of the requests. A prompt consists of the root of its workspace, a document, a section of the document, and a
// tail that no other prompt shares. Lengths are in pieces or tokens.
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

// request is one generated request.
type request struct {
	arrival      time.Duration
	entry        int
	keys         []prefix.Key
	promptTokens int
	outputTokens int
	short        bool
	// boundTokens is the number of prompt tokens in pieces that also occurred, after the same prefix, in an earlier
	// request, on whichever engine.
	boundTokens int
}

// generator generates the requests of a deployment in order of arrival.
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

// next returns the next request, which arrives at the given time.
func (gn *generator) next(at time.Duration) *request {
	workspace, document, section := gn.workspaces.draw(), gn.documents.draw(), gn.sections.draw()
	if gn.shiftPeriod > 0 {
		document = (document + int(at/gn.shiftPeriod)*5) % documentsPerWorkspace
		section = (section + int(at/gn.shiftPeriod)*3) % sectionsPerDocument
	}
	rq := &request{
		arrival:      at,
		entry:        gn.rng.IntN(gn.entries),
		outputTokens: meanLongOutputTokens/2 + gn.rng.IntN(meanLongOutputTokens)}
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

// prefixKeys returns the prefix keys of a workspace's root, a document and a section of it.
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
