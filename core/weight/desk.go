package weight

import (
	"cmp"
	"slices"
	"time"
)

// Limits of loads at the same time.
const (
	// loadsPart is the divisor that gives the part of a service's engines that load at the same time.
	loadsPart = 5
	leastLoad = 2
	// askLife is how long an engine that asks counts as waiting; it asks again sooner.
	askLife = 150 * time.Millisecond
	// loadLife bounds how long a load counts without another word of it.
	loadLife = 5 * time.Second
)

// Ask is the wish of an engine's tender to load newer weights.
type Ask struct {
	engine  string
	service string
	zone    string
	version uint64
}

// NewAsk returns the wish of an engine of a service in an availability zone that has a version of the weights.
func NewAsk(engine, service, zone string, version uint64) Ask {
	return Ask{engine: engine, service: service, zone: zone, version: version}
}

// Engine returns the engine's id.
func (ak Ask) Engine() string { return ak.engine }

// Desk says which engines may load now, so that enough of them serve meanwhile. Desks of several processes may each let some
// load; that makes loads slower and nothing else. One goroutine at a time may call it.
type Desk struct {
	waiting map[string]waiting
	loading map[string]waiting
}

type waiting struct {
	ask Ask
	at  time.Time
}

// NewDesk returns a desk at which nobody waits.
func NewDesk() *Desk {
	return &Desk{waiting: make(map[string]waiting), loading: make(map[string]waiting)}
}

// Grant reports whether an engine may load now, where a service has as many engines as given. Those with the oldest weights
// go first, and of them those in the zone that has the fewest loads.
func (dk *Desk) Grant(now time.Time, ask Ask, engines int) bool {
	dk.expire(now)
	delete(dk.loading, ask.engine)
	dk.waiting[ask.engine] = waiting{ask: ask, at: now}
	inZone := make(map[string]int)
	free := max(engines/loadsPart, leastLoad)
	for _, wt := range dk.loading {
		if wt.ask.service == ask.service {
			free--
			inZone[wt.ask.zone]++
		}
	}
	var rivals []Ask
	for _, wt := range dk.waiting {
		if wt.ask.service == ask.service {
			rivals = append(rivals, wt.ask)
		}
	}
	for ; free > 0 && len(rivals) > 0; free-- {
		first := slices.MinFunc(rivals, func(one, other Ask) int {
			return cmp.Or(cmp.Compare(one.version, other.version), cmp.Compare(inZone[one.zone], inZone[other.zone]),
				cmp.Compare(one.engine, other.engine))
		})
		if first == ask {
			dk.Loading(now, ask)
			return true
		}
		inZone[first.zone]++
		rivals = slices.DeleteFunc(rivals, func(rival Ask) bool { return rival == first })
	}
	return false
}

// Loading notes that an engine loads.
func (dk *Desk) Loading(now time.Time, ask Ask) {
	dk.loading[ask.engine] = waiting{ask: ask, at: now}
	delete(dk.waiting, ask.engine)
}

// Loaded notes that an engine does not load any more.
func (dk *Desk) Loaded(engine string) { delete(dk.loading, engine) }

func (dk *Desk) expire(now time.Time) {
	for id, wt := range dk.waiting {
		if now.Sub(wt.at) > askLife {
			delete(dk.waiting, id)
		}
	}
	for id, wt := range dk.loading {
		if now.Sub(wt.at) > loadLife {
			delete(dk.loading, id)
		}
	}
}
