package pick

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"shallotcleat/core/fleet"
)

// The tests of leaving the zone simulate deployment B of docs/HARD-LOAD.md in virtual time: three zones with 15 gates and 17 engines each,
// long plans and quick tags. Tenders report to the gates of all zones, and gates exchange what they know of caches and speeds.
const (
	zoneSimGates       = 15
	zoneSimEngines     = 17
	zoneSimSlots       = 32
	zoneSimSpeed       = 85_200
	zoneSimSubjects    = 300
	zoneSimCache       = 40
	zoneSimPeriod      = 17 * time.Second
	zoneSimSwing       = 0.55
	zoneSimHints       = 40 * time.Millisecond
	zoneSimPromptBytes = 4
	zoneSimTokenBytes  = 327_680
)

// zoneSimKind is a kind of request: the shares of deployment B and its targets to the first event.
type zoneSimKind struct {
	name   string
	weight int
	shared int
	own    int
	output int
	target time.Duration
	decode time.Duration
}

var zoneSimKinds = []zoneSimKind{
	{name: "plan", weight: 82, shared: 5382, own: 6610, output: 42, target: 600 * time.Millisecond, decode: 200 * time.Millisecond},
	{name: "tag", weight: 392, shared: 568, own: 1800, output: 3, target: 400 * time.Millisecond, decode: 15 * time.Millisecond},
}

type zoneSimCall struct {
	zone    int
	kind    zoneSimKind
	subject string
	attempt *Attempt
	left    float64
	sentAt  time.Time
	copied  bool
	endsAt  time.Time
}

type zoneSimEngine struct {
	id      string
	zone    int
	down    bool
	loading bool
	// mute engines serve, but their reports do not arrive.
	mute     bool
	queue    []*zoneSimCall
	decoding []*zoneSimCall
	cache    []string
}

// zoneSim is the fleet under load. demand is the mean offered load of each zone as a fraction of its engines' capacity when prompts are cached.
type zoneSim struct {
	now      time.Time
	start    time.Time
	random   *rand.Rand
	gates    [3][]*Picker
	engines  []*zoneSimEngine
	demand   [3]float64
	swing    float64
	price    float64
	accrued  [3]float64
	calls    [3]int
	inTime   [3]int
	refused  int
	left     [3]int
	bytes    float64
	copies   float64
	exits    map[ExitReason]int
	shares   [3][]float64
	leftPer  [3][]int
	received [3]int
	// homeCalls and homeInTime count the calls of callers that were served in their own zone.
	homeCalls  [3]int
	homeInTime [3]int
	spread     float64
}

func newZoneSim(demand, swing float64, engines [3]int, constant bool) *zoneSim {
	sm := &zoneSim{now: time.Unix(1700, 0), random: rand.New(rand.NewPCG(11, 11)), swing: swing, exits: make(map[ExitReason]int)}
	sm.start = sm.now
	rg := fleet.NewRegistry()
	for z := range 3 {
		sm.demand[z] = demand
		for i := range engines[z] {
			id := fmt.Sprintf("engine-%d-%d", z, i)
			sm.engines = append(sm.engines, &zoneSimEngine{id: id, zone: z})
			rg.Put(fleet.NewServer(id, fmt.Sprintf("10.0.%d.1:%d", z, 1000+i), zoneSimName(z), "chat", zoneSimSlots, false, 1,
				map[string]uint64{testModel: 1}))
		}
	}
	for z := range 3 {
		for i := range zoneSimGates {
			pk := New(zoneSimName(z), time.Minute, uint64(100*z+i+1))
			pk.SetView(rg.View())
			pk.SetSenders(zoneSimGates, 3*zoneSimGates)
			if constant {
				pk.DisableZoneShares()
			}
			sm.gates[z] = append(sm.gates[z], pk)
		}
	}
	return sm
}

func zoneSimName(z int) string { return string(rune('a' + z)) }

func (sm *zoneSim) allGates() []*Picker { return slices.Concat(sm.gates[0], sm.gates[1], sm.gates[2]) }

// reset forgets what was counted so far.
func (sm *zoneSim) reset() {
	sm.calls, sm.inTime, sm.left, sm.received, sm.homeCalls, sm.homeInTime = [3]int{}, [3]int{}, [3]int{}, [3]int{}, [3]int{}, [3]int{}
	sm.refused, sm.bytes, sm.copies, sm.spread = 0, 0, 0, 0
	sm.exits = make(map[ExitReason]int)
	sm.shares, sm.leftPer = [3][]float64{}, [3][]int{}
}

