package weight

// Event is an input of a Loader.
type Event interface{ isEvent() }

// EngineObserved reports which weights the engine serves, whether it is loading, and which weights it should serve.
type EngineObserved struct {
	engineIncarnation uint64
	current           string
	loading           bool
	target            string
}

// NewEngineObserved returns the event of an observation of the engine. An empty target version requests no load.
func NewEngineObserved(engineIncarnation uint64, current string, loading bool, target string) EngineObserved {
	return EngineObserved{engineIncarnation: engineIncarnation, current: current, loading: loading, target: target}
}

// SlotsRead carries the slots and the last fencing number that was issued.
type SlotsRead struct {
	slots        []Slot
	fence        uint64
	fenceVersion uint64
}

// NewSlotsRead returns the event of a read of the slots; fenceVersion is the version of the fencing number's row.
func NewSlotsRead(slots []Slot, fence, fenceVersion uint64) SlotsRead {
	return SlotsRead{slots: slots, fence: fence, fenceVersion: fenceVersion}
}

// SlotUnused reports that the holder that was asked does not use its slot, or that its VM no longer exists.
type SlotUnused struct{}

// SlotInUse reports that the holder that was asked uses its slot, or does not reply.
type SlotInUse struct{}

// SlotTaken reports that the loader holds the slot.
type SlotTaken struct{}

// SlotNotTaken reports that the slots could not be read or the slot could not be taken. If the table did not reply, the write of
// the slot may have been applied all the same.
type SlotNotTaken struct{}

// OrderSent reports that the engine has answered the load order, or that it is unknown whether the engine received it.
type OrderSent struct{}

// OrderRefused reports that the engine has refused the load order, since it had received one with a higher fencing number.
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

// ReadSlots reads the slots and the last fencing number from the table.
type ReadSlots struct{}

// AskHolder asks the holder of a slot whether it uses the slot.
type AskHolder struct{ holder Holder }

// Holder returns the holder to ask.
func (ah AskHolder) Holder() Holder { return ah.holder }

// TakeSlot writes the slot's row and the fencing number's row in one transaction, if both rows are unchanged.
type TakeSlot struct {
	slot         Slot
	fenceVersion uint64
}

// Slot returns the slot with its new holder; its version is that of the row to replace.
func (ts TakeSlot) Slot() Slot { return ts.slot }

// FenceVersion returns the version of the fencing number's row to replace.
func (ts TakeSlot) FenceVersion() uint64 { return ts.fenceVersion }

// SendOrder sends the engine an order to load weights.
type SendOrder struct {
	weights string
	fence   uint64
}

// Weights returns the version to load.
func (so SendOrder) Weights() string { return so.weights }

// Fence returns the fencing number of the order.
func (so SendOrder) Fence() uint64 { return so.fence }

// FreeSlot frees the slot. If the write fails, the next loader that needs the slot asks this one whether it uses it.
type FreeSlot struct{ slot Slot }

// Slot returns the slot as it was taken.
func (fs FreeSlot) Slot() Slot { return fs.slot }

func (ReadSlots) isEffect() {}
func (AskHolder) isEffect() {}
func (TakeSlot) isEffect()  {}
func (SendOrder) isEffect() {}
func (FreeSlot) isEffect()  {}

// loaderState is the state of a Loader, named after what it waits for.
type loaderState int

const (
	stateIdle loaderState = iota
	stateReadSlots
	stateAskHolder
	stateTakeSlot
	stateSendOrder
	// stateLoading waits until the engine has loaded.
	stateLoading
)

// Loader controls the loads of one engine. Its owner serializes the calls and passes it an EngineObserved for each observation of
// the engine.
type Loader struct {
	agent       string
	incarnation uint64
	// fencing is set if the engine refuses load orders with outdated fencing numbers.
	fencing bool

	state     loaderState
	target    string
	slotsRead SlotsRead
	// askedCount is the number of slots in slotsRead whose holders have been asked.
	askedCount int
	ownSlot    Slot
	// engineIncarnation is the engine's incarnation last observed, and orderedIncarnation the one that the last order was sent to.
	engineIncarnation  uint64
	orderedIncarnation uint64
	// notLoadingCount counts the consecutive observations in which the engine was not loading. It restarts from zero after an order
	// was sent and after the slot was freed.
	notLoadingCount int
}

// Required values of Loader.notLoadingCount.
const (
	// notLoadingBeforeOrder is required before an order is sent, or sent again.
	notLoadingBeforeOrder = 4
	// notLoadingAfterRestart is required before a restarted agent reports that its engine does not load by an order of one of the
	// agent's earlier incarnations. It bounds the time that an order can be delayed on a connection that no longer exists.
	notLoadingAfterRestart = 20
)

