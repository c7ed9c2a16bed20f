package tend

import (
	"context"

	"shallotcleat/core/weight"
)

// EngineState is what a tender sees of its engine.
type EngineState struct {
	// ServerID is the engine's id, or empty if the engine did not tell it.
	ServerID string
	// StartUnixMilli is the start of the engine in milliseconds since 1970.
	StartUnixMilli int64
	Model          string
	LoadState      weight.LoadState
	// Version is that of the model's weights.
	Version uint64
	// Running counts the calls that the engine has taken up, Waiting those of them and of the others that have no event yet.
	Running int
	Waiting int
	// FreeTokens is the number of tokens for which there is memory now, MemoryTokens that for which there is any.
	FreeTokens   int
	MemoryTokens int
}

// LoadOrder is an order to load weights.
type LoadOrder struct {
	ServerID string
	Model    string
	Version  uint64
	// Holder and Fence name who may give orders; Sequence is how many orders the engine must have accepted.
	Holder   string
	Fence    uint64
	Sequence uint64
}

// Verdict is an engine's answer to an order.
type Verdict int

// The answers to an order.
const (
	// Accepted means that the order is carried out, or holds already.
	Accepted Verdict = iota
	// Busy means that another order is under way, or that more orders were accepted than expected.
	Busy
	// Fenced means that the engine has seen a later fencing number.
	Fenced
	// Refused means that the engine can't carry the order out.
	Refused
)

// String returns the verdict in a word.
func (vd Verdict) String() string {
	switch vd {
	case Accepted:
		return "accepted"
	case Busy:
		return "busy"
	case Fenced:
		return "fenced"
	default:
		return "refused"
	}
}

// Engine is the model engine beside a tender.
type Engine interface {
	// State returns the engine's state.
	State(ctx context.Context) (EngineState, error)
	// Identify returns the engine's id.
	Identify(ctx context.Context) (string, error)
	// Load gives an order. After an error it is not known whether the engine has it.
	Load(ctx context.Context, od LoadOrder) (Verdict, error)
}
