package zone

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Decider decides the share of one service's calls that leaves a zone. It is not safe for concurrent use.
type Decider struct {
	zone string
	// step is the number of the latest step, counted from the Unix epoch so that all gates step at the same times.
	step  int64
	share Share
	// meanExcess is the moving mean of the excess of the own zone's wait over the others'.
	meanExcess time.Duration
	// lostStep is the step at which the zone lost its last server, and beforeLoss the share until then.
	lostStep   int64
	beforeLoss float64
	// excess is the same over a shorter time.
	excess time.Duration
}

// NewDecider returns a decider for the calls of a zone; at first none leaves.
func NewDecider(zone string) *Decider { return &Decider{zone: zone, share: Share{reason: Unknown}} }

// IsDue reports whether the next step is due.
func (dc *Decider) IsDue(now time.Time) bool { return now.UnixNano()/int64(interval) != dc.step }

// Share returns the share as of the latest step.
func (dc *Decider) Share() Share { return dc.share }

// Update makes the steps that are due. loads are those of all zones, in the same order at all gates, and hop is the mean cost of a hop.
func (dc *Decider) Update(now time.Time, loads []Load, hop time.Duration) Share {
	step := now.UnixNano() / int64(interval)
	steps := int(min(max(step-dc.step, 0), maxSteps))
	if dc.step == 0 {
		steps = 1
	}
	dc.step = step
	own := NewLoad(dc.zone)
	for _, ld := range loads {
		if ld.zone == dc.zone {
			own = ld
		}
	}
	if own.usable == 0 {
		if dc.share.reason != NoServer {
			dc.lostStep, dc.beforeLoss = step, dc.share.fraction
		}
		if zones := dc.refuges(loads); len(zones) > 0 {
			dc.share = Share{fraction: 1, reason: NoServer, zones: zones}
		} else {
			dc.share = Share{reason: NothingFree}
		}
		return dc.share
	}
	to := dc.destinations(loads)
	target, fall, reason := 0.0, maxFall, Enough
	excess := own.Wait() - to.wait
	for range steps {
		dc.excess += (excess - dc.excess) / smoothSteps
		dc.meanExcess += (excess - dc.meanExcess) / startSteps
	}
	begins := dc.meanExcess >= time.Duration(startFraction*float64(hop))
	switch {
	case !own.isKnown():
		reason = Unknown
	case to.room <= 0:
		fall, reason = maxYield, NothingFree
	case dc.excess > hop/2 && (dc.share.fraction > 0 || begins):
		target, reason = min(float64(dc.excess-hop/2)/float64(fullExcess), 1)*min(to.room/(scarceRoom*to.capacity), 1), Wait
	}
	fraction := dc.share.fraction
	if dc.share.reason == NoServer && (step-dc.lostStep < briefLoss || !own.isKnown()) {
		// Without reports the share could not follow the servers' return.
		fraction = dc.beforeLoss
	}
	for range steps {
		fraction = next(fraction, target, min(maxRise, roomFraction*to.room/float64(max(own.running, 1))), fall)
	}
	zones := to.zones
	if len(zones) == 0 {
		zones = dc.share.zones
	}
	dc.share = Share{fraction: fraction, reason: reason, zones: zones}
	return dc.share
}

// next returns the share after one step towards target.
func next(fraction, target, maxRise, maxFall float64) float64 {
	switch {
	case target > fraction+riseMargin:
		return fraction + min(maxRise, riseFactor*(target-fraction))
	case target == 0:
		return max(fraction-maxFall, 0)
	case target < fraction-fallMargin:
		return fraction - min(maxFall, fallFactor*(fraction-target))
	}
	return fraction
}

// destinations is what is free in other zones.
type destinations struct {
	zones []weightedZone
	// room is the number of calls that the zones have free, capacity what they would have if they were idle, and wait the mean wait there.
	room     float64
	capacity float64
	wait     time.Duration
}

// destinations returns the other zones that have something free.
func (dc *Decider) destinations(loads []Load) destinations {
	var ds destinations
	waitSum := 0.0
	for _, ld := range loads {
		free := ld.freeForOthers()
		if ld.zone == dc.zone || free <= 0 {
			continue
		}
		ds.zones = append(ds.zones, newWeightedZone(ld.zone, free))
		ds.room += free
		ds.capacity += ld.capacity
		waitSum += free * float64(ld.Wait())
	}
	if ds.room > 0 {
		ds.wait = time.Duration(waitSum / ds.room)
	}
	return ds
}

// refuges returns the zones for calls of a zone without servers: those with something free, otherwise all that have servers.
func (dc *Decider) refuges(loads []Load) []weightedZone {
	zones := dc.destinations(loads).zones
	if len(zones) > 0 {
		return zones
	}
	for _, ld := range loads {
		if ld.zone != dc.zone && ld.usable > 0 {
			zones = append(zones, newWeightedZone(ld.zone, float64(ld.usable)))
		}
	}
	return zones
}

func newWeightedZone(zone string, weight float64) weightedZone {
	return weightedZone{zone: zone, hash: xxhash.Sum64String(zone), weight: weight}
}
