package zone

import (
	"math"
	"time"

	"shallotcleat/core/prefix"
)

// Limits of the share that leaves.
const (
	// interval is the time between steps of the share. Tenders report changes of the utilization every 100 ms.
	interval = 100 * time.Millisecond
	// maxSteps bounds the steps that are made up for after a time without calls.
	maxSteps = 30
	// fullExcess is the excess of the own zone's wait over the others' and half the hop at which all calls leave. The share is proportional to
	// the excess; with reports 100 to 200 ms old, queues oscillate if it is less than about 150 ms.
	fullExcess = 250 * time.Millisecond
	// maxRise and maxFall bound a step. A peak builds up within 2 to 3 s, and the share may reach 1 in that time. It falls a third as fast,
	// so that calls do not return in a burst.
	maxRise = 0.06
	maxFall = 0.02
	// maxYield bounds the fall while nothing is free elsewhere, so that calls of other zones are not delayed for long.
	maxYield = 0.05
	// briefLoss is the number of steps up to which the loss of all servers of the zone leaves no trace in the share: one failed connection
	// puts the only server of a small service in backoff for half a second, and its caches are still warm.
	briefLoss = 20
	// riseFactor and fallFactor are the part of the distance to its target that the share moves at most in one step, so that it does not
	// follow every change of the reports.
	riseFactor = 0.4
	fallFactor = 0.1
	// riseMargin and fallMargin are the hysteresis: smaller changes are ignored.
	riseMargin = 0.01
	fallMargin = 0.06
	// startFraction is the fraction of the cost of a hop by which the own zone's wait exceeds the others' on average, over startSteps, when a
	// share begins. At the full cost, gates that choose by cost alone keep the excess just below it, and no share ever began. Zones with
	// enough capacity differ by less on average.
	startFraction = 0.75
	// smoothSteps is the averaging time of the excess that the share follows, in steps.
	smoothSteps = 3
	startSteps  = 10
	// maxGuestWait is the wait in another zone at which nothing is free there; the free capacity counts in proportion below it. It is a third
	// of the time that callers of short streams allow for the first event. Engines with a load of 0.9 have reported waits of 70 to 130 ms,
	// so that a lower limit ended shares while the zones were still unequal.
	maxGuestWait = 150 * time.Millisecond
	// roomFraction is the fraction of the free capacity elsewhere that the calls added in one step may take: other zones see the same
	// capacity and may send there as well.
	roomFraction = 0.25
	// scarceRoom is the fraction of the other zones' capacity below which the share shrinks in proportion to what is free. Without it the
	// share would switch between its full size and nothing when other zones are nearly full.
	scarceRoom = 0.25
)

// Reason says why calls of a service leave their zone or stay.
type Reason string

// The reasons of a share.
const (
	// Enough means that the zone's servers are as fast as those elsewhere and the hop.
	Enough Reason = "enough"
	// Wait means that calls would wait longer in the zone than elsewhere, including the cost of the hop.
	Wait Reason = "wait"
	// NoServer means that no server of the zone takes calls.
	NoServer Reason = "no_server"
	// NothingFree means that the servers of other zones have nothing free.
	NothingFree Reason = "nothing_free"
	// Unknown means that there are no current reports.
	Unknown Reason = "unknown"
)

// Share is the share of a service's calls that leaves the zone.
type Share struct {
	fraction float64
	reason   Reason
	zones    []weightedZone
}

// weightedZone is a zone to which calls go in proportion to weight, which is what it has free.
type weightedZone struct {
	zone   string
	hash   uint64
	weight float64
}

// Fraction returns the share, from 0 to 1.
func (sh Share) Fraction() float64 { return sh.fraction }

// Reason returns why calls leave or stay.
func (sh Share) Reason() Reason { return sh.reason }

// Zones returns the zones to which calls go.
func (sh Share) Zones() []string {
	names := make([]string, 0, len(sh.zones))
	for _, wz := range sh.zones {
		names = append(names, wz.zone)
	}
	return names
}

// StayCost returns what a hop costs in addition for a call that is not part of the share. The share stands for an excess of the own zone's
// wait; calls that stay leave all the same where their wait exceeds that too.
func (sh Share) StayCost() time.Duration {
	if sh.fraction == 0 {
		return 0
	}
	return stayMargin + time.Duration(sh.fraction*float64(fullExcess))
}

// stayMargin is the difference between two servers' waits that occurs by chance.
const stayMargin = 30 * time.Millisecond

// Destination returns the zone to which a call that leaves goes. Zones are chosen in proportion to what they have free, by number, which is
// uniform in 0 to 1; if key is not zero, calls with the same key go to the same zone as far as possible. allowed limits the zones.
// It returns "" if there is none.
func (sh Share) Destination(number float64, key uint64, allowed func(zone string) bool) string {
	if key != 0 {
		return sh.byKey(key, allowed)
	}
	total := 0.0
	for _, wz := range sh.zones {
		if allowed(wz.zone) {
			total += wz.weight
		}
	}
	last := ""
	for _, wz := range sh.zones {
		if !allowed(wz.zone) {
			continue
		}
		last = wz.zone
		if number -= wz.weight / total; number < 0 {
			break
		}
	}
	return last
}

// byKey returns the zone of a key by weighted rendezvous hashing: a change of the weights moves few keys.
func (sh Share) byKey(key uint64, allowed func(zone string) bool) string {
	best, bestScore := "", math.Inf(1)
	for _, wz := range sh.zones {
		if !allowed(wz.zone) {
			continue
		}
		if score := -math.Log(Uniform(prefix.Mix(prefix.Key(key), wz.hash))) / wz.weight; score < bestScore {
			best, bestScore = wz.zone, score
		}
	}
	return best
}

// Uniform maps a hash to a number between 0 and 1, both excluded.
func Uniform(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// Split divides a share between two kinds of calls: portable ones, which lose no cached prompt prefix by leaving and are the given fraction
// of all, and others. It returns the share of each; portable calls leave first.
func Split(share, portable float64) (ofPortable, ofOthers float64) {
	if portable <= 0 {
		return share, share
	}
	ofPortable = min(share/portable, 1)
	if portable < 1 {
		ofOthers = max(share-portable*ofPortable, 0) / (1 - portable)
	}
	return ofPortable, ofOthers
}
