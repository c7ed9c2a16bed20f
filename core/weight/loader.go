package weight

// Event is an input of a Loader.
type Event interface{ isEvent() }

// EngineObserved tells what the engine serves, whether it is loading, and what it should serve.
type EngineObserved struct {
	engine  uint64
	serves  string
	loading bool
	wanted  string
}

// NewEngineObserved returns the event of a look at the engine, whose incarnation is given; an empty wanted version asks for no
// load.
func NewEngineObserved(engine uint64, serves string, loading bool, wanted string) EngineObserved {
	return EngineObserved{engine: engine, serves: serves, loading: loading, wanted: wanted}
}

// SlotsRead carries the slots and the last fencing number that was given out.
type SlotsRead struct {
	slots        []Slot
	fence        uint64
	fenceVersion uint64
}

// NewSlotsRead returns the event of the slots' rows, and of the fencing number with its row's version.
func NewSlotsRead(slots []Slot, fence, fenceVersion uint64) SlotsRead {
	return SlotsRead{slots: slots, fence: fence, fenceVersion: fenceVersion}
}

// SlotUnused says that the holder of the slot in question does not use it, or that its VM is gone.
type SlotUnused struct{}

// SlotInUse says that the holder of the slot in question uses it, or that it does not answer.
type SlotInUse struct{}

// SlotTaken says that the slot is the loader's own.
type SlotTaken struct{}

// SlotNotTaken says that the slot went to somebody else, or that the table does not answer.
type SlotNotTaken struct{}

// OrderSent says that the engine has answered the order to load, or that it is not known whether it has the order.
type OrderSent struct{}

// OrderRefused says that the engine has refused the order, since it had one with a later fencing number.
type OrderRefused struct{}

func (EngineObserved) isEvent() {}
func (SlotsRead) isEvent()      {}
func (SlotUnused) isEvent()     {}
func (SlotInUse) isEvent()      {}
func (SlotTaken) isEvent()      {}
func (SlotNotTaken) isEvent()   {}
func (OrderSent) isEvent()      {}
func (OrderRefused) isEvent()   {}

// Effect is an output of a Loader.
type Effect interface{ isEffect() }

// ReadSlots asks for the slots.
type ReadSlots struct{}

// AskHolder asks the holder of a slot whether it uses it.
type AskHolder struct{ holder Holder }

// Holder returns whom to ask.
func (ah AskHolder) Holder() Holder { return ah.holder }

// TakeSlot writes the slot's row, and the fencing number's row in the same transaction, if both are unchanged.
type TakeSlot struct {
	slot         Slot
	fenceVersion uint64
}

// Slot returns the slot with its new holder; its version is the one to replace.
func (ts TakeSlot) Slot() Slot { return ts.slot }

// FenceVersion returns the version of the fencing number's row to replace.
func (ts TakeSlot) FenceVersion() uint64 { return ts.fenceVersion }

// SendOrder orders the engine to load weights.
type SendOrder struct {
	weights string
	fence   uint64
}

// Weights returns the version to load.
func (so SendOrder) Weights() string { return so.weights }

// Fence returns the fencing number of the order.
func (so SendOrder) Fence() uint64 { return so.fence }

// FreeSlot gives the slot back; if that fails, the next who wants it asks.
type FreeSlot struct{ slot Slot }

// Slot returns the slot as it was taken.
func (fs FreeSlot) Slot() Slot { return fs.slot }

func (ReadSlots) isEffect() {}
func (AskHolder) isEffect() {}
func (TakeSlot) isEffect()  {}
func (SendOrder) isEffect() {}
func (FreeSlot) isEffect()  {}

// step is what a loader waits for.
type step int

const (
	stepIdle step = iota
	stepSlots
	stepHolder
	stepTake
	stepOrder
	// stepLoading waits until the engine has loaded.
	stepLoading
)

// Loader drives the loads of one engine; its owner serialises the calls and gives it EngineObserved at each look at the engine.
type Loader struct {
	agent       string
	incarnation uint64
	// fencing is set if the engine refuses orders with old numbers.
	fencing bool

	step   step
	wanted string
	read   SlotsRead
	// asked counts the slots of read whose holders have been asked.
	asked int
	own   Slot
	// engine is the incarnation that was last seen, and ordered the one that the present order was sent to.
	engine  uint64
	ordered uint64
	// calm counts the looks in a row at which the engine was not loading.
	calm int
}