func (sm *zoneSim) run(span time.Duration) {
	for end := sm.now.Add(span); sm.now.Before(end); sm.now = sm.now.Add(simStep) {
		ms := sm.now.Sub(sm.start).Milliseconds()
		// The reports of the engines are spread over the interval.
		for i, en := range sm.engines {
			if (ms+int64(i*7))%simReportInterval.Milliseconds() == 0 {
				sm.report(en)
			}
		}
		if ms%zoneSimHints.Milliseconds() == 0 {
			sm.exchange()
		}
		if ms%100 == 0 {
			sm.sampleShares()
		}
		for z := range 3 {
			sm.sendCalls(z)
		}
		for _, en := range sm.engines {
			sm.serve(en)
		}
	}
}

func (sm *zoneSim) report(en *zoneSimEngine) {
	if en.mute {
		return
	}
	for _, pk := range sm.allGates() {
		if en.down {
			pk.MarkDown(sm.now, en.id)
			continue
		}
		pk.SetWeights(sm.now, en.id, testModel, 1, en.loading)
		pk.SetUtilization(en.id, NewUtilization(len(en.queue)+len(en.decoding), len(en.queue), 150_000, 172_179, sm.now))
	}
}

func (sm *zoneSim) exchange() {
	gates := sm.allGates()
	for _, from := range gates {
		hints, slowdowns := from.TakeHints(), from.TakeSlowdowns()
		for _, to := range gates {
			if to != from {
				to.ApplyHints(sm.now, hints)
				to.ApplySlowdowns(sm.now, slowdowns)
			}
		}
	}
}

func (sm *zoneSim) sampleShares() {
	for z := range 3 {
		low, high, sum := 1.0, 0.0, 0.0
		for _, pk := range sm.gates[z] {
			for _, ss := range pk.ZoneShares() {
				f := ss.Share().Fraction()
				low, high, sum = min(low, f), max(high, f), sum+f
			}
		}
		sm.shares[z] = append(sm.shares[z], sum/zoneSimGates)
		sm.leftPer[z] = append(sm.leftPer[z], 0)
		sm.spread = max(sm.spread, high-low)
	}
}

// load returns the offered load of a zone now: a wave that is shifted by a third of its period from zone to zone.
func (sm *zoneSim) load(z int) float64 {
	phase := 2 * math.Pi * (float64(sm.now.Sub(sm.start))/float64(zoneSimPeriod) - float64(z)/3)
	return sm.demand[z] * (1 + sm.swing*math.Sin(phase))
}

func (sm *zoneSim) sendCalls(z int) {
	sm.accrued[z] += sm.load(z) * zoneSimEngines * zoneSimSpeed * simStep.Seconds()
	for {
		kind := zoneSimKinds[0]
		if sm.random.IntN(zoneSimKinds[0].weight+zoneSimKinds[1].weight) >= zoneSimKinds[0].weight {
			kind = zoneSimKinds[1]
		}
		if sm.accrued[z] < float64(kind.own) {
			return
		}
		sm.accrued[z] -= float64(kind.own)
		sm.send(z, kind)
	}
}

func (sm *zoneSim) send(z int, kind zoneSimKind) {
	sm.calls[z]++
	pk := sm.gates[z][sm.random.IntN(zoneSimGates)]
	// Lower numbers are more frequent.
	subject := fmt.Sprint(kind.name, "-", int(zoneSimSubjects*math.Pow(sm.random.Float64(), 2)))
	tokens := kind.shared + kind.own
	cl := NewCall("chat", testModel, "", []Part{NewPart(subject, kind.shared), NewPart("own", kind.own)}, tokens, false).
		WithOutput(kind.output).WithRequest(fmt.Sprint("request-", z, "-", sm.calls[z], "-", sm.now.UnixNano()), tokens*zoneSimPromptBytes)
	ch, ok := pk.Choose(sm.now, cl, nil)
	if !ok {
		sm.refused++
		return
	}
	if _, shed := ch.Shed(kind.target, false, 0); shed {
		sm.refused++
		pk.Release(ch)
		return
	}
	index := slices.IndexFunc(sm.engines, func(en *zoneSimEngine) bool { return en.id == ch.Server().ID() })
	en := sm.engines[index]
	missing := 0
	if !slices.Contains(en.cache, subject) {
		missing = kind.shared
	}
	copied := false
	if source := ch.CacheSource(); source != nil && missing > 0 {
		i := slices.IndexFunc(sm.engines, func(en *zoneSimEngine) bool { return en.id == source.ID() })
		if slices.Contains(sm.engines[i].cache, subject) {
			missing, copied = 0, true
			if sm.engines[i].zone != en.zone {
				sm.copies += float64(kind.shared) * zoneSimTokenBytes
			}
		}
	}
	if reason := ch.ExitReason(); reason != "" || en.zone != z {
		sm.left[z]++
		sm.received[en.zone]++
		sm.bytes += float64(tokens*zoneSimPromptBytes + kind.output*outputTokenBytes)
		sm.exits[reason]++
		if len(sm.leftPer[z]) > 0 {
			sm.leftPer[z][len(sm.leftPer[z])-1]++
		}
	} else {
		sm.homeCalls[z]++
	}
	en.queue = append(en.queue, &zoneSimCall{zone: z, kind: kind, subject: subject, attempt: pk.StartAttempt(sm.now, cl, ch),
		left: float64(kind.own + missing), sentAt: sm.now, copied: copied})
}

