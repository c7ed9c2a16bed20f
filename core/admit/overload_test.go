package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
)

// simulation runs a queue and its backend server in virtual time.
type simulation struct {
	rng         *rand.Rand
	now         time.Time
	queue       *Queue
	completions []completion
	offeredAt   map[string]time.Time
	offers      int

	waits      map[string][]time.Duration
	servedTime map[string]time.Duration
	refused    map[string]int
	latencies  [2][]time.Duration
}

// completion is the end of a running request.
type completion struct {
	at time.Time
	rq *Request
}

func newSimulation(lm Limits) *simulation {
	return &simulation{
		rng:        rand.New(rand.NewPCG(4, 5)),
		now:        time.Unix(1000, 0),
		queue:      NewQueue(lm),
		offeredAt:  make(map[string]time.Time),
		waits:      make(map[string][]time.Duration),
		servedTime: make(map[string]time.Duration),
		refused:    make(map[string]int),
	}
}

// flow is a Poisson stream of requests of one workspace; rate is in requests per second.
type flow struct {
	workspace   string
	class       Class
	rate        float64
	serviceTime time.Duration
}

// run offers the requests of the flows for span; each request runs for its service time.
func (sm *simulation) run(span time.Duration, flows ...flow) {
	type arrival struct {
		at time.Time
		fl flow
	}
	var arrivals []arrival
	for _, fl := range flows {
		for at := 0.0; at < span.Seconds(); at += sm.rng.ExpFloat64() / fl.rate {
			arrivals = append(arrivals, arrival{sm.now.Add(time.Duration(at * float64(time.Second))), fl})
		}
	}
	sort.SliceStable(arrivals, func(left, right int) bool { return arrivals[left].at.Before(arrivals[right].at) })
	for _, ar := range arrivals {
		sm.completeUntil(ar.at)
		sm.now = ar.at
		sm.offer(ar.fl)
	}
	sm.completeUntil(sm.now.Add(time.Hour))
}

func (sm *simulation) offer(fl flow) {
	sm.offers++
	rq := NewRequest(fmt.Sprintf("%s-%06d", fl.workspace, sm.offers), fl.workspace, 1, fl.class, fl.serviceTime,
		sm.now.Add(30*time.Second))
	sm.offeredAt[rq.id] = sm.now
	switch sm.queue.Offer(sm.now, rq) {
	case Admitted:
		sm.start(rq)
	case Refused:
		sm.refused[fl.workspace]++
	}
}

func (sm *simulation) start(rq *Request) {
	wait := sm.now.Sub(sm.offeredAt[rq.id])
	sm.latencies[rq.class] = append(sm.latencies[rq.class], wait+rq.cost)
	sm.servedTime[rq.workspace] += rq.cost
	sm.completions = append(sm.completions, completion{sm.now.Add(rq.cost), rq})
	sort.SliceStable(sm.completions, func(left, right int) bool { return sm.completions[left].at.Before(sm.completions[right].at) })
}

func (sm *simulation) completeUntil(limit time.Time) {
	for len(sm.completions) > 0 && !sm.completions[0].at.After(limit) {
		end := sm.completions[0]
		sm.completions = slices.Delete(sm.completions, 0, 1)
		sm.now = end.at
		started, _ := sm.queue.Done(sm.now, end.rq.id)
		for _, rq := range started {
			sm.start(rq)
		}
	}
}

func quantile(values []time.Duration, fraction float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(float64(len(sorted)-1)*fraction)]
}

// Parameters of the overload: long requests offer twice the capacity of eight slots, short ones use a fraction of one
// slot.
const (
	overloadSlots = 8
	overloadSpan  = 10 * time.Minute
	longCost      = 4 * time.Second
	shortCost     = 100 * time.Millisecond
)

func shortFlow() flow {
	return flow{workspace: "counter", class: ClassShort, rate: 4, serviceTime: shortCost}
}

// TestShortRequestsUnderOverload guards the latency of short requests: with long requests at twice the capacity, their
// p99 is at most twice that on an idle server.
func TestShortRequestsUnderOverload(t *testing.T) {
	t.Parallel()
	lm := NewLimits(overloadSlots, 0.25, 64)
	idle := newSimulation(lm)
	idle.run(overloadSpan, shortFlow())
	overloaded := newSimulation(lm)
	overloaded.run(overloadSpan, shortFlow(),
		flow{workspace: "guides", class: ClassLong, rate: 2 * overloadSlots / longCost.Seconds(), serviceTime: longCost})
	idleP99, overloadedP99 := quantile(idle.latencies[ClassShort], 0.99), quantile(overloaded.latencies[ClassShort], 0.99)
	t.Logf("p99 of short requests: %v alone, %v with long requests at twice the capacity; %d long requests refused",
		idleP99, overloadedP99, overloaded.refused["guides"])
	if overloadedP99 > 2*idleP99 {
		t.Errorf("p99 of short requests is %v alone and %v with long requests, want at most twice", idleP99, overloadedP99)
	}
	if overloaded.refused["counter"] > 0 {
		t.Errorf("%d short requests refused, want 0", overloaded.refused["counter"])
	}
}

// TestFairSharing guards isolation: a workspace at ten times its share costs the others at most a tenth of their
// goodput.
func TestFairSharing(t *testing.T) {
	t.Parallel()
	const share = overloadSlots / 4.0 / 4.0 // Requests per second that use a quarter of the slots.
	others := []flow{
		{workspace: "a", class: ClassLong, rate: 0.9 * share, serviceTime: longCost},
		{workspace: "b", class: ClassLong, rate: 0.9 * share, serviceTime: longCost},
		{workspace: "c", class: ClassLong, rate: 0.9 * share, serviceTime: longCost},
	}
	run := func(rate float64) *simulation {
		sm := newSimulation(NewLimits(overloadSlots, 0, 64))
		sm.run(overloadSpan, append(slices.Clone(others),
			flow{workspace: "greedy", class: ClassLong, rate: rate, serviceTime: longCost})...)
		return sm
	}
	balanced, overloaded := run(0.9*share), run(10*share)
	for _, fl := range others {
		before, after := balanced.servedTime[fl.workspace], overloaded.servedTime[fl.workspace]
		t.Logf("%s: goodput %v with all workspaces within their share, %v with one above it", fl.workspace, before, after)
		if float64(after) < 0.9*float64(before) {
			t.Errorf("%s: goodput %v, want at least nine tenths of %v", fl.workspace, after, before)
		}
	}
}

// TestOfferRefusesImmediately checks that Offer itself refuses a request that finds the queue full or cannot start
// before its deadline.
func TestOfferRefusesImmediately(t *testing.T) {
	t.Parallel()
	qu := NewQueue(NewLimits(1, 0, 2))
	now := time.Unix(0, 0)
	offer := func(id string) Decision {
		return qu.Offer(now, NewRequest(id, id, 1, ClassLong, time.Second, now.Add(time.Minute)))
	}
	got := []Decision{offer("a"), offer("b"), offer("c"), offer("d")}
	if want := []Decision{Admitted, Queued, Queued, Refused}; !slices.Equal(got, want) {
		t.Errorf("decisions %v, want %v", got, want)
	}
	late := NewRequest("late", "late", 1, ClassShort, time.Second, now.Add(time.Millisecond))
	if decision := qu.Offer(now, late); decision != Refused {
		t.Errorf("decision for a request that cannot start before its deadline: %v, want Refused", decision)
	}
}
