package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/core/fleet"
)

// Part is a part of a prompt that engines cache as one.
type Part struct {
	id     string
	tokens int
}

// NewPart returns a part; tokens is its length.
func NewPart(id string, tokens int) Part { return Part{id: id, tokens: tokens} }

// Call is what a choice needs to know of a call.
type Call struct {
	service    string
	model      string
	tokens     int
	atMostOnce bool
	// rank is the call's urgency; 0 is the most urgent.
	priority int
	// output is the expected number of tokens of the answer, or zero.
	outputTokens int
	// keys are hashes of the prompt up to the end of each part that other calls may share; sizes are the tokens of these
	// parts. The last part belongs to the call itself or its conversation, and has none.
	keys       []uint64
	partTokens []int
}

// NewCall returns a call of a service; calls without a model have no parts. Tokens is the length of the prompt, and once says
// that the call may run at most once. Calls share cached parts with others of the same wall only; most have an empty one.
func NewCall(service, model, cacheScope string, parts []Part, tokens int, atMostOnce bool) Call {
	cl := Call{service: service, model: model, tokens: tokens, atMostOnce: atMostOnce}
	chain := model + "/" + cacheScope
	for _, pt := range parts[:max(len(parts)-1, 0)] {
		chain += "/" + pt.id
		cl.keys = append(cl.keys, xxhash.Sum64String(chain))
		cl.partTokens = append(cl.partTokens, pt.tokens)
	}
	return cl
}

// WithRank returns the call with an urgency, 0 being the most urgent; engines take more urgent calls up first.
func (cl Call) WithPriority(priority int) Call {
	cl.priority = priority
	return cl
}

// WithOutput returns the call with the expected number of tokens of its answer.
func (cl Call) WithOutput(tokens int) Call {
	cl.outputTokens = tokens
	return cl
}

// isLong reports whether the call is expected to run for long after its first event.
func (cl Call) isLong() bool { return cl.outputTokens > longOutputTokens }

// Model returns the model of a call, or nothing for calls of plain services.
func (cl Call) Model() string { return cl.model }

// Key returns the hash of the prompt up to its last shared part, or zero if there is none.
func (cl Call) Key() uint64 { return cl.affinityKey() }

// home returns the hash by which calls with the same shared parts find the same server.
func (cl Call) affinityKey() uint64 {
	if len(cl.keys) == 0 {
		return 0
	}
	return cl.keys[len(cl.keys)-1]
}

// tokensAfter returns the shared tokens behind the first parts, as many as depth.
func (cl Call) tokensAfter(depth int) int {
	total := 0
	for _, size := range cl.partTokens[depth:] {
		total += size
	}
	return total
}

// Choice is a server for a call.
type Choice struct {
	server           *fleet.Server
	version          uint64
	cacheSource      *fleet.Server
	cachedParts      int
	cost             time.Duration
	timeToFirstEvent time.Duration
	// queue is the part of wait that the calls before take.
	queueTime time.Duration
}

// Server returns the server to send the call to.
func (ch Choice) Server() *fleet.Server { return ch.server }

// Version returns the version of the weights that the server is believed to have, or zero if none is known.
func (ch Choice) Version() uint64 { return ch.version }

// Source returns a server from which the chosen one may copy the shared parts of the prompt, or nil.
func (ch Choice) CacheSource() *fleet.Server { return ch.cacheSource }

// Held returns how many shared parts of the prompt the server is believed to hold.
func (ch Choice) CachedParts() int { return ch.cachedParts }

// Wait returns the expected time until the answer begins.
func (ch Choice) TimeToFirstEvent() time.Duration { return ch.timeToFirstEvent }
