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
	// outPart is the divisor that gives the part of the engines that are out of service, loading or ending their calls.
	outPart = 3
	// awayPart is the divisor that gives the part of the engines that are out of service or take short calls only.
	awayPart = 2
	// shortPart is the part of the time for which old weights may be used that an engine takes short calls only, so that most of its
	// long ones end meanwhile.
	shortPart = 0.35
	// hurryPart is the part of that time after which all engines that are still behind may leave together.
	hurryPart = 0.75
	// drainLimit is how long an engine ends its calls before it loads; what still runs then is ended by the engine itself.
	drainLimit = 500 * time.Millisecond
	// askLife is how long an engine that asks counts as waiting; it asks again sooner.
	askLife = 150 * time.Millisecond
	// loadLife bounds how long a load counts without news of it.
	loadLife = 5 * time.Second
)

// ExpirySlack is how long before the end of the time for old weights the last call is expected to begin on them.
const ExpirySlack = 600 * time.Millisecond

// Ask is the wish of an engine's tender to load newer weights.
type Ask struct {
	engine  string
	service string
	zone    string
	version uint64
	running int
	// behind is how long ago the first version that the engine lacks was named.
	behind time.Duration
}

// NewAsk returns the wish of an engine of a service in an availability zone, that has a version of the weights and runs some
// calls.
func NewAsk(engine, service, zone string, version uint64, running int) Ask {
	return Ask{engine: engine, service: service, zone: zone, version: version, running: running}
}

// Behind returns the ask of an engine that lacks a version which was named some time ago.
func (ak Ask) Behind(age time.Duration) Ask {
	ak.behind = age
	return ak
}

// Engine returns the engine's id.
func (ak Ask) Engine() string { return ak.engine }

// Grant is a desk's answer to an ask.
type Grant int

// The answers to an ask.
const (
	// Stay means that the engine goes on with its weights.
	Stay Grant = iota
	// Short means that the engine takes short calls only and asks again.
	Short
	// Drain means that the engine takes no new calls and asks again.
	Drain
	// Load means that the engine loads now.
	Load
)

// Desk says which engines may load now, so that enough of them serve meanwhile and the weights' store is not shared by too
// many. Before its load an engine first takes short calls only, while its long ones end, and then none. Desks of several processes
// may each let some load; that makes loads slower and nothing else. One goroutine at a time may call it.
type Desk struct {
	// oldLimit is how long calls may begin on old weights after newer ones were named.
	oldLimit time.Duration

	waiting  map[string]place
	short    map[string]place
	draining map[string]place
	loading  map[string]place
}

// place is an engine's ask; at is when it was last heard, since when its present state began.
type place struct {
	ask   Ask
	at    time.Time
	since time.Time
}

// NewDesk returns a desk at which nobody waits; oldLimit is how long calls may begin on old weights after newer ones were named.
func NewDesk(oldLimit time.Duration) *Desk {
	return &Desk{
		oldLimit: oldLimit,

		waiting:  make(map[string]place),
		short:    make(map[string]place),
		draining: make(map[string]place),
		loading:  make(map[string]place),
	}
}

// Grant answers an ask, where the service has as many engines as given. Those with the oldest weights go first, and of them
// those in the zone that has the fewest engines out of service, those with the fewest calls first.
func (dk *Desk) Grant(now time.Time, ask Ask, engines int) Grant {
	dk.expire(now)
	delete(dk.loading, ask.engine)
	if ask.behind >= dk.oldLimit-ExpirySlack {
		// The engine serves nobody until it has loaded.
		dk.load(now, ask)
		return Load
	}
	loads := max(engines/loadsPart, leastLoad)
	if pl, ok := dk.draining[ask.engine]; ok {
		return dk.drain(now, ask, pl.since, loads)
	}
	since, ok := dk.shortSince(now, ask, engines, loads)
	if !ok {
		return Stay
	}
	if dk.out(ask.service) < max(engines/outPart, loads+1) && (ask.running == 0 || now.Sub(since) >= dk.part(shortPart)) {
		delete(dk.short, ask.engine)
		return dk.drain(now, ask, now, loads)
	}
	dk.short[ask.engine] = place{ask: ask, at: now, since: since}
	return Short
}

