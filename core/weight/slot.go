package weight

// Holder is one load of one agent.
type Holder struct {
	agent       string
	incarnation uint64
	fence       uint64
}

// NewHolder returns a holder; the incarnation is the agent's and the fence the number that its slot was taken with.
func NewHolder(agent string, incarnation, fence uint64) Holder {
	return Holder{agent: agent, incarnation: incarnation, fence: fence}
}

// Agent returns the address of the agent.
func (hd Holder) Agent() string { return hd.agent }

// Incarnation returns the agent's incarnation.
func (hd Holder) Incarnation() uint64 { return hd.incarnation }

// Fence returns the fencing number.
func (hd Holder) Fence() uint64 { return hd.fence }

// Slot is the right to load weights as its row tells it.
type Slot struct {
	index   int
	version uint64
	holder  Holder
}

// NewSlot returns a slot as read from the table; a slot without holder is free, one without version has no row yet.
func NewSlot(index int, version uint64, holder Holder) Slot {
	return Slot{index: index, version: version, holder: holder}
}

// Index returns the slot's number, from zero on.
func (sl Slot) Index() int { return sl.index }

// Version returns the table's version of the row.
func (sl Slot) Version() uint64 { return sl.version }

// Holder returns who may load; it is empty if nobody may.
func (sl Slot) Holder() Holder { return sl.holder }

// IsFree reports whether nobody holds the slot.
func (sl Slot) IsFree() bool { return sl.holder == Holder{} }