// Looks in a row at which the engine must be seen at rest.
const (
	// calmLooks is for sending an order again.
	calmLooks = 4
	// restLooks is for a reborn agent to say that its engine does not load by its predecessor's order. It bounds the time
	// that an order can lie on a connection that is gone.
	restLooks = 20
)

// NewLoader returns a loader for an agent's engine; fencing tells whether the engine refuses old fencing numbers.
func NewLoader(agent string, incarnation uint64, fencing bool) *Loader {
	return &Loader{agent: agent, incarnation: incarnation, fencing: fencing}
}

// Step takes an event and returns the next effects.
func (ld *Loader) Step(ev Event) []Effect {
	switch ev := ev.(type) {
	case EngineObserved:
		return ld.checked(ev)
	case SlotsRead:
		ld.read, ld.asked = ev, 0
		return ld.nextSlot()
	case SlotUnused:
		return ld.take(ld.read.slots[ld.asked-1])
	case SlotInUse:
		return ld.nextSlot()
	case SlotTaken:
		return ld.order()
	case SlotNotTaken:
		ld.step = stepIdle
		ld.own = Slot{}
	case OrderSent:
		ld.step = stepLoading
		ld.calm = 0
	case OrderRefused:
		return ld.free()
	}
	return nil
}

// UsesSlot reports whether a slot of this agent is in use: the engine may load under it, by an order of this incarnation or,
// until the engine was seen at rest for some time, by one of an earlier incarnation.
func (ld *Loader) UsesSlot(holder Holder) bool {
	if holder.incarnation != ld.incarnation {
		return ld.calm < restLooks
	}
	return ld.own.holder == holder
}

// checked begins a load, or ends one.
func (ld *Loader) checked(ck EngineObserved) []Effect {
	ld.calm++
	ld.engine = ck.engine
	if ck.loading {
		ld.calm = 0
	}
	if ld.step == stepLoading {
		return ld.loaded(ck)
	}
	if ld.step != stepIdle || ld.calm < calmLooks || ck.wanted == "" || ck.wanted == ck.serves {
		return nil
	}
	ld.wanted = ck.wanted
	ld.step = stepSlots
	return []Effect{ReadSlots{}}
}

// loaded frees the slot when the engine serves what was ordered. Until then the slot is kept, even if other weights are
// wanted by now: an order that was given up could arrive late, without a slot, and bring the engine back to older weights.
//
// The same order is sent again if a copy that comes late does no harm: the engine refuses old numbers, or it is not the
// process any more that the first copy went to. Another engine keeps its slot until it loads or is reborn.
func (ld *Loader) loaded(ck EngineObserved) []Effect {
	if ck.serves == ld.wanted && !ck.loading {
		return ld.free()
	}
	if ld.calm < calmLooks || !ld.fencing && ld.engine == ld.ordered {
		return nil
	}
	return ld.order()
}

func (ld *Loader) order() []Effect {
	ld.step = stepOrder
	ld.ordered = ld.engine
	return []Effect{SendOrder{weights: ld.wanted, fence: ld.own.holder.fence}}
}

func (ld *Loader) free() []Effect {
	freed := ld.own
	ld.step, ld.own, ld.calm = stepIdle, Slot{}, 0
	return []Effect{FreeSlot{slot: freed}}
}

// nextSlot takes the first free slot, or asks the next holder whether it uses its own.
func (ld *Loader) nextSlot() []Effect {
	if ld.asked == 0 {
		for _, sl := range ld.read.slots {
			if sl.IsFree() {
				return ld.take(sl)
			}
		}
	}
	if ld.asked >= len(ld.read.slots) {
		ld.step = stepIdle
		return nil
	}
	sl := ld.read.slots[ld.asked]
	ld.asked++
	ld.step = stepHolder
	return []Effect{AskHolder{holder: sl.holder}}
}

func (ld *Loader) take(sl Slot) []Effect {
	ld.step = stepTake
	fence := ld.read.fence + 1
	holder := NewHolder(ld.agent, ld.incarnation, fence)
	// The slot's version after the write is the present one and one more; the table says so by its reply.
	ld.own = NewSlot(sl.index, sl.version+1, holder)
	return []Effect{TakeSlot{slot: NewSlot(sl.index, sl.version, holder), fenceVersion: ld.read.fenceVersion}}
}
