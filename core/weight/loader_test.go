package weight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shallotcleat/core/clock"
)

// simulation is a set of agents with their engines and the table that they share, run in virtual time.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	clock        *clock.Virtual
	slots        []Slot
	fence        uint64
	fenceVersion uint64
	// tableDown is set while the table is unavailable, and faultsEnded once no more faults are injected.
	tableDown   bool
	faultsEnded bool
	fencing     bool
	target      string
	nodes       []*simNode
	// peak is the highest number of engines that loaded at the same time.
	peak  int
	loads int
}

// simNode is an agent with its engine.
type simNode struct {
	sim         *simulation
	name        string
	incarnation uint64
	loader      *Loader
	pausedUntil time.Time

	engineIncarnation uint64
	current           string
	// loading is the version that the engine loads, or empty.
	loading   string
	lastFence uint64
	// history holds the versions that the engine has loaded since its start.
	history []string
}

// Sizes and durations of the simulations.
const (
	nodeCount        = 12
	observePeriod    = 250 * time.Millisecond
	loadDuration     = 700 * time.Millisecond
	faultDuration    = 60 * time.Second
	recoveryDuration = 90 * time.Second
	seedCount        = 60
)

func newSimulation(t *testing.T, seed uint64, limit int, fencing bool) *simulation {
	sm := &simulation{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 9)),
		clock:   clock.NewVirtual(time.Unix(1000, 0)),
		fencing: fencing,
		target:  "v1",
	}
	for i := range limit {
		sm.slots = append(sm.slots, NewSlot(i, 0, Holder{}))
	}
	for i := range nodeCount {
		nd := &simNode{sim: sm, name: fmt.Sprintf("agent-%d", i), current: "v0"}
		nd.restartAgent()
		sm.nodes = append(sm.nodes, nd)
		sm.clock.Every(observePeriod, nd.observe)
	}
	return sm
}

func (nd *simNode) restartAgent() {
	nd.incarnation++
	nd.loader = NewLoader(nd.name, nd.incarnation, nd.sim.fencing)
}

func (sm *simulation) chance(percent int) bool { return !sm.faultsEnded && sm.rng.IntN(100) < percent }

// later calls a function once after a delay of at least a millisecond.
func (sm *simulation) later(delay time.Duration, call func()) {
	sm.clock.After(max(delay, time.Millisecond), call)
}

// observe passes the state of the engine to the loader.
func (nd *simNode) observe() {
	if nd.isPaused() {
		return
	}
	nd.deliver(nd.loader, NewEngineObserved(nd.engineIncarnation, nd.current, nd.loading != "", nd.sim.target))
}

func (nd *simNode) isPaused() bool { return nd.sim.clock.Now().Before(nd.pausedUntil) }

// deliver passes an event to a loader, unless its agent has restarted since. A paused agent gets the event when it resumes.
func (nd *simNode) deliver(ld *Loader, ev Event) {
	if nd.loader != ld {
		return
	}
	if nd.isPaused() {
		nd.sim.later(nd.pausedUntil.Sub(nd.sim.clock.Now()), func() { nd.deliver(ld, ev) })
		return
	}
	for _, ef := range ld.Step(ev) {
		nd.perform(ld, ef)
	}
}

// reply delivers an event to a loader after a random network delay.
func (nd *simNode) reply(ld *Loader, ev Event) {
	delay := time.Duration(nd.sim.rng.IntN(20)+1) * time.Millisecond
	nd.sim.later(delay, func() { nd.deliver(ld, ev) })
}

func (nd *simNode) perform(ld *Loader, ef Effect) {
	sm := nd.sim
	// The agent may be paused at an effect, which delays the events that follow.
	if sm.chance(3) {
		nd.pausedUntil = sm.clock.Now().Add(time.Duration(sm.rng.IntN(5000)) * time.Millisecond)
	}
	switch ef := ef.(type) {
	case ReadSlots:
		if sm.tableDown {
			nd.reply(ld, SlotNotTaken{})
			return
		}
		nd.reply(ld, NewSlotsRead(append([]Slot(nil), sm.slots...), sm.fence, sm.fenceVersion))
	case TakeSlot:
		nd.reply(ld, sm.takeSlot(ef))
	case FreeSlot:
		sm.freeSlot(ef.Slot())
	case AskHolder:
		nd.reply(ld, sm.askHolder(ef.Holder()))
	case SendOrder:
		delay := time.Duration(sm.rng.IntN(20)) * time.Millisecond
		if sm.chance(10) {
			// The connection breaks; the order arrives late.
			delay = time.Duration(sm.rng.IntN(3000)) * time.Millisecond
			nd.reply(ld, OrderSent{})
		}
		incarnation := nd.engineIncarnation
		sm.later(delay, func() {
			if nd.engineIncarnation == incarnation {
				nd.receiveOrder(ld, ef)
			}
		})
	}
}

