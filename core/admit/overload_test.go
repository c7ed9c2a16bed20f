package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
)

// bench runs a queue before a server in virtual time.
type bench struct {
	rng   *rand.Rand
	now   time.Time
	queue *Queue
	ends  []ending
	born  map[string]time.Time
	calls int

	waits    map[string][]time.Duration
	done     map[string]time.Duration
	refused  map[string]int
	perClass [2][]time.Duration
}

// ending is the end of an item in the server.
type ending struct {
	at time.Time
	it *Request
}

func newBench(lm Limits) *bench {
	return &bench{
		rng:     rand.New(rand.NewPCG(4, 5)),
		now:     time.Unix(1000, 0),
		queue:   NewQueue(lm),
		born:    make(map[string]time.Time),
		waits:   make(map[string][]time.Duration),
		done:    make(map[string]time.Duration),
		refused: make(map[string]int),
	}
}

// flow is a stream of requests of one workspace.
type flow struct {
	workspace string
	class     Class
	rate      float64
	service   time.Duration
}

// run offers the flows for a time; each item stays in the server for its service time.
func (bn *bench) run(span time.Duration, flows ...flow) {
	type arrival struct {
		at time.Time
		fl flow
	}
	var arrivals []arrival
	for _, fl := range flows {
		for at := 0.0; at < span.Seconds(); at += bn.rng.ExpFloat64() / fl.rate {
			arrivals = append(arrivals, arrival{bn.now.Add(time.Duration(at * float64(time.Second))), fl})
		}
	}
	sort.SliceStable(arrivals, func(left, right int) bool { return arrivals[left].at.Before(arrivals[right].at) })
	for _, ar := range arrivals {
		bn.finishUntil(ar.at)
		bn.now = ar.at
		bn.offer(ar.fl)
	}
	bn.finishUntil(bn.now.Add(time.Hour))
}

func (bn *bench) offer(fl flow) {
	bn.calls++
	it := NewRequest(fmt.Sprintf("%s-%06d", fl.workspace, bn.calls), fl.workspace, 1, fl.class, fl.service, bn.now.Add(30*time.Second))
	bn.born[it.id] = bn.now
	switch bn.queue.Offer(bn.now, it) {
	case Admitted:
		bn.begin(it)
	case Refused:
		bn.refused[fl.workspace]++
	}
}

func (bn *bench) begin(it *Request) {
	wait := bn.now.Sub(bn.born[it.id])
	bn.perClass[it.class] = append(bn.perClass[it.class], wait+it.cost)
	bn.done[it.workspace] += it.cost
	bn.ends = append(bn.ends, ending{bn.now.Add(it.cost), it})
	sort.SliceStable(bn.ends, func(left, right int) bool { return bn.ends[left].at.Before(bn.ends[right].at) })
}

func (bn *bench) finishUntil(limit time.Time) {
	for len(bn.ends) > 0 && !bn.ends[0].at.After(limit) {
		end := bn.ends[0]
		bn.ends = slices.Delete(bn.ends, 0, 1)
		bn.now = end.at
		started, _ := bn.queue.Done(bn.now, end.it.id)
		for _, it := range started {
			bn.begin(it)
		}
	}
}

func quantile(values []time.Duration, part float64) time.Duration {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(float64(len(sorted)-1)*part)]
}

// Sizes of the overload: guides keep eight slots busy twice over, checks need a fraction of one.
const (
	overloadSlots = 8
	overloadSpan  = 10 * time.Minute
	guideTime     = 4 * time.Second
	checkTime     = 100 * time.Millisecond
)

func checks() flow { return flow{workspace: "counter", class: ClassShort, rate: 4, service: checkTime} }

// Guides at twice the capacity leave the p99 of checks at most twice that on an idle server.
func TestChecksUnderGuides(t *testing.T) {
	t.Parallel()
	lm := NewLimits(overloadSlots, 0.25, 64)
	idle := newBench(lm)
	idle.run(overloadSpan, checks())
	busy := newBench(lm)
	busy.run(overloadSpan, checks(), flow{workspace: "guides", class: ClassLong, rate: 2 * overloadSlots / guideTime.Seconds(), service: guideTime})
	alone, beside := quantile(idle.perClass[ClassShort], 0.99), quantile(busy.perClass[ClassShort], 0.99)
	t.Logf("p99 of checks: %v alone, %v beside guides at twice the capacity; %d guides refused", alone, beside, busy.refused["guides"])
	if beside > 2*alone {
		t.Errorf("p99 of checks is %v alone and %v beside guides", alone, beside)
	}
	if busy.refused["counter"] > 0 {
		t.Errorf("%d checks were refused", busy.refused["counter"])
	}
}

// One workspace at ten times its share costs the others at most a tenth of their goodput.
func TestFairSharing(t *testing.T) {
	t.Parallel()
	const share = overloadSlots / 4.0 / 4.0 // Calls a second that fill a quarter of the server.
	others := []flow{
		{workspace: "a", class: ClassLong, rate: 0.9 * share, service: guideTime},
		{workspace: "b", class: ClassLong, rate: 0.9 * share, service: guideTime},
		{workspace: "c", class: ClassLong, rate: 0.9 * share, service: guideTime},
	}
	run := func(rate float64) *bench {
		bn := newBench(NewLimits(overloadSlots, 0, 64))
		bn.run(overloadSpan, append(slices.Clone(others), flow{workspace: "greedy", class: ClassLong, rate: rate, service: guideTime})...)
		return bn
	}
	calm, greedy := run(0.9*share), run(10*share)
	for _, fl := range others {
		before, after := calm.done[fl.workspace], greedy.done[fl.workspace]
		t.Logf("%s: goodput %v beside a calm workspace, %v beside a greedy one", fl.workspace, before, after)
		if float64(after) < 0.9*float64(before) {
			t.Errorf("%s lost more than a tenth: %v of %v", fl.workspace, after, before)
		}
	}
}

// A refusal does not wait: an offer to a full queue is answered by the offer itself.
func TestRefusalIsImmediate(t *testing.T) {
	t.Parallel()
	qu := NewQueue(NewLimits(1, 0, 2))
	now := time.Unix(0, 0)
	offer := func(id string) Decision {
		return qu.Offer(now, NewRequest(id, id, 1, ClassLong, time.Second, now.Add(time.Minute)))
	}
	got := []Decision{offer("a"), offer("b"), offer("c"), offer("d")}
	if want := []Decision{Admitted, Queued, Queued, Refused}; !slices.Equal(got, want) {
		t.Errorf("verdicts %v, want %v", got, want)
	}
	late := NewRequest("late", "late", 1, ClassShort, time.Second, now.Add(time.Millisecond))
	if verdict := qu.Offer(now, late); verdict != Refused {
		t.Errorf("an item that can't start before its deadline got %v", verdict)
	}
}
