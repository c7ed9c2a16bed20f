package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/share"
)

// The load tests run many gates before engines in virtual time. An engine reads one prompt after another; a call's first event
// comes when its prompt is read. Tenders tell all gates the engines' queues.
const (
	simStep      = time.Millisecond
	simReport    = 100 * time.Millisecond
	simRate      = 100_000
	simPromptLen = 2400
)

type simCall struct {
	workspace string
	gate      int
	sent      *Attempt
	tokens    int
	at        time.Time
	engine    int
}

type simEngine struct {
	id string
	// out is set while the engine takes no calls, dark while it answers nothing.
	out   bool
	dark  bool
	speed float64
	queue []*simCall
	// credit is the number of tokens that the engine may still read in this step.
	credit float64
}

// sim is a fleet under load.
type sim struct {
	now     time.Time
	random  *rand.Rand
	gates   []*Picker
	engines []*simEngine
	// alone makes gates choose as if each were the only one.
	alone bool
	// target bounds the expected time of admitted calls if it is not zero.
	target time.Duration
	// demand is the offered load as a part of all engines' capacity.
	demand float64
	owed   float64
	waits  []time.Duration
	shed   int
	count  int
	// flood is how many times the calls of another workspace the first one makes; zero means that there is one workspace only.
	flood  int
	meters []*share.Meter
	// asked and good count the calls of each workspace, and those that began within the target.
	asked map[string]int
	good  map[string]int
	// deepest is the longest queue that an engine had.
	deepest int
}

func newSim(gates, engines int, demand float64) *sim {
	sm := &sim{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)), demand: demand}
	ls := fleet.NewRegistry()
	for i := range engines {
		id := fmt.Sprint("engine-", i)
		sm.engines = append(sm.engines, &simEngine{id: id, speed: 1})
		ls.Put(fleet.NewServer(id, fmt.Sprint("10.0.0.1:", 1000+i), "a", "chat", 64, false, 1, map[string]uint64{testModel: 1}))
	}
	for i := range gates {
		pk := New("a", time.Minute, uint64(i+1))
		pk.SetView(ls.View())
		sm.gates = append(sm.gates, pk)
		sm.meters = append(sm.meters, share.NewMeter())
	}
	sm.asked, sm.good = make(map[string]int), make(map[string]int)
	return sm
}

// run lets a time pass.
func (sm *sim) run(span time.Duration) {
	for _, pk := range sm.gates {
		if sm.alone {
			pk.SetSenders(1, 1)
		} else {
			pk.SetSenders(len(sm.gates), len(sm.gates))
		}
	}
	for end := sm.now.Add(span); sm.now.Before(end); sm.now = sm.now.Add(simStep) {
		if sm.now.UnixNano()%int64(simReport) == 0 {
			sm.report()
		}
		sm.arrive()
		for i, en := range sm.engines {
			sm.serve(i, en)
		}
	}
}

func (sm *sim) report() {
	for _, en := range sm.engines {
		for _, pk := range sm.gates {
			pk.SetWeights(sm.now, en.id, testModel, 1, en.out)
			if en.dark {
				pk.MarkDown(sm.now, en.id)
			} else {
				pk.SetUtilization(en.id, NewUtilization(len(en.queue), len(en.queue), 1<<20, 1<<20, sm.now))
			}
		}
	}
}

func (sm *sim) arrive() {
	sm.owed += sm.demand * float64(len(sm.engines)) * simRate * simStep.Seconds()
	for sm.owed >= simPromptLen {
		sm.owed -= simPromptLen
		sm.count++
		gate := sm.random.IntN(len(sm.gates))
		subject := fmt.Sprint("subject-", sm.random.IntN(400))
		workspace := sm.workspace()
		cl := NewCall("chat", testModel, "", []Part{NewPart(subject, 400), NewPart("own", simPromptLen-400)}, simPromptLen, true)
		ch, ok := sm.gates[gate].Choose(sm.now, cl, nil)
		if !ok {
			sm.shed++
			continue
		}
		if _, shed := ch.Shed(sm.target, false, sm.excess(gate, workspace)); shed {
			sm.shed++
			continue
		}
		index := slices.IndexFunc(sm.engines, func(en *simEngine) bool { return en.id == ch.Server().ID() })
		sm.meters[gate].Add(sm.now, workspace, simPromptLen)
		call := &simCall{workspace: workspace, gate: gate, sent: sm.gates[gate].StartAttempt(sm.now, cl, ch), tokens: simPromptLen, at: sm.now, engine: index}
		sm.engines[index].queue = append(sm.engines[index].queue, call)
		sm.deepest = max(sm.deepest, len(sm.engines[index].queue))
	}
}

func (sm *sim) serve(index int, en *simEngine) {
	if en.out || en.dark {
		return
	}
	en.credit += en.speed * simRate * simStep.Seconds()
	for len(en.queue) > 0 && en.credit >= float64(en.queue[0].tokens) {
		call := en.queue[0]
		en.queue = en.queue[1:]
		en.credit -= float64(call.tokens)
		call.sent.MarkFirstEvent(sm.now)
		call.sent.End(sm.now, Served)
		sm.waits = append(sm.waits, sm.now.Sub(call.at))
		if sm.now.Sub(call.at) <= sm.target {
			sm.good[call.workspace]++
		}
	}
	if len(en.queue) == 0 {
		en.credit = 0
	}
}

// simWorkspaces is the number of workspaces if one floods.
const simWorkspaces = 8