func (sm *simulation) takeSlot(ef TakeSlot) Event {
	if sm.tableDown {
		return SlotNotTaken{}
	}
	sl := ef.Slot()
	if sm.slots[sl.Index()].Version() != sl.Version() || sm.fenceVersion != ef.FenceVersion() {
		return SlotNotTaken{}
	}
	sm.slots[sl.Index()] = NewSlot(sl.Index(), sl.Version()+1, sl.Holder())
	sm.fence = sl.Holder().Fence()
	sm.fenceVersion++
	if sm.chance(10) {
		return SlotNotTaken{} // The write took effect, but its reply is lost.
	}
	return SlotTaken{}
}

func (sm *simulation) freeSlot(sl Slot) {
	if sm.tableDown || sm.chance(10) || sm.slots[sl.Index()].Version() != sl.Version() {
		return
	}
	sm.slots[sl.Index()] = NewSlot(sl.Index(), sl.Version()+1, Holder{})
}

func (sm *simulation) askHolder(holder Holder) Event {
	for _, nd := range sm.nodes {
		if nd.name != holder.Agent() {
			continue
		}
		if nd.isPaused() || sm.chance(10) || nd.loader.UsesSlot(holder) {
			return SlotInUse{}
		}
	}
	return SlotUnused{}
}

// receiveOrder handles the arrival of a load order at the engine.
func (nd *simNode) receiveOrder(ld *Loader, so SendOrder) {
	sm := nd.sim
	if sm.fencing && so.Fence() < nd.lastFence {
		nd.reply(ld, OrderRefused{})
		return
	}
	nd.lastFence = so.Fence()
	nd.reply(ld, OrderSent{})
	if nd.loading != "" || nd.current == so.Weights() {
		return
	}
	nd.loading = so.Weights()
	sm.loads++
	loading := 0
	for _, other := range sm.nodes {
		if other.loading != "" {
			loading++
		}
	}
	sm.peak = max(sm.peak, loading)
	incarnation := nd.engineIncarnation
	sm.later(loadDuration, func() {
		if nd.engineIncarnation != incarnation {
			return
		}
		nd.current, nd.loading = so.Weights(), ""
		nd.history = append(nd.history, nd.current)
	})
}

// injectFault injects a random fault, or none, and schedules its next call.
func (sm *simulation) injectFault() {
	if sm.faultsEnded {
		return
	}
	nd := sm.nodes[sm.rng.IntN(len(sm.nodes))]
	span := time.Duration(sm.rng.IntN(8000)) * time.Millisecond
	switch sm.rng.IntN(5) {
	case 0:
		nd.pausedUntil = sm.clock.Now().Add(span)
	case 1:
		nd.restartAgent()
	case 2:
		nd.engineIncarnation++ // The engine crashes and restarts with the weights of its image.
		nd.current, nd.loading, nd.lastFence, nd.history = "v0", "", 0, nil
	case 3:
		sm.tableDown = true
		sm.later(span/2, func() { sm.tableDown = false })
	}
	sm.later(time.Duration(sm.rng.IntN(1500))*time.Millisecond, sm.injectFault)
}

// The number of engines that load at the same time never exceeds the number of slots, despite pauses and restarts of agents,
// crashes of engines and outages of the table. Once the faults end, every engine reaches the target version, and none returns to an
// older one.
func TestLoaderNeverExceedsLoadLimit(t *testing.T) {
	t.Parallel()
	for _, limit := range []int{2, 3} {
		for _, fencing := range []bool{true, false} {
			for seed := range uint64(seedCount) {
				sm := newSimulation(t, seed, limit, fencing)
				sm.later(time.Second, sm.injectFault)
				sm.later(faultDuration/3, func() { sm.target = "v2" })
				sm.later(faultDuration/2, func() { sm.target = "v3" })
				sm.clock.Advance(faultDuration)
				sm.faultsEnded, sm.tableDown = true, false
				sm.clock.Advance(recoveryDuration)
				sm.check(seed, limit)
			}
		}
	}
}

func (sm *simulation) check(seed uint64, limit int) {
	sm.t.Helper()
	if sm.peak > limit {
		sm.t.Errorf("seed %d, fencing %t: %d engines loaded at the same time, want at most %d", seed, sm.fencing, sm.peak, limit)
	}
	for _, nd := range sm.nodes {
		if nd.current != "v3" {
			sm.t.Errorf("seed %d: %s serves %s in the end, want v3", seed, nd.name, nd.current)
		}
		for i := 1; i < len(nd.history); i++ {
			if nd.history[i] <= nd.history[i-1] {
				sm.t.Errorf("seed %d: %s went back from %s to %s", seed, nd.name, nd.history[i-1], nd.history[i])
			}
		}
	}
}