// shortSince returns since when an engine takes short calls only, which is now if it is its turn; ok is false if it has to wait.
func (dk *Desk) shortSince(now time.Time, ask Ask, engines, loads int) (since time.Time, ok bool) {
	if pl, ok := dk.short[ask.engine]; ok {
		return pl.since, true
	}
	dk.waiting[ask.engine] = place{ask: ask, at: now}
	away := max(engines/awayPart, loads+1)
	if ask.behind >= dk.part(hurryPart) {
		away = engines
	}
	away -= dk.out(ask.service) + count(dk.short, ask.service)
	if !dk.isNext(ask, away) {
		return time.Time{}, false
	}
	delete(dk.waiting, ask.engine)
	return now, true
}

// out returns how many engines of a service load or end their calls.
func (dk *Desk) out(service string) int {
	return count(dk.loading, service) + count(dk.draining, service)
}

// part returns a part of the time for which old weights may be used.
func (dk *Desk) part(share float64) time.Duration { return time.Duration(share * float64(dk.oldLimit)) }

// drain answers an engine that takes no new calls since a time, of whose service as many as loads may load at once.
func (dk *Desk) drain(now time.Time, ask Ask, since time.Time, loads int) Grant {
	if count(dk.loading, ask.service) < loads && (ask.running == 0 || now.Sub(since) >= drainLimit) {
		dk.load(now, ask)
		return Load
	}
	dk.draining[ask.engine] = place{ask: ask, at: now, since: since}
	return Drain
}

// isNext reports whether an engine is among the first ones that wait, as many as free.
func (dk *Desk) isNext(ask Ask, free int) bool {
	outInZone := make(map[string]int)
	for _, places := range []map[string]place{dk.short, dk.draining, dk.loading} {
		for _, pl := range places {
			if pl.ask.service == ask.service {
				outInZone[pl.ask.zone]++
			}
		}
	}
	var rivals []Ask
	for _, pl := range dk.waiting {
		if pl.ask.service == ask.service {
			rivals = append(rivals, pl.ask)
		}
	}
	for ; free > 0 && len(rivals) > 0; free-- {
		first := slices.MinFunc(rivals, func(one, other Ask) int {
			return cmp.Or(cmp.Compare(one.version, other.version), cmp.Compare(outInZone[one.zone], outInZone[other.zone]),
				cmp.Compare(one.running, other.running), cmp.Compare(one.engine, other.engine))
		})
		if first.engine == ask.engine {
			return true
		}
		outInZone[first.zone]++
		rivals = slices.DeleteFunc(rivals, func(rival Ask) bool { return rival.engine == first.engine })
	}
	return false
}

func count(places map[string]place, service string) int {
	total := 0
	for _, pl := range places {
		if pl.ask.service == service {
			total++
		}
	}
	return total
}

// OutOfService notes that an engine takes no calls. If it does not drain by this desk's answer, another desk has let
// it load.
func (dk *Desk) OutOfService(now time.Time, ask Ask) {
	if _, ok := dk.draining[ask.engine]; !ok {
		dk.load(now, ask)
	}
}

// load notes that an engine loads.
func (dk *Desk) load(now time.Time, ask Ask) {
	dk.loading[ask.engine] = place{ask: ask, at: now, since: now}
	delete(dk.waiting, ask.engine)
	delete(dk.short, ask.engine)
	delete(dk.draining, ask.engine)
}

// Loaded notes that an engine takes calls.
func (dk *Desk) Loaded(engine string) {
	delete(dk.loading, engine)
	delete(dk.draining, engine)
}

func (dk *Desk) expire(now time.Time) {
	for _, places := range []map[string]place{dk.waiting, dk.short, dk.draining} {
		for id, pl := range places {
			if now.Sub(pl.at) > askLife {
				delete(places, id)
			}
		}
	}
	for id, pl := range dk.loading {
		if now.Sub(pl.at) > loadLife {
			delete(dk.loading, id)
		}
	}
}
