package weight

import "time"

// orderEffectTimeout is how long to wait for the engine to accept a load order before the load is requested again.
const orderEffectTimeout = 700 * time.Millisecond

// LoadState is what an engine reports about its weights at one moment.
type LoadState struct {
	version  uint64
	busy     bool
	sequence uint64
}

// NewLoadState returns a load state: the version of the engine's weights, whether a load order is in progress, and the number of
// load orders that the engine has accepted since its start.
func NewLoadState(version uint64, busy bool, sequence uint64) LoadState {
	return LoadState{version: version, busy: busy, sequence: sequence}
}

// Busy reports whether a load order was in progress.
func (ls LoadState) Busy() bool { return ls.busy }

// Action is what an Updater does next.
type Action interface{ isAction() }

// NoAction means that nothing is to be done now.
type NoAction struct{}

// RequestLoad asks a scheduler whether the engine may load now.
type RequestLoad struct{}

// LoadOrder orders the engine to load weights, provided that the number of load orders it has accepted is the expected one.
type LoadOrder struct {
	version  uint64
	sequence uint64
}

// Version returns the version to load.
func (lo LoadOrder) Version() uint64 { return lo.version }

// Sequence returns the number of load orders that the engine must have accepted.
func (lo LoadOrder) Sequence() uint64 { return lo.sequence }

func (NoAction) isAction()    {}
func (RequestLoad) isAction() {}
func (LoadOrder) isAction()   {}

// Updater brings one engine to the target version of its weights. Its owner serializes the calls.
type Updater struct {
	target uint64
	// orderedAt is when the last load order was sent, and sequence the number of load orders that the engine had accepted by then.
	orderedAt time.Time
	sequence  uint64
	last      LoadState
}

// NewUpdater returns an updater without a target version.
func NewUpdater() *Updater { return &Updater{} }

// SetTarget sets the target version; a version older than the present target is ignored.
func (up *Updater) SetTarget(version uint64) { up.target = max(up.target, version) }

// Target returns the target version, or zero if none was set.
func (up *Updater) Target() uint64 { return up.target }

// Next returns the action for the engine's present load state.
func (up *Updater) Next(now time.Time, ls LoadState) Action {
	up.last = ls
	switch {
	case ls.version >= up.target:
		up.orderedAt = time.Time{}
		return NoAction{}
	case ls.busy:
		return NoAction{}
	case !up.orderedAt.IsZero() && up.sequence == ls.sequence && now.Sub(up.orderedAt) < orderEffectTimeout:
		// The order may still be in flight or be executed late. Once the engine has accepted another order, it refuses this one.
		return NoAction{}
	}
	return RequestLoad{}
}

// BeginLoad returns the order to send after a scheduler has granted the load.
func (up *Updater) BeginLoad(now time.Time) LoadOrder {
	up.orderedAt, up.sequence = now, up.last.sequence
	return LoadOrder{version: up.target, sequence: up.last.sequence}
}

// RetryNow ends the wait for the effect of the last order, since the engine has refused it.
func (up *Updater) RetryNow() { up.orderedAt = time.Time{} }
