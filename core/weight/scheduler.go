package weight

import (
	"cmp"
	"slices"
	"time"
)

// Limits for the engines of a service. The divisors divide the number of its engines; the limits for engines out of service and for
// restricted engines are at least one higher than that for loading engines.
const (
	// loadingDivisor gives the number of engines that may load at the same time; at least minLoading may.
	loadingDivisor = 5
	minLoading     = 2
	// outOfServiceDivisor gives the number of engines that may be out of service (drain or load) at the same time.
	outOfServiceDivisor = 3
	// restrictedDivisor gives the number of engines that may be restricted (take short calls only, drain or load) at the same time.
	restrictedDivisor = 2
	// shortOnlyFraction is the fraction of the grace period of old weights for which an engine takes short calls only, so that most of
	// its long calls end before it drains.
	shortOnlyFraction = 0.35
	// urgentFraction is the fraction of the grace period of old weights after which all engines that are still behind may take short
	// calls only at the same time.
	urgentFraction = 0.75
	// drainTimeout is how long a drain waits for running calls; the engine itself finishes those that still run then.
	drainTimeout = 500 * time.Millisecond
	// requestTTL is how long a load request stays valid after the tender should have repeated it.
	requestTTL = 130 * time.Millisecond
	// repeatDelayPerEngine, times the number of engines that got the same grant, is the time after which tenders repeat their requests,
	// between minRepeatDelay and maxRepeatDelay. It bounds the requests per second that a scheduler gets from any number of engines.
	repeatDelayPerEngine = 2 * time.Millisecond
	minRepeatDelay       = 20 * time.Millisecond
	maxRepeatDelay       = time.Second
	// loadTTL is how long an engine counts as loading without a message from its tender.
	loadTTL = 5 * time.Second
)

// ExpirySlack is how long before the end of the grace period of old weights the last call is expected to begin on them.
const ExpirySlack = 600 * time.Millisecond

// LoadRequest is a tender's request for its engine to load newer weights.
type LoadRequest struct {
	engine  string
	service string
	zone    string
	version uint64
	running int
	// staleness is the time since the first version that the engine lacks was announced.
	staleness time.Duration
}

// NewLoadRequest returns a request of staleness zero for an engine; version is that of its weights, running the number of its
// running calls.
func NewLoadRequest(engine, service, zone string, version uint64, running int) LoadRequest {
	return LoadRequest{engine: engine, service: service, zone: zone, version: version, running: running}
}

// WithStaleness returns a copy of the request with the time since the first version that the engine lacks was announced.
func (lr LoadRequest) WithStaleness(staleness time.Duration) LoadRequest {
	lr.staleness = staleness
	return lr
}

// Engine returns the engine's id.
func (lr LoadRequest) Engine() string { return lr.engine }

// Grant is a scheduler's reply to a load request. Its numbers are sent on the wire.
type Grant int

// The replies to a load request.
const (
	// KeepServing means that the engine continues to serve with its current weights.
	KeepServing Grant = iota
	// ShortOnly means that the engine takes short calls only; its tender repeats the request.
	ShortOnly
	// Drain means that the engine takes no new calls; its tender repeats the request.
	Drain
	// Load means that the engine loads now.
	Load
)

// Scheduler decides which engines may load now, so that enough of them keep serving and not too many share the weight store.
// Before it loads, an engine first takes short calls only, while its long calls end, and then drains. An engine is restricted while
// it takes short calls only, drains or loads, and out of service while it drains or loads.
//
// Each gate has its own scheduler. If several schedulers grant loads at the same time, the loads get slower, with no other effect.
//
// A Scheduler is not safe for concurrent use.
type Scheduler struct {
	// oldWeightsGrace is how long calls may begin on old weights after newer ones were announced.
	oldWeightsGrace time.Duration

	// An engine is in at most one of these maps, which are keyed by engine id.
	waiting   map[string]engineRecord
	shortOnly map[string]engineRecord
	draining  map[string]engineRecord
	loading   map[string]engineRecord
}

// engineRecord holds the last request or report of an engine's tender.
type engineRecord struct {
	request LoadRequest
	// lastSeen is when the request or report arrived.
	lastSeen time.Time
	// repeatDelay is when, after lastSeen, the tender repeats the request.
	repeatDelay time.Duration
	// since is when the engine began to take short calls only, or to drain; it is not used in other phases.
	since time.Time
}