func (sm *zoneSim) serve(en *zoneSimEngine) {
	if en.down {
		for _, call := range append(en.queue, en.decoding...) {
			call.attempt.End(sm.now, NoResponse)
		}
		en.queue, en.decoding, en.cache = nil, nil, nil
		return
	}
	en.decoding = slices.DeleteFunc(en.decoding, func(call *zoneSimCall) bool {
		if sm.now.Before(call.endsAt) {
			return false
		}
		call.attempt.End(sm.now, Served)
		return true
	})
	if en.loading {
		return
	}
	credit := zoneSimSpeed * simStep.Seconds()
	for len(en.queue) > 0 && credit > 0 && len(en.decoding) < zoneSimSlots {
		call := en.queue[0]
		done := min(credit, call.left)
		credit -= done
		if call.left -= done; call.left > 0 {
			return
		}
		en.queue = en.queue[1:]
		call.attempt.MarkFirstEvent(sm.now)
		call.endsAt = sm.now.Add(call.kind.decode)
		en.decoding = append(en.decoding, call)
		en.cache = slices.DeleteFunc(en.cache, func(subject string) bool { return subject == call.subject })
		en.cache = append(en.cache, call.subject)
		if len(en.cache) > zoneSimCache {
			en.cache = en.cache[1:]
		}
		// The first event is on the way for half a millisecond more if it crosses zones, which the targets do not resolve.
		if sm.now.Sub(call.sentAt) <= call.kind.target {
			sm.inTime[call.zone]++
			if en.zone == call.zone {
				sm.homeInTime[call.zone]++
			}
		}
	}
}

func sum3(ns [3]int) int { return ns[0] + ns[1] + ns[2] }

// fraction returns the fraction of all calls that were served in time.
func (sm *zoneSim) fraction() float64 {
	return float64(sum3(sm.inTime)) / float64(max(sum3(sm.calls), 1))
}

// turns returns how often the share of a zone changed its direction, each time by at least a tenth.
func (sm *zoneSim) turns(z int) int {
	turns, direction, extreme := 0, 0.0, 0.0
	for _, f := range sm.shares[z] {
		switch {
		case direction >= 0 && f > extreme || direction <= 0 && f < extreme:
			extreme = f
		case math.Abs(f-extreme) >= 0.1:
			if direction != 0 {
				turns++
			}
			direction, extreme = f-extreme, f
		}
		if direction == 0 && math.Abs(f-sm.shares[z][0]) >= 0.1 {
			direction = f - sm.shares[z][0]
		}
	}
	return turns
}

func (sm *zoneSim) summary() string {
	return fmt.Sprintf("%.3f of %d calls in time, %d refused, left %v (%v), %.1f MB of requests, %.1f GB of copies cross; largest share %.2f %.2f %.2f, turns %d %d %d, spread %.2f",
		sm.fraction(), sum3(sm.calls), sm.refused, sm.left, sm.exits, sm.bytes/1e6, sm.copies/1e9,
		slices.Max(sm.shares[0]), slices.Max(sm.shares[1]), slices.Max(sm.shares[2]), sm.turns(0), sm.turns(1), sm.turns(2), sm.spread)
}

func TestTrialPeaks(t *testing.T) {
	for _, demand := range []float64{0.5, 0.6, 0.7, 0.8} {
		for _, constant := range []bool{true, false} {
			sm := newZoneSim(demand, zoneSimSwing, [3]int{17, 17, 17}, constant)
			sm.run(5 * time.Second)
			sm.reset()
			sm.run(2 * zoneSimPeriod)
			t.Logf("demand %.2f constant %v: %s", demand, constant, sm.summary())
			if !constant && demand == 0.7 {
				for i := 0; i < len(sm.shares[0]); i += 5 {
					t.Logf("%d %.2f %d", i, sm.shares[0][i], sm.leftPer[0][i])
				}
			}
		}
	}
}

func TestTrialShort(t *testing.T) {
	for _, constant := range []bool{true, false} {
		sm := newZoneSim(0.55, 0, [3]int{6, 17, 17}, constant)
		sm.run(3 * time.Second)
		sm.reset()
		sm.run(10 * time.Second)
		t.Logf("short, constant %v: %s", constant, sm.summary())
		if !constant {
			for i := 0; i < len(sm.shares[0]); i += 5 {
				t.Logf("%d %.2f %d", i, sm.shares[0][i], sm.leftPer[0][i])
			}
		}
	}
}