// NewLoader returns a loader for an agent's engine; fencing is set if the engine refuses outdated fencing numbers.
func NewLoader(agent string, incarnation uint64, fencing bool) *Loader {
	return &Loader{agent: agent, incarnation: incarnation, fencing: fencing}
}

// Step handles an event and returns the effects to perform.
func (ld *Loader) Step(ev Event) []Effect {
	switch ev := ev.(type) {
	case EngineObserved:
		return ld.observe(ev)
	case SlotsRead:
		ld.slotsRead, ld.askedCount = ev, 0
		return ld.nextSlot()
	case SlotUnused:
		return ld.takeSlot(ld.slotsRead.slots[ld.askedCount-1])
	case SlotInUse:
		return ld.nextSlot()
	case SlotTaken:
		return ld.sendOrder()
	case SlotNotTaken:
		ld.state = stateIdle
		ld.ownSlot = Slot{}
	case OrderSent:
		ld.state = stateLoading
		ld.notLoadingCount = 0
	case OrderRefused:
		return ld.freeSlot()
	}
	return nil
}

// UsesSlot reports whether the engine may load under the slot of a holder, which is this agent in its current or an earlier
// incarnation. A slot of an earlier incarnation counts as used until notLoadingCount reaches notLoadingAfterRestart, since an order
// of that incarnation may still arrive.
func (ld *Loader) UsesSlot(holder Holder) bool {
	if holder.incarnation != ld.incarnation {
		return ld.notLoadingCount < notLoadingAfterRestart
	}
	return ld.ownSlot.holder == holder
}

// observe starts a load, or continues one.
func (ld *Loader) observe(eo EngineObserved) []Effect {
	ld.notLoadingCount++
	ld.engineIncarnation = eo.engineIncarnation
	if eo.loading {
		ld.notLoadingCount = 0
	}
	if ld.state == stateLoading {
		return ld.continueLoad(eo)
	}
	if ld.state != stateIdle || ld.notLoadingCount < notLoadingBeforeOrder || eo.target == "" || eo.target == eo.current {
		return nil
	}
	ld.target = eo.target
	ld.state = stateReadSlots
	return []Effect{ReadSlots{}}
}

// continueLoad frees the slot once the engine serves the ordered weights. Until then the slot is kept, even if the target version
// has changed: an abandoned order could arrive late, without a slot, and return the engine to older weights.
//
// The order is sent again only if a late copy has no effect: either the engine refuses outdated fencing numbers, or the engine
// process that the previous copy was sent to no longer exists. Otherwise the slot is kept until the engine loads or restarts.
func (ld *Loader) continueLoad(eo EngineObserved) []Effect {
	if eo.current == ld.target && !eo.loading {
		return ld.freeSlot()
	}
	if ld.notLoadingCount < notLoadingBeforeOrder || !ld.fencing && ld.engineIncarnation == ld.orderedIncarnation {
		return nil
	}
	return ld.sendOrder()
}

func (ld *Loader) sendOrder() []Effect {
	ld.state = stateSendOrder
	ld.orderedIncarnation = ld.engineIncarnation
	return []Effect{SendOrder{weights: ld.target, fence: ld.ownSlot.holder.fence}}
}

func (ld *Loader) freeSlot() []Effect {
	freed := ld.ownSlot
	ld.state, ld.ownSlot, ld.notLoadingCount = stateIdle, Slot{}, 0
	return []Effect{FreeSlot{slot: freed}}
}

// nextSlot takes the first free slot, or asks the next holder whether it uses its slot.
func (ld *Loader) nextSlot() []Effect {
	if ld.askedCount == 0 {
		for _, sl := range ld.slotsRead.slots {
			if sl.IsFree() {
				return ld.takeSlot(sl)
			}
		}
	}
	if ld.askedCount >= len(ld.slotsRead.slots) {
		ld.state = stateIdle
		return nil
	}
	sl := ld.slotsRead.slots[ld.askedCount]
	ld.askedCount++
	ld.state = stateAskHolder
	return []Effect{AskHolder{holder: sl.holder}}
}

func (ld *Loader) takeSlot(sl Slot) []Effect {
	ld.state = stateTakeSlot
	fence := ld.slotsRead.fence + 1
	holder := NewHolder(ld.agent, ld.incarnation, fence)
	// The write increments the row's version. SlotTaken confirms it, and SlotNotTaken clears ownSlot.
	ld.ownSlot = NewSlot(sl.index, sl.version+1, holder)
	return []Effect{TakeSlot{slot: NewSlot(sl.index, sl.version, holder), fenceVersion: ld.slotsRead.fenceVersion}}
}
