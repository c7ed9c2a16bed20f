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
	service string
	model   string
	parts   []Part
	tokens  int
	once    bool
	// home is the hash of the last part that other calls share, or zero for calls without a prompt.
	home uint64
}

// NewCall returns a call of a service; calls without a model have no parts. Tokens is the length of the prompt, and once
// says that the call may run at most once. The last part belongs to the call itself or its conversation.
func NewCall(service, model string, parts []Part, tokens int, once bool) Call {
	cl := Call{service: service, model: model, parts: parts, tokens: tokens, once: once}
	if len(parts) > 0 {
		cl.home = xxhash.Sum64String(parts[max(len(parts)-2, 0)].id)
	}
	return cl
}

// Model returns the model of a call, or nothing for calls of plain services.
func (cl Call) Model() string { return cl.model }

// shared returns the tokens of the parts that other calls may share.
func (cl Call) shared() int {
	total := 0
	for i := 0; i+1 < len(cl.parts); i++ {
		total += cl.parts[i].tokens
	}
	return total
}

// Choice is a server for a call.
type Choice struct {
	server  *fleet.Server
	version uint64
	source  *fleet.Server
	cost    time.Duration
}

// Server returns the server to send the call to.
func (ch Choice) Server() *fleet.Server { return ch.server }

// Version returns the version of the weights that the server is believed to have, or zero if none is known.
func (ch Choice) Version() uint64 { return ch.version }

// Source returns a server from which the chosen one may copy the shared parts of the prompt, or nil.
func (ch Choice) Source() *fleet.Server { return ch.source }

// Cost returns the expected time to the answer's beginning, with the penalties that the choice weighed.
func (ch Choice) Cost() time.Duration { return ch.cost }