// NewScheduler returns a scheduler without requests; oldWeightsGrace is how long calls may begin on old weights after newer ones
// were announced.
func NewScheduler(oldWeightsGrace time.Duration) *Scheduler {
	return &Scheduler{
		oldWeightsGrace: oldWeightsGrace,

		waiting:   make(map[string]engineRecord),
		shortOnly: make(map[string]engineRecord),
		draining:  make(map[string]engineRecord),
		loading:   make(map[string]engineRecord),
	}
}

// Grant decides a request; engines is the number of engines of the service. Engines with the oldest weights are restricted first,
// among these those in the zone with the fewest restricted engines, and then those with the fewest running calls.
func (sc *Scheduler) Grant(now time.Time, request LoadRequest, engines int) Grant {
	sc.expire(now)
	delete(sc.loading, request.engine)
	if request.staleness >= sc.oldWeightsGrace-ExpirySlack {
		// The engine cannot serve calls until it has loaded, so a delay would gain nothing.
		sc.markLoading(now, request)
		return Load
	}
	maxLoading := max(engines/loadingDivisor, minLoading)
	if rec, ok := sc.draining[request.engine]; ok {
		return sc.drain(now, request, rec.since, maxLoading)
	}
	since, ok := sc.shortOnlySince(now, request, engines, maxLoading)
	if !ok {
		return KeepServing
	}
	if sc.outOfService(request.service) < max(engines/outOfServiceDivisor, maxLoading+1) &&
		(request.running == 0 || now.Sub(since) >= sc.graceFraction(shortOnlyFraction)) {
		delete(sc.shortOnly, request.engine)
		return sc.drain(now, request, now, maxLoading)
	}
	sc.shortOnly[request.engine] = engineRecord{request: request, lastSeen: now, since: since}
	return ShortOnly
}

// RepeatDelay returns the time after which the tender of an engine repeats its request. It is zero if the engine loads.
func (sc *Scheduler) RepeatDelay(request LoadRequest) time.Duration {
	for _, records := range []map[string]engineRecord{sc.waiting, sc.shortOnly, sc.draining} {
		rec, ok := records[request.engine]
		if !ok {
			continue
		}
		total := time.Duration(countService(records, request.service))
		// At the end of the grace period, the load is granted at once.
		remaining := sc.oldWeightsGrace - ExpirySlack - request.staleness
		rec.repeatDelay = max(min(total*repeatDelayPerEngine, maxRepeatDelay, remaining), minRepeatDelay)
		records[request.engine] = rec
		return rec.repeatDelay
	}
	return 0
}

// shortOnlySince returns the time since which an engine takes short calls only; this is now if that begins with this call. ok is false
// if the engine has to wait.
func (sc *Scheduler) shortOnlySince(now time.Time, request LoadRequest, engines, maxLoading int) (since time.Time, ok bool) {
	if rec, ok := sc.shortOnly[request.engine]; ok {
		return rec.since, true
	}
	sc.waiting[request.engine] = engineRecord{request: request, lastSeen: now}
	// remaining is how many more engines may be restricted now.
	remaining := max(engines/restrictedDivisor, maxLoading+1)
	if request.staleness >= sc.graceFraction(urgentFraction) {
		remaining = engines
	}
	remaining -= sc.outOfService(request.service) + countService(sc.shortOnly, request.service)
	if !sc.isNext(request, remaining) {
		return time.Time{}, false
	}
	delete(sc.waiting, request.engine)
	return now, true
}

// outOfService returns the number of engines of a service that drain or load.
func (sc *Scheduler) outOfService(service string) int {
	return countService(sc.loading, service) + countService(sc.draining, service)
}

// graceFraction returns a fraction of the grace period of old weights.
func (sc *Scheduler) graceFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(sc.oldWeightsGrace))
}

// drain decides the request of an engine that has been draining since the given time; at most maxLoading engines of its service may
// load at the same time.
func (sc *Scheduler) drain(now time.Time, request LoadRequest, since time.Time, maxLoading int) Grant {
	if countService(sc.loading, request.service) < maxLoading && (request.running == 0 || now.Sub(since) >= drainTimeout) {
		sc.markLoading(now, request)
		return Load
	}
	sc.draining[request.engine] = engineRecord{request: request, lastSeen: now, since: since}
	return Drain
}

