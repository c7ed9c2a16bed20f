package stamp

import "time"

// logicalBits is the width in bits of a stamp's counter.
const logicalBits = 16

// Stamp is a hybrid logical timestamp: Unix milliseconds in the high 48 bits and a counter in the low 16 bits.
type Stamp uint64

// Clock is a hybrid logical clock. It is not safe for concurrent use.
type Clock struct {
	last Stamp
}

// Next returns a stamp greater than every stamp issued or observed before; its time is the wall time or later.
func (cl *Clock) Next(now time.Time) Stamp {
	wall := Stamp(now.UnixMilli()) << logicalBits
	cl.last = max(cl.last+1, wall)
	return cl.last
}

// Observe records a received stamp; later calls of Next return greater stamps.
func (cl *Clock) Observe(st Stamp) {
	cl.last = max(cl.last, st)
}

// Wall returns the millisecond part of the stamp as a UTC time.
func (st Stamp) Wall() time.Time { return time.UnixMilli(int64(st >> logicalBits)).UTC() }

// Logical returns the counter part of the stamp.
func (st Stamp) Logical() uint16 { return uint16(st) }
