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

// LoadRequest is the wish of an engine's tender to load newer weights.
type LoadRequest struct {
	engine  string
	service string
	zone    string
	version uint64
	running int
	// behind is how long ago the first version that the engine lacks was named.
	behind time.Duration
}

// NewLoadRequest returns the wish of an engine of a service in an availability zone, that has a version of the weights and runs some
// calls.
func NewLoadRequest(engine, service, zone string, version uint64, running int) LoadRequest {
	return LoadRequest{engine: engine, service: service, zone: zone, version: version, running: running}
}

// WithStaleness returns the ask of an engine that lacks a version which was named some time ago.
func (lr LoadRequest) WithStaleness(age time.Duration) LoadRequest {
	lr.behind = age
	return lr
}

// Engine returns the engine's id.
func (lr LoadRequest) Engine() string { return lr.engine }

// Grant is a desk's answer to an ask.
type Grant int

// The answers to an ask.
const (
	// KeepServing means that the engine goes on with its weights.
	KeepServing Grant = iota
	// ShortOnly means that the engine takes short calls only and asks again.
	ShortOnly
	// Drain means that the engine takes no new calls and asks again.
	Drain
	// Load means that the engine loads now.
	Load
)

// Scheduler says which engines may load now, so that enough of them serve meanwhile and the weights' store is not shared by too
// many. Before its load an engine first takes short calls only, while its long ones end, and then none. Desks of several processes
// may each let some load; that makes loads slower and nothing else. One goroutine at a time may call it.
type Scheduler struct {
	// oldLimit is how long calls may begin on old weights after newer ones were named.
	oldLimit time.Duration

	waiting  map[string]place
	short    map[string]place
	draining map[string]place
	loading  map[string]place
}

// place is an engine's ask; at is when it was last heard, since when its present state began.
type place struct {
	ask   LoadRequest
	at    time.Time
	since time.Time
}

// NewScheduler returns a scheduler at which nobody waits; oldLimit is how long calls may begin on old weights after newer ones were named.
func NewScheduler(oldLimit time.Duration) *Scheduler {
	return &Scheduler{
		oldLimit: oldLimit,

		waiting:  make(map[string]place),
		short:    make(map[string]place),
		draining: make(map[string]place),
		loading:  make(map[string]place),
	}
}

// Grant answers an ask, where the service has as many engines as given. Those with the oldest weights go first, and of them
// those in the zone that has the fewest engines out of service, those with the fewest calls first.
func (sc *Scheduler) Grant(now time.Time, ask LoadRequest, engines int) Grant {
	sc.expire(now)
	delete(sc.loading, ask.engine)
	if ask.behind >= sc.oldLimit-ExpirySlack {
		// The engine serves nobody until it has loaded.
		sc.load(now, ask)
		return Load
	}
	loads := max(engines/loadsPart, leastLoad)
	if pl, ok := sc.draining[ask.engine]; ok {
		return sc.drain(now, ask, pl.since, loads)
	}
	since, ok := sc.shortSince(now, ask, engines, loads)
	if !ok {
		return KeepServing
	}
	if sc.out(ask.service) < max(engines/outPart, loads+1) && (ask.running == 0 || now.Sub(since) >= sc.part(shortPart)) {
		delete(sc.short, ask.engine)
		return sc.drain(now, ask, now, loads)
	}
	sc.short[ask.engine] = place{ask: ask, at: now, since: since}
	return ShortOnly
}

// shortSince returns since when an engine takes short calls only, which is now if it is its turn; ok is false if it has to wait.
func (sc *Scheduler) shortSince(now time.Time, ask LoadRequest, engines, loads int) (since time.Time, ok bool) {
	if pl, ok := sc.short[ask.engine]; ok {
		return pl.since, true
	}
	sc.waiting[ask.engine] = place{ask: ask, at: now}
	away := max(engines/awayPart, loads+1)
	if ask.behind >= sc.part(hurryPart) {
		away = engines
	}
	away -= sc.out(ask.service) + count(sc.short, ask.service)
	if !sc.isNext(ask, away) {
		return time.Time{}, false
	}
	delete(sc.waiting, ask.engine)
	return now, true
}

// out returns how many engines of a service load or end their calls.
func (sc *Scheduler) out(service string) int {
	return count(sc.loading, service) + count(sc.draining, service)
}

// part returns a part of the time for which old weights may be used.
func (sc *Scheduler) part(share float64) time.Duration {
	return time.Duration(share * float64(sc.oldLimit))
}

// drain answers an engine that takes no new calls since a time, of whose service as many as loads may load at once.
func (sc *Scheduler) drain(now time.Time, ask LoadRequest, since time.Time, loads int) Grant {
	if count(sc.loading, ask.service) < loads && (ask.running == 0 || now.Sub(since) >= drainLimit) {
		sc.load(now, ask)
		return Load
	}
	sc.draining[ask.engine] = place{ask: ask, at: now, since: since}
	return Drain
}

// isNext reports whether an engine is among the first ones that wait, as many as free.
func (sc *Scheduler) isNext(ask LoadRequest, free int) bool {
	outInZone := make(map[string]int)
	for _, places := range []map[string]place{sc.short, sc.draining, sc.loading} {
		for _, pl := range places {
			if pl.ask.service == ask.service {
				outInZone[pl.ask.zone]++
			}
		}
	}
	var rivals []LoadRequest
	for _, pl := range sc.waiting {
		if pl.ask.service == ask.service {
			rivals = append(rivals, pl.ask)
		}
	}
	for ; free > 0 && len(rivals) > 0; free-- {
		first := slices.MinFunc(rivals, func(one, other LoadRequest) int {
			return cmp.Or(cmp.Compare(one.version, other.version), cmp.Compare(outInZone[one.zone], outInZone[other.zone]),
				cmp.Compare(one.running, other.running), cmp.Compare(one.engine, other.engine))
		})
		if first.engine == ask.engine {
			return true
		}
		outInZone[first.zone]++
		rivals = slices.DeleteFunc(rivals, func(rival LoadRequest) bool { return rival.engine == first.engine })
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

// MarkOutOfService notes that an engine takes no calls. If it does not drain by this desk's answer, another desk has let
// it load.
func (sc *Scheduler) MarkOutOfService(now time.Time, ask LoadRequest) {
	if _, ok := sc.draining[ask.engine]; !ok {
		sc.load(now, ask)
	}
}

// load notes that an engine loads.
func (sc *Scheduler) load(now time.Time, ask LoadRequest) {
	sc.loading[ask.engine] = place{ask: ask, at: now, since: now}
	delete(sc.waiting, ask.engine)
	delete(sc.short, ask.engine)
	delete(sc.draining, ask.engine)
}

// MarkInService notes that an engine takes calls.
func (sc *Scheduler) MarkInService(engine string) {
	delete(sc.loading, engine)
	delete(sc.draining, engine)
}

func (sc *Scheduler) expire(now time.Time) {
	for _, places := range []map[string]place{sc.waiting, sc.short, sc.draining} {
		for id, pl := range places {
			if now.Sub(pl.at) > askLife {
				delete(places, id)
			}
		}
	}
	for id, pl := range sc.loading {
		if now.Sub(pl.at) > loadLife {
			delete(sc.loading, id)
		}
	}
}
