package tend

import (
	"context"
	"time"

	"shallotcleat/core/speed"
	"shallotcleat/core/weight"
)

// EngineState is the state of an engine as its tender observes it.
type EngineState struct {
	// ServerID is the engine's id, or empty if the engine did not report it.
	ServerID string
	// StartUnixMilli is when the engine started, in Unix milliseconds.
	StartUnixMilli int64
	Model          string
	LoadState      weight.LoadState
	// Version is the version of the model's weights.
	Version uint64
	// Running is the number of calls that the engine has started. Waiting is the number of calls, started or not, that have produced
	// no event yet.
	Running int
	Waiting int
	// FreeTokens is the number of tokens that fit into the engine's free memory, MemoryTokens the number that fit into all of it.
	FreeTokens   int
	MemoryTokens int
	// Runs are the calls that the engine runs. RunsKnown is not set if the engine did not report them, or not in the expected form.
	Runs      []speed.Run
	RunsKnown bool
}

// LoadOrder is an order to an engine to load weights.
type LoadOrder struct {
	ServerID string
	Model    string
	Version  uint64
	// Holder and Fence identify the sender, which must be the engine's present holder. Sequence is the number of orders that the
	// engine must have accepted.
	Holder   string
	Fence    uint64
	Sequence uint64
}

// Verdict is an engine's answer to a load order.
type Verdict int

// The answers to a load order.
const (
	// Accepted means that the engine carries out the order, or already has the ordered version.
	Accepted Verdict = iota
	// Busy means that another order is in progress, or that the engine has accepted more orders than expected.
	Busy
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
	// Refused means that the engine cannot carry out the order.
	Refused
)

// String returns the verdict as it is written to logs and metrics.
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

// Engine is a client of the model engine on the same VM.
type Engine interface {
	// State returns the engine's state.
	State(ctx context.Context) (EngineState, error)
	// Identify returns the engine's id.
	Identify(ctx context.Context) (string, error)
	// CacheEvents returns the events of the engine's cache since a position, zero for the first one. It waits for some up to the given time.
	CacheEvents(ctx context.Context, position uint64, wait time.Duration) (CacheEvents, error)
	// Load sends a load order. After an error it is unknown whether the engine received the order.
	Load(ctx context.Context, order LoadOrder) (Verdict, error)
}
