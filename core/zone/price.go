package zone

import "time"

const bytesPerMegabyte = 1_000_000

// MinHopCost is the least cost of a hop to another zone: traffic between zones is billed.
const MinHopCost = 12 * time.Millisecond

// Price is the cost of a path between zones, in time: how much later a call may begin in its own zone before the hop pays. The zero Price
// has no latency and charges no bytes; a hop then costs MinHopCost.
type Price struct {
	latency     time.Duration
	perMegabyte time.Duration
}

// NewPrice returns a price: the one-way latency between zones, and the cost of a megabyte of 1,000,000 bytes.
func NewPrice(latency, perMegabyte time.Duration) Price {
	return Price{latency: latency, perMegabyte: perMegabyte}
}

// Bytes returns the cost of sending a number of bytes to another zone.
func (pr Price) Bytes(bytes float64) time.Duration {
	return time.Duration(bytes / bytesPerMegabyte * float64(pr.perMegabyte))
}

// ChargesBytes reports whether bytes have a cost.
func (pr Price) ChargesBytes() bool { return pr.perMegabyte > 0 }

// Hop returns the cost of a call to another zone whose request and response have the given size.
func (pr Price) Hop(bytes float64) time.Duration {
	return max(MinHopCost, 2*pr.latency+pr.Bytes(bytes))
}
