package weight

import "time"

// answerWait is how long the effect of an order that got no answer is waited for.
const answerWait = 700 * time.Millisecond

// Look is what an engine tells of itself at one moment.
type Look struct {
	version  uint64
	busy     bool
	sequence uint64
}

// NewLook returns a look at an engine: the version of its weights, whether an order is under way, and how many orders it has
// accepted since its start.
func NewLook(version uint64, busy bool, sequence uint64) Look {
	return Look{version: version, busy: busy, sequence: sequence}
}

// Busy reports whether an order was under way.
func (lk Look) Busy() bool { return lk.busy }

// Step is what a keeper does next.
type Step interface{ isStep() }

// Rest means that there is nothing to do now.
type Rest struct{}

// AskDesk asks a desk whether the engine may load now.
type AskDesk struct{}

// LoadNow orders the engine to load weights, if it has accepted as many orders as told.
type LoadNow struct {
	version  uint64
	sequence uint64
}

// Version returns the version to load.
func (ln LoadNow) Version() uint64 { return ln.version }

// Sequence returns how many orders the engine must have accepted.
func (ln LoadNow) Sequence() uint64 { return ln.sequence }

func (Rest) isStep()    {}
func (AskDesk) isStep() {}
func (LoadNow) isStep() {}

// Keeper brings one engine to the newest weights; its owner serialises the calls.
type Keeper struct {
	wanted uint64
	// ordered is when the last order was sent, sequence the number of orders that the engine had accepted then.
	ordered  time.Time
	sequence uint64
	last     Look
}

// NewKeeper returns a keeper that knows of no weights.
func NewKeeper() *Keeper { return &Keeper{} }

// Want notes the newest weights; older ones are ignored.
func (kp *Keeper) Want(version uint64) { kp.wanted = max(kp.wanted, version) }

// Wanted returns the newest version that was named, or zero.
func (kp *Keeper) Wanted() uint64 { return kp.wanted }

// Next returns what to do after a look at the engine.
func (kp *Keeper) Next(now time.Time, lk Look) Step {
	kp.last = lk
	switch {
	case lk.version >= kp.wanted:
		kp.ordered = time.Time{}
		return Rest{}
	case lk.busy:
		return Rest{}
	case !kp.ordered.IsZero() && kp.sequence == lk.sequence && now.Sub(kp.ordered) < answerWait:
		// The order may still be on its way, or may be carried out late; the engine refuses it once it has accepted another.
		return Rest{}
	}
	return AskDesk{}
}

// Granted returns the order to send after the desk has let the engine load.
func (kp *Keeper) Granted(now time.Time) LoadNow {
	kp.ordered, kp.sequence = now, kp.last.sequence
	return LoadNow{version: kp.wanted, sequence: kp.last.sequence}
}

// Again lets the last order be sent once more at once, since the engine has refused it.
func (kp *Keeper) Again() { kp.ordered = time.Time{} }
