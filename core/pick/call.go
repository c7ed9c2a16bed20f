package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/scope"
)

// Part is a part of a prompt that engines cache as a unit.
type Part struct {
	id     string
	tokens int
}

// NewPart returns a part with its length in tokens.
func NewPart(id string, tokens int) Part { return Part{id: id, tokens: tokens} }

// ID returns the part's id.
func (pt Part) ID() string { return pt.id }

// Tokens returns the part's length in tokens.
func (pt Part) Tokens() int { return pt.tokens }

// Call holds the properties of a call that the choice of a server depends on.
type Call struct {
	service    string
	model      string
	tokens     int
	atMostOnce bool
	// priority is 0 for the most urgent calls.
	priority int
	// softwareVersion is the only one that servers may have if pinned is set; "" is none.
	softwareVersion string
	pinned          bool
	// resumable is set if the call is a stream that callers may take up, which needs a server whose software version is certain.
	resumable bool
	// outputTokens is the expected length of the response, or zero if unknown.
	outputTokens int
	// requestHash is a hash of the request's id, or zero if unknown, and requestBytes the size of its body.
	requestHash  uint64
	requestBytes int
	// copied is set if the server has a copy of the running call.
	copied bool
	// scope is that of the cached parts that the call may use.
	scope scope.Scope
	// keys are those of the parts that other calls may share; partTokens are the lengths of these parts. The last part of a prompt
	// belongs to the call or its conversation alone and has no key.
	keys       []uint64
	partTokens []int
}

// NewCall returns a call of a service. Calls without a model have no parts. tokens is the length of the prompt, and
// atMostOnce means that the call must not be repeated. A call shares cached parts only with calls of the same scope.
func NewCall(service, model string, sc scope.Scope, parts []Part, tokens int, atMostOnce bool) Call {
	return Call{service: service, model: model, tokens: tokens, atMostOnce: atMostOnce}.WithScope(sc, parts)
}

// WithScope returns the call with another scope; parts are those of its prompt.
func (cl Call) WithScope(sc scope.Scope, parts []Part) Call {
	cl.scope, cl.keys, cl.partTokens = sc, nil, nil
	for _, pt := range parts[:max(len(parts)-1, 0)] {
		cl.keys = append(cl.keys, sc.PartKey(cl.model, pt.id))
		cl.partTokens = append(cl.partTokens, pt.tokens)
	}
	return cl
}

// Scope returns the scope of the cached parts that the call may use.
func (cl Call) Scope() scope.Scope { return cl.scope }

// WithPriority returns the call with a priority, 0 being the most urgent; engines start more urgent calls first.
func (cl Call) WithPriority(priority int) Call {
	cl.priority = priority
	return cl
}

// WithSoftwareVersion returns the call for servers of one software version only. If that is unknown, which is "", there are none.
func (cl Call) WithSoftwareVersion(version string) Call {
	cl.softwareVersion, cl.pinned = version, true
	return cl
}

// Resumable returns the call as a stream that callers may take up: it avoids servers whose software version is not certain, or not open yet.
func (cl Call) Resumable() Call {
	cl.resumable = true
	return cl
}

// SoftwareVersion returns the only software version that servers of the call may have; pinned is false if they may have any.
func (cl Call) SoftwareVersion() (version string, pinned bool) { return cl.softwareVersion, cl.pinned }

// excludes reports whether the call must not be sent to a server because of its software version.
func (cl Call) excludes(sv *fleet.Server) bool {
	return cl.pinned && (cl.softwareVersion == "" || sv.SoftwareVersion() != cl.softwareVersion)
}

// WithOutput returns the call with the expected length of its response in tokens.
func (cl Call) WithOutput(tokens int) Call {
	cl.outputTokens = tokens
	return cl
}

// Copied returns the call as one of which its server has a copy: it prefills nothing.
func (cl Call) Copied() Call {
	cl.copied, cl.keys, cl.partTokens = true, nil, nil
	return cl
}

// IsCopied reports whether its server has a copy of the running call.
func (cl Call) IsCopied() bool { return cl.copied }

// PrefillTokens returns the number of prompt tokens that any server must prefill for the call: those that no other call shares.
func (cl Call) PrefillTokens() int { return max(cl.tokens-cl.tokensAfter(0), 0) }

// isLong reports whether the call is expected to run for long after its first event.
func (cl Call) isLong() bool { return cl.outputTokens > longOutputTokens }

// Model returns the model of the call, or "" for calls of plain services.
func (cl Call) Model() string { return cl.model }

// Key returns the key of the prompt's last shared part, or zero if there is none.
func (cl Call) Key() uint64 { return cl.affinityKey() }

// affinityKey returns the hash that maps calls with the same shared parts to the same server.
func (cl Call) affinityKey() uint64 {
	if len(cl.keys) == 0 {
		return 0
	}
	return cl.keys[len(cl.keys)-1]
}

// tokensAfter returns the number of shared tokens after the first depth parts.
func (cl Call) tokensAfter(depth int) int {
	total := 0
	for _, size := range cl.partTokens[depth:] {
		total += size
	}
	return total
}

// Choice is the server chosen for a call, with its expected costs.
type Choice struct {
	server           *fleet.Server
	version          uint64
	cacheSource      *fleet.Server
	saveStore        *storeState
	cachedParts      int
	cost             time.Duration
	timeToFirstEvent time.Duration
	// queueTime is the part of timeToFirstEvent that the call spends waiting for calls queued before it.
	queueTime time.Duration
	// limited is set if the server has a limit; slot is then the slot that was taken.
	limited bool
	slot    time.Time
	// exitReason is why the call leaves the zone, or "".
	exitReason ExitReason
}

// isBetterThan reports whether a choice costs less than another one, which may be the zero Choice.
func (ch Choice) isBetterThan(other Choice) bool { return other.server == nil || ch.cost < other.cost }

func (ch Choice) Server() *fleet.Server { return ch.server }

// WithoutCopies returns the choice without copies of cached parts.
func (ch Choice) WithoutCopies() Choice {
	ch.cacheSource, ch.saveStore = nil, nil
	return ch
}

// Version returns the weight version that the server is assumed to have, or zero if unknown.
func (ch Choice) Version() uint64 { return ch.version }

// CacheSource returns a server or cache store from which the chosen one may copy the cached shared parts of the prompt, or nil.
func (ch Choice) CacheSource() *fleet.Server { return ch.cacheSource }

// SaveAddress returns the address of the cache store to which the chosen server is to save the shared parts, or "".
func (ch Choice) SaveAddress() string {
	if ch.saveStore == nil {
		return ""
	}
	return ch.saveStore.store.server.Address()
}

// CachedParts returns how many shared parts of the prompt the server is assumed to have cached.
func (ch Choice) CachedParts() int { return ch.cachedParts }

// TimeToFirstEvent returns the expected time until the first event of the response.
func (ch Choice) TimeToFirstEvent() time.Duration { return ch.timeToFirstEvent }
