package weight

import "time"

// Times of a keeper's orders.
const (
	// answerWait is how long the effect of an order that got no answer is waited for.
	answerWait = 700 * time.Millisecond
	// firstLoad is how long a load is taken to last before one was seen.
	firstLoad = 600 * time.Millisecond
	// loadWeight is the part of the moving mean of loads that one more makes up.
	loadWeight = 0.3
)

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

// Step is what a keeper does next.
type Step interface{ isStep() }

// Rest means that there is nothing to do now.
type Rest struct{}

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
func (LoadNow) isStep() {}

// Keeper brings one engine to the newest weights; its owner serialises the calls.
type Keeper struct {
	turns  Turns
	wanted uint64
	// behind is when the engine was first seen with older weights than wanted.
	behind time.Time
	// ordered is when the last order was sent, and at which sequence.
	ordered  time.Time
	sequence uint64
	load     time.Duration
}

// NewKeeper returns a keeper that knows of no weights.
func NewKeeper() *Keeper { return &Keeper{load: firstLoad} }

// Want notes the newest weights; rank is that of this engine among the engines of its service.
func (kp *Keeper) Want(now time.Time, version uint64, engines int) {
	if version <= kp.wanted {
		return
	}
	kp.wanted = version
	kp.turns.Named(now, engines, kp.load)
}

// Wanted returns the newest version that was named, or zero.
func (kp *Keeper) Wanted() uint64 { return kp.wanted }

// Next returns what to do after a look at the engine.
func (kp *Keeper) Next(now time.Time, lk Look, rank, engines int) Step {
	if lk.version >= kp.wanted {
		kp.settle(now)
		return Rest{}
	}
	if kp.behind.IsZero() {
		kp.behind = now
	}
	switch {
	case lk.busy:
		return Rest{}
	case !kp.ordered.IsZero() && kp.sequence == lk.sequence && now.Sub(kp.ordered) < answerWait:
		return Rest{}
	case now.Before(kp.turns.Window(rank, engines, kp.load, kp.behind)):
		return Rest{}
	}
	kp.ordered, kp.sequence = now, lk.sequence
	return LoadNow{version: kp.wanted, sequence: lk.sequence}
}

// settle learns how long the load took that has ended.
func (kp *Keeper) settle(now time.Time) {
	kp.behind = time.Time{}
	if kp.ordered.IsZero() {
		return
	}
	took := now.Sub(kp.ordered)
	kp.load += time.Duration(loadWeight * float64(took-kp.load))
	kp.ordered = time.Time{}
}

// Again lets the last order be sent once more at once, since the engine has refused it.
func (kp *Keeper) Again() { kp.ordered = time.Time{} }
