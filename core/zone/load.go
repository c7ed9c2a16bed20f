package zone

import "time"

// Limits of what a server counts for in the load of its zone.
const (
	// maxServerWait bounds the wait of one server, so that a single stalled one does not stand for its zone.
	maxServerWait = 500 * time.Millisecond
	// usableSlots is the fraction of a server's slots up to which it counts as free for calls of other zones. The rest is kept for calls
	// of its own zone that arrive before the next report.
	usableSlots = 0.75
	// defaultSlots is the assumed number of slots where it is unknown.
	defaultSlots = 16
	// scarceMemory is the fraction of free memory below which a server counts as free in part only.
	scarceMemory = 0.25
)

// Load is what is known of a service's servers in one zone.
type Load struct {
	zone string
	// usable counts the servers that take calls, and reported those of them whose reports are current.
	usable   int
	reported int
	running  int
	waitSum  time.Duration
	// capacity is the number of calls up to which the servers count as free, and free the part of it that is.
	capacity float64
	free     float64
}

// NewLoad returns the load of a zone without servers.
func NewLoad(zone string) Load { return Load{zone: zone} }

// Zone returns the name of the zone.
func (ld *Load) Zone() string { return ld.zone }

// AddUnreported adds a server that takes calls but has no current report.
func (ld *Load) AddUnreported() { ld.usable++ }

// Add adds a server that takes calls, by its report: its slots, or zero if unknown, the calls that it has accepted, the expected wait of a
// new call, the fraction of its memory that is free, and its speed relative to others.
func (ld *Load) Add(slots, running int, wait time.Duration, freeMemory, speed float64) {
	if slots <= 0 {
		slots = defaultSlots
	}
	ld.usable++
	ld.reported++
	ld.running += running
	ld.waitSum += min(max(wait, 0), maxServerWait)
	capacity := usableSlots * float64(slots)
	ld.capacity += capacity * max(speed, 0)
	ld.free += max(capacity-float64(running), 0) * min(max(freeMemory/scarceMemory, 0), 1) * max(speed, 0)
}

// isKnown reports whether the reports of most usable servers are current.
func (ld *Load) isKnown() bool { return ld.reported > 0 && 2*ld.reported >= ld.usable }

// Wait returns the mean expected wait of a new call at the servers with current reports.
func (ld *Load) Wait() time.Duration {
	if ld.reported == 0 {
		return 0
	}
	return ld.waitSum / time.Duration(ld.reported)
}

// freeForOthers returns the number of calls of other zones that the zone's servers can take without delaying those of their own zone.
func (ld *Load) freeForOthers() float64 {
	if !ld.isKnown() {
		return 0
	}
	return ld.free * max(1-float64(ld.Wait())/float64(maxGuestWait), 0)
}