// isNext reports whether an engine is among the first n waiting engines of its service, in the order stated at Grant.
func (sc *Scheduler) isNext(request LoadRequest, n int) bool {
	restrictedInZone := make(map[string]int)
	for _, records := range []map[string]engineRecord{sc.shortOnly, sc.draining, sc.loading} {
		for _, rec := range records {
			if rec.request.service == request.service {
				restrictedInZone[rec.request.zone]++
			}
		}
	}
	var candidates []LoadRequest
	for _, rec := range sc.waiting {
		if rec.request.service == request.service {
			candidates = append(candidates, rec.request)
		}
	}
	slices.SortFunc(candidates, func(a, b LoadRequest) int { return cmp.Or(cmp.Compare(a.version, b.version), compareLoad(a, b)) })
	for len(candidates) > 0 {
		sameVersion := 1
		for sameVersion < len(candidates) && candidates[sameVersion].version == candidates[0].version {
			sameVersion++
		}
		byZone := make(map[string][]LoadRequest)
		for _, candidate := range candidates[:sameVersion] {
			byZone[candidate.zone] = append(byZone[candidate.zone], candidate)
		}
		for range sameVersion {
			if n--; n < 0 {
				return false
			}
			first := firstByZone(byZone, restrictedInZone)
			if first.engine == request.engine {
				return true
			}
			byZone[first.zone] = byZone[first.zone][1:]
			restrictedInZone[first.zone]++
		}
		candidates = candidates[sameVersion:]
	}
	return false
}

// compareLoad orders engines with the same weights in the same zone by load.
func compareLoad(a, b LoadRequest) int {
	return cmp.Or(cmp.Compare(a.running, b.running), cmp.Compare(a.engine, b.engine))
}

// firstByZone returns the engine that is restricted next, of the first ones of each zone.
func firstByZone(byZone map[string][]LoadRequest, restrictedInZone map[string]int) LoadRequest {
	var first LoadRequest
	for zone, candidates := range byZone {
		if len(candidates) == 0 {
			continue
		}
		if order := cmp.Compare(restrictedInZone[zone], restrictedInZone[first.zone]); first.engine == "" || order < 0 ||
			order == 0 && compareLoad(candidates[0], first) < 0 {
			first = candidates[0]
		}
	}
	return first
}

// countService returns the number of records that belong to a service.
func countService(records map[string]engineRecord, service string) int {
	total := 0
	for _, rec := range records {
		if rec.request.service == service {
			total++
		}
	}
	return total
}

// MarkOutOfService records that an engine takes no calls. Unless this scheduler has made it drain, it counts as loading: this
// scheduler has granted the load, or another gate's scheduler the load or the drain.
func (sc *Scheduler) MarkOutOfService(now time.Time, request LoadRequest) {
	if _, ok := sc.draining[request.engine]; !ok {
		sc.markLoading(now, request)
	}
}

// markLoading records that an engine loads.
func (sc *Scheduler) markLoading(now time.Time, request LoadRequest) {
	sc.loading[request.engine] = engineRecord{request: request, lastSeen: now, since: now}
	delete(sc.waiting, request.engine)
	delete(sc.shortOnly, request.engine)
	delete(sc.draining, request.engine)
}

// MarkInService records that an engine takes calls.
func (sc *Scheduler) MarkInService(engine string) {
	delete(sc.loading, engine)
	delete(sc.draining, engine)
}

// expire removes records that were not renewed for requestTTL after their repeatDelay, or for loadTTL if the engine loads.
func (sc *Scheduler) expire(now time.Time) {
	for _, records := range []map[string]engineRecord{sc.waiting, sc.shortOnly, sc.draining} {
		for id, rec := range records {
			if now.Sub(rec.lastSeen) > rec.repeatDelay+requestTTL {
				delete(records, id)
			}
		}
	}
	for id, rec := range sc.loading {
		if now.Sub(rec.lastSeen) > loadTTL {
			delete(sc.loading, id)
		}
	}
}