func (sm *sim) workspace() string {
	name := "w0"
	if sm.flood > 0 {
		name = fmt.Sprint("w", max(sm.random.IntN(simWorkspaces-1+sm.flood)-sm.flood+1, 0))
	}
	sm.asked[name]++
	return name
}

func (sm *sim) excess(gate int, workspace string) float64 {
	return sm.meters[gate].FairShareRatio(sm.now, workspace)
}

// within returns the part of all calls so far whose answer began within a time.
func (sm *sim) within(limit time.Duration) float64 {
	good := 0
	for _, wait := range sm.waits {
		if wait <= limit {
			good++
		}
	}
	return float64(good) / float64(sm.count)
}

// Pattern: an engine comes back from loading weights, and many gates hear at the same time that it is idle. They must not all send
// to it until the next word of its tender.
func TestNoHerdToAnIdleEngine(t *testing.T) {
	run := func(alone bool) int {
		sm := newSim(26, 12, 0.8)
		sm.alone = alone
		sm.engines[0].out = true
		sm.run(2 * time.Second)
		sm.engines[0].out = false
		sm.deepest = 0
		sm.run(500 * time.Millisecond)
		return sm.deepest
	}
	alone, ours := run(true), run(false)
	t.Logf("longest queue: %d calls, %d if each gate chooses as if it were alone", ours, alone)
	if ours*2 > alone {
		t.Errorf("longest queue: %d calls, more than half of the %d of gates that choose as if alone", ours, alone)
	}
}

// Pattern: the load is half more than the engines can serve, and lasts. What is admitted must be served in time, as much as the
// engines can do.
func TestLastingOverloadIsServedInTime(t *testing.T) {
	const (
		demand = 1.5
		target = 500 * time.Millisecond
	)
	run := func(limit time.Duration) float64 {
		sm := newSim(10, 12, demand)
		sm.target = limit
		sm.run(10 * time.Second)
		return sm.within(target)
	}
	without, with := run(0), run(target)
	t.Logf("served within the target: %.2f, %.2f without admission", with, without)
	if with < 0.8/demand {
		t.Errorf("%.2f of the calls are served in time, the engines can do %.2f", with, 1/demand)
	}
	if with < 2*without {
		t.Errorf("%.2f of the calls are served in time, %.2f without admission", with, without)
	}
}

// Pattern: a quarter of the engines goes dark under a heavy load. After the tenders' word no call may go there, and the others
// serve as before.
func TestDarkQuarterIsLeft(t *testing.T) {
	sm := newSim(10, 12, 0.6)
	sm.run(time.Second)
	for _, en := range sm.engines[:3] {
		en.dark = true
	}
	sm.run(simReport + simStep)
	lost := 0
	for _, en := range sm.engines[:3] {
		lost += len(en.queue)
	}
	sm.waits, sm.count = nil, 0
	sm.run(3 * time.Second)
	after := -lost
	for _, en := range sm.engines[:3] {
		after += len(en.queue)
	}
	if after > 0 {
		t.Errorf("%d calls went to dark engines after the tenders' word", after)
	}
	if got := sm.within(400 * time.Millisecond); got < 0.95 {
		t.Errorf("%.3f of the calls began within 400 ms", got)
	}
}

// Pattern: engines were bought over years; some are less than half as fast as others. Fast ones must not idle beside full slow
// ones.
func TestSlowEnginesGetLess(t *testing.T) {
	sm := newSim(5, 9, 0.85)
	for i, en := range sm.engines {
		en.speed = []float64{0.7, 0.7, 1.6}[i%3]
	}
	sm.run(3 * time.Second)
	sm.waits, sm.count = nil, 0
	sm.run(5 * time.Second)
	if got := sm.within(400 * time.Millisecond); got < 0.9 {
		t.Errorf("%.3f of the calls began within 400 ms", got)
	}
}

// Pattern: most prompts are short and a few take longer to read than the target time. A long one must not be rejected for its own
// length.
func TestLongPromptsAreAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	long := NewCall("chat", testModel, "", []Part{NewPart("system", 500), NewPart("own", 80_000)}, 80_500, true)
	ch, _ := pk.Choose(now, long, nil)
	if _, shed := ch.Shed(300*time.Millisecond, false, 0); shed {
		t.Errorf("a long prompt is rejected by idle engines: expected to begin after %s", ch.TimeToFirstEvent())
	}
	for _, id := range []string{"server-0", "server-1"} {
		pk.SetUtilization(id, NewUtilization(40, 40, 1<<20, 1<<20, now))
	}
	ch, _ = pk.Choose(now, long, nil)
	if _, shed := ch.Shed(300*time.Millisecond, false, 0); !shed {
		t.Error("a long prompt is admitted before 40 others")
	}
}

// Pattern: one workspace floods the system with ten times the calls of each other. The others must be served as if it did not.
func TestFloodingWorkspaceIsRejectedFirst(t *testing.T) {
	sm := newSim(5, 9, 1.6)
	sm.flood = 10
	sm.target = 500 * time.Millisecond
	sm.run(8 * time.Second)
	for i := 1; i < simWorkspaces; i++ {
		name := fmt.Sprint("w", i)
		if part := float64(sm.good[name]) / float64(sm.asked[name]); part < 0.9 {
			t.Errorf("%.2f of the calls of %s are served in time", part, name)
		}
	}
	// The rest of the engines' capacity is left to the flood.
	rest := (1/1.6 - 7.0/17) * 17 / 10
	if part := float64(sm.good["w0"]) / float64(sm.asked["w0"]); part < 0.7*rest {
		t.Errorf("%.2f of the flooding workspace's calls are served in time, there is room for %.2f", part, rest)
	}
}
