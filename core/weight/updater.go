package weight

import "time"

// answerWait is how long the effect of an order that got no answer is waited for.
const answerWait = 700 * time.Millisecond

// LoadState is what an engine tells of itself at one moment.
type LoadState struct {
	version  uint64
	busy     bool
	sequence uint64
}

// NewLoadState returns a look at an engine: the version of its weights, whether an order is under way, and how many orders it has
// accepted since its start.
func NewLoadState(version uint64, busy bool, sequence uint64) LoadState {
	return LoadState{version: version, busy: busy, sequence: sequence}
}

// Busy reports whether an order was under way.
func (ls LoadState) Busy() bool { return ls.busy }

// Action is what a keeper does next.
type Action interface{ isStep() }

// NoAction means that there is nothing to do now.
type NoAction struct{}

// RequestLoad asks a desk whether the engine may load now.
type RequestLoad struct{}

// LoadOrder orders the engine to load weights, if it has accepted as many orders as told.
type LoadOrder struct {
	version  uint64
	sequence uint64
}

// Version returns the version to load.
func (lo LoadOrder) Version() uint64 { return lo.version }

// Sequence returns how many orders the engine must have accepted.
func (lo LoadOrder) Sequence() uint64 { return lo.sequence }

func (NoAction) isStep()    {}
func (RequestLoad) isStep() {}
func (LoadOrder) isStep()   {}

// Updater brings one engine to the newest weights; its owner serialises the calls.
type Updater struct {
	wanted uint64
	// ordered is when the last order was sent, sequence the number of orders that the engine had accepted then.
	ordered  time.Time
	sequence uint64
	last     LoadState
}

// NewUpdater returns a keeper that knows of no weights.
func NewUpdater() *Updater { return &Updater{} }

// SetTarget notes the newest weights; older ones are ignored.
func (up *Updater) SetTarget(version uint64) { up.wanted = max(up.wanted, version) }

// Target returns the newest version that was named, or zero.
func (up *Updater) Target() uint64 { return up.wanted }

// Next returns what to do after a look at the engine.
func (up *Updater) Next(now time.Time, ls LoadState) Action {
	up.last = ls
	switch {
	case ls.version >= up.wanted:
		up.ordered = time.Time{}
		return NoAction{}
	case ls.busy:
		return NoAction{}
	case !up.ordered.IsZero() && up.sequence == ls.sequence && now.Sub(up.ordered) < answerWait:
		// The order may still be on its way, or may be carried out late; the engine refuses it once it has accepted another.
		return NoAction{}
	}
	return RequestLoad{}
}

// BeginLoad returns the order to send after the desk has let the engine load.
func (up *Updater) BeginLoad(now time.Time) LoadOrder {
	up.ordered, up.sequence = now, up.last.sequence
	return LoadOrder{version: up.wanted, sequence: up.last.sequence}
}

// RetryNow lets the last order be sent once more at once, since the engine has refused it.
func (up *Updater) RetryNow() { up.ordered = time.Time{} }
