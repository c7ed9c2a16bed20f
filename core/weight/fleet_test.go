package weight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotcleat/core/clock"
)

// fleet is a set of agents with their engines, and the table that they share, in virtual time.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	clock   *clock.Virtual
	slots   []Slot
	fence   uint64
	fenceV  uint64
	down    bool
	calm    bool
	fencing bool
	wanted  string
	nodes   []*node
	peak    int
	loads   int
}

// node is one agent with its engine.
type node struct {
	fleet       *fleet
	name        string
	incarnation uint64
	loader      *Loader
	pausedUntil time.Time

	// engine is the engine's incarnation.
	engine  uint64
	serves  string
	loading string
	lastFen uint64
	history []string
}

// Sizes of the fleets.
const (
	fleetNodes  = 12
	lookPeriod  = 250 * time.Millisecond
	loadTime    = 700 * time.Millisecond
	trouble     = 60 * time.Second
	afterwards  = 90 * time.Second
	fleetRounds = 60
)

func newFleet(t *testing.T, seed uint64, limit int, fencing bool) *fleet {
	fl := &fleet{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 9)),
		clock:   clock.NewVirtual(time.Unix(1000, 0)),
		fencing: fencing,
		wanted:  "v1",
	}
	for i := range limit {
		fl.slots = append(fl.slots, NewSlot(i, 0, Holder{}))
	}
	for i := range fleetNodes {
		nd := &node{fleet: fl, name: fmt.Sprintf("agent-%d", i), serves: "v0"}
		nd.rebirth()
		fl.nodes = append(fl.nodes, nd)
		fl.clock.Every(lookPeriod, nd.look)
	}
	return fl
}

func (nd *node) rebirth() {
	nd.incarnation++
	nd.loader = NewLoader(nd.name, nd.incarnation, nd.fleet.fencing)
}

func (fl *fleet) chance(percent int) bool { return !fl.calm && fl.rng.IntN(100) < percent }

// later calls a function once after a time.
func (fl *fleet) later(delay time.Duration, call func()) {
	fl.clock.After(max(delay, time.Millisecond), call)
}

// look is the agent's look at its engine.
func (nd *node) look() {
	if nd.clockPaused() {
		return
	}
	nd.feed(nd.loader, NewEngineObserved(nd.engine, nd.serves, nd.loading != "", nd.fleet.wanted))
}

func (nd *node) clockPaused() bool { return nd.fleet.clock.Now().Before(nd.pausedUntil) }

// feed gives a loader an event after a message's way, unless its process is gone by then; a paused process gets it later.
func (nd *node) feed(ld *Loader, ev Event) {
	if nd.loader != ld {
		return
	}
	if nd.clockPaused() {
		nd.fleet.later(nd.pausedUntil.Sub(nd.fleet.clock.Now()), func() { nd.feed(ld, ev) })
		return
	}
	for _, ef := range ld.Step(ev) {
		nd.perform(ld, ef)
	}
}

func (nd *node) reply(ld *Loader, ev Event) {
	delay := time.Duration(nd.fleet.rng.IntN(20)+1) * time.Millisecond
	nd.fleet.later(delay, func() { nd.feed(ld, ev) })
}

func (nd *node) perform(ld *Loader, ef Effect) {
	fl := nd.fleet
	// An effect may be late, since its process was paused just before it.
	if fl.chance(3) {
		nd.pausedUntil = fl.clock.Now().Add(time.Duration(fl.rng.IntN(5000)) * time.Millisecond)
	}
	switch ef := ef.(type) {
	case ReadSlots:
		if fl.down {
			nd.reply(ld, SlotNotTaken{})
			return
		}
		nd.reply(ld, NewSlotsRead(append([]Slot(nil), fl.slots...), fl.fence, fl.fenceV))
	case TakeSlot:
		nd.reply(ld, fl.take(ef))
	case FreeSlot:
		fl.free(ef.Slot())
	case AskHolder:
		nd.reply(ld, fl.ask(ef.Holder()))
	case SendOrder:
		late := time.Duration(fl.rng.IntN(20)) * time.Millisecond
		if fl.chance(10) {
			// The connection breaks; the order arrives late.
			late = time.Duration(fl.rng.IntN(3000)) * time.Millisecond
			nd.reply(ld, OrderSent{})
		}
		engine := nd.engine
		fl.later(late, func() {
			if nd.engine == engine {
				nd.order(ld, ef)
			}
		})
	}
}

