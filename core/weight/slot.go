package weight

// Holder identifies one load by one agent.
type Holder struct {
	agent       string
	incarnation uint64
	fence       uint64
}

// NewHolder returns a holder with the agent's address and incarnation, and the fencing number with which its slot was taken.
func NewHolder(agent string, incarnation, fence uint64) Holder {
	return Holder{agent: agent, incarnation: incarnation, fence: fence}
}

// Agent returns the address of the agent.
func (hd Holder) Agent() string { return hd.agent }

// Incarnation returns the agent's incarnation.
func (hd Holder) Incarnation() uint64 { return hd.incarnation }

// Fence returns the fencing number.
func (hd Holder) Fence() uint64 { return hd.fence }

// Slot is the right to load weights, as stored in its row of the table.
type Slot struct {
	index   int
	version uint64
	holder  Holder
}

// NewSlot returns a slot as read from the table; a slot without a holder is free, and a slot with version zero has no row yet.
func NewSlot(index int, version uint64, holder Holder) Slot {
	return Slot{index: index, version: version, holder: holder}
}

// Index returns the slot's zero-based index.
func (sl Slot) Index() int { return sl.index }

// Version returns the table's version of the row.
func (sl Slot) Version() uint64 { return sl.version }

// Holder returns the holder of the slot; it is the zero Holder if the slot is free.
func (sl Slot) Holder() Holder { return sl.holder }

// IsFree reports whether the slot has no holder.
func (sl Slot) IsFree() bool { return sl.holder == Holder{} }