func (fl *fleet) take(ef TakeSlot) Event {
	if fl.down {
		return SlotNotTaken{}
	}
	sl := ef.Slot()
	if fl.slots[sl.Index()].Version() != sl.Version() || fl.fenceV != ef.FenceVersion() {
		return SlotNotTaken{}
	}
	fl.slots[sl.Index()] = NewSlot(sl.Index(), sl.Version()+1, sl.Holder())
	fl.fence = sl.Holder().Fence()
	fl.fenceV++
	if fl.chance(10) {
		return SlotNotTaken{} // The reply is lost after the effect.
	}
	return SlotTaken{}
}

func (fl *fleet) free(sl Slot) {
	if fl.down || fl.chance(10) || fl.slots[sl.Index()].Version() != sl.Version() {
		return
	}
	fl.slots[sl.Index()] = NewSlot(sl.Index(), sl.Version()+1, Holder{})
}

func (fl *fleet) ask(holder Holder) Event {
	for _, nd := range fl.nodes {
		if nd.name != holder.Agent() {
			continue
		}
		if nd.clockPaused() || fl.chance(10) || nd.loader.UsesSlot(holder) {
			return SlotInUse{}
		}
	}
	return SlotUnused{}
}

// order is the order's arrival at the engine.
func (nd *node) order(ld *Loader, so SendOrder) {
	fl := nd.fleet
	if fl.fencing && so.Fence() < nd.lastFen {
		nd.reply(ld, OrderRefused{})
		return
	}
	nd.lastFen = so.Fence()
	nd.reply(ld, OrderSent{})
	if nd.loading != "" || nd.serves == so.Weights() {
		return
	}
	nd.loading = so.Weights()
	fl.loads++
	loading := 0
	for _, other := range fl.nodes {
		if other.loading != "" {
			loading++
		}
	}
	fl.peak = max(fl.peak, loading)
	engine := nd.engine
	fl.later(loadTime, func() {
		if nd.engine != engine {
			return
		}
		nd.serves, nd.loading = so.Weights(), ""
		nd.history = append(nd.history, nd.serves)
	})
}

// disturb does one thing by chance and schedules the next.
func (fl *fleet) disturb() {
	if fl.calm {
		return
	}
	nd := fl.nodes[fl.rng.IntN(len(fl.nodes))]
	span := time.Duration(fl.rng.IntN(8000)) * time.Millisecond
	switch fl.rng.IntN(5) {
	case 0:
		nd.pausedUntil = fl.clock.Now().Add(span)
	case 1:
		nd.rebirth()
	case 2:
		nd.engine++ // The engine crashes and comes back with the weights of its image.
		nd.serves, nd.loading, nd.lastFen, nd.history = "v0", "", 0, nil
	case 3:
		fl.down = true
		fl.later(span/2, func() { fl.down = false })
	}
	fl.later(time.Duration(fl.rng.IntN(1500))*time.Millisecond, fl.disturb)
}

// Never more engines load at once than there are slots, whatever happens to agents and table; when all is calm every
// engine gets what is wanted, and none has gone back.
func TestLoadsNeverPassTheLimit(t *testing.T) {
	t.Parallel()
	for _, limit := range []int{2, 3} {
		for _, fencing := range []bool{true, false} {
			for seed := range uint64(fleetRounds) {
				fl := newFleet(t, seed, limit, fencing)
				fl.later(time.Second, fl.disturb)
				fl.later(trouble/3, func() { fl.wanted = "v2" })
				fl.later(trouble/2, func() { fl.wanted = "v3" })
				fl.clock.Advance(trouble)
				fl.calm, fl.down = true, false
				fl.clock.Advance(afterwards)
				fl.check(seed, limit)
			}
		}
	}
}

func (fl *fleet) check(seed uint64, limit int) {
	fl.t.Helper()
	if fl.peak > limit {
		fl.t.Errorf("seed %d, fencing %t: %d engines loaded at once, %d may", seed, fl.fencing, fl.peak, limit)
	}
	for _, nd := range fl.nodes {
		if nd.serves != "v3" {
			fl.t.Errorf("seed %d: %s serves %s in the end", seed, nd.name, nd.serves)
		}
		for i := 1; i < len(nd.history); i++ {
			if nd.history[i] <= nd.history[i-1] {
				fl.t.Errorf("seed %d: %s went from %s to %s", seed, nd.name, nd.history[i-1], nd.history[i])
			}
		}
	}
}
