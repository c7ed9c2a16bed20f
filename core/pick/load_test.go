package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/scope"
	"shallotcleat/core/share"
	"shallotcleat/core/speed"
)

// The load tests simulate many gates and engines in virtual time. An engine prefills one prompt after another; a
// call's first event comes when its prefill is complete. Tenders report the engines' queues to all gates.
const (
	simStep            = time.Millisecond
	simReportInterval  = 100 * time.Millisecond
	simTokensPerSecond = 100_000
	simPromptTokens    = 2400
	simWorkInterval    = 500 * time.Millisecond
)

type simCall struct {
	workspace string
	rank      int
	gate      int
	attempt   *Attempt
	tokens    int
	sentAt    time.Time
	engine    int
}

type simEngine struct {
	id string
	// loading is set while the engine takes no calls, down while it does not respond.
	loading bool
	down    bool
	speed   float64
	queue   []*simCall
	// credit is the number of tokens that the engine may still prefill in this step.
	credit float64
}

// sim is a fleet under load.
type sim struct {
	now     time.Time
	random  *rand.Rand
	gates   []*Picker
	engines []*simEngine
	// alone makes each gate choose as if it were the only one.
	alone bool
	// target is the target time to the first event; calls are shed only if it is not zero.
	target time.Duration
	// demand is the offered load as a fraction of the capacity of all engines.
	demand float64
	// accruedTokens is the offered load for which no call has been sent yet.
	accruedTokens float64
	// waits holds the times to the first event of the served calls.
	waits     []time.Duration
	shedCount int
	callCount int
	// flood is the ratio of the calls of workspace w0 to those of each other workspace; with zero there is only w0.
	flood  int
	meters []*share.Meter
	// callsByWorkspace counts the calls of each workspace, and inTimeByWorkspace those whose first event came within the
	// target.
	callsByWorkspace  map[string]int
	inTimeByWorkspace map[string]int
	// next returns the gate, workspace and rank of the next call; without it they are random, and the rank is 1.
	next func() (gate int, workspace string, rank int)
	// tellsWork makes gates tell each other of the work of workspaces.
	tellsWork bool
	// callsByRank and inTimeByRank are like callsByWorkspace and inTimeByWorkspace, without workspace w0.
	callsByRank  map[int]int
	inTimeByRank map[int]int
	// reportsSpeed makes tenders report the engines' speeds.
	reportsSpeed bool
	// tokensByEngine is the number of prompt tokens sent to each engine.
	tokensByEngine map[string]int
	// longestQueue is the length of the longest queue of any engine.
	longestQueue int
}

func newSim(gates, engines int, demand float64) *sim {
	sm := &sim{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(7, 7)), demand: demand}
	rg := fleet.NewRegistry()
	for i := range engines {
		id := fmt.Sprint("engine-", i)
		sm.engines = append(sm.engines, &simEngine{id: id, speed: 1})
		rg.Put(fleet.NewServer(id, fmt.Sprint("10.0.0.1:", 1000+i), "a", "chat", 64, false, 1, map[string]uint64{testModel: 1}))
	}
	for i := range gates {
		pk := New("a", time.Minute, uint64(i+1))
		pk.SetView(rg.View())
		sm.gates = append(sm.gates, pk)
		sm.meters = append(sm.meters, share.NewMeter())
	}
	sm.callsByRank, sm.inTimeByRank = make(map[int]int), make(map[int]int)
	sm.tokensByEngine = make(map[string]int)
	sm.callsByWorkspace, sm.inTimeByWorkspace = make(map[string]int), make(map[string]int)
	return sm
}

// run advances the simulation by span.
func (sm *sim) run(span time.Duration) {
	for _, pk := range sm.gates {
		if sm.alone {
			pk.SetSenders(1, 1)
		} else {
			pk.SetSenders(len(sm.gates), len(sm.gates))
		}
	}
	for end := sm.now.Add(span); sm.now.Before(end); sm.now = sm.now.Add(simStep) {
		if sm.now.UnixNano()%int64(simReportInterval) == 0 {
			sm.report()
		}
		if sm.tellsWork && sm.now.UnixNano()%int64(simWorkInterval) == 0 {
			sm.tellWork()
		}
		sm.sendCalls()
		for i, en := range sm.engines {
			sm.serve(i, en)
		}
	}
}

func (sm *sim) report() {
	for _, en := range sm.engines {
		for _, pk := range sm.gates {
			pk.SetWeights(sm.now, en.id, testModel, 1, en.loading)
			if sm.reportsSpeed {
				pk.SetSpeed(sm.now, en.id, "chat", speed.NewEstimate(en.speed*simTokensPerSecond, 4*time.Millisecond))
			}
			if en.down {
				pk.MarkDown(sm.now, en.id)
			} else {
				pk.SetUtilization(en.id, NewUtilization(len(en.queue), len(en.queue), 1<<20, 1<<20, sm.now))
			}
		}
	}
}

func (sm *sim) sendCalls() {
	sm.accruedTokens += sm.demand * float64(len(sm.engines)) * simTokensPerSecond * simStep.Seconds()
	for sm.accruedTokens >= simPromptTokens {
		sm.accruedTokens -= simPromptTokens
		sm.callCount++
		gate, workspace, rank := sm.nextCall()
		subject := fmt.Sprint("subject-", sm.random.IntN(400))
		cl := NewCall("chat", testModel, scope.Scope{}, []Part{NewPart(subject, 400), NewPart("own", simPromptTokens-400)}, simPromptTokens, true).WithPriority(rank)
		ch, ok := sm.gates[gate].Choose(sm.now, cl, nil)
		if !ok {
			sm.shedCount++
			continue
		}
		if _, shed := ch.Shed(sm.target, rank, sm.shareRatio(gate, workspace)); shed {
			sm.shedCount++
			continue
		}
		index := slices.IndexFunc(sm.engines, func(en *simEngine) bool { return en.id == ch.Server().ID() })
		sm.meters[gate].Add(sm.now, "chat", workspace, rank, simPromptTokens)
		call := &simCall{workspace: workspace, rank: rank, gate: gate, attempt: sm.gates[gate].StartAttempt(sm.now, cl, ch),
			tokens: simPromptTokens, sentAt: sm.now, engine: index}
		sm.engines[index].queue = append(sm.engines[index].queue, call)
		sm.tokensByEngine[ch.Server().ID()] += simPromptTokens
		sm.longestQueue = max(sm.longestQueue, len(sm.engines[index].queue))
	}
}

func (sm *sim) serve(index int, en *simEngine) {
	if en.loading || en.down {
		return
	}
	en.credit += en.speed * simTokensPerSecond * simStep.Seconds()
	for len(en.queue) > 0 && en.credit >= float64(en.queue[0].tokens) {
		call := en.queue[0]
		en.queue = en.queue[1:]
		en.credit -= float64(call.tokens)
		call.attempt.MarkFirstEvent(sm.now)
		call.attempt.End(sm.now, Served)
		sm.waits = append(sm.waits, sm.now.Sub(call.sentAt))
		if sm.now.Sub(call.sentAt) <= sm.target {
			sm.inTimeByWorkspace[call.workspace]++
			if call.workspace != "w0" {
				sm.inTimeByRank[call.rank]++
			}
		}
	}
	if len(en.queue) == 0 {
		en.credit = 0
	}
}

// simWorkspaces is the number of workspaces if flood is not zero.
const simWorkspaces = 8

// nextCall returns the gate, workspace and rank of a new call, and counts the call.
func (sm *sim) nextCall() (gate int, workspace string, rank int) {
	if sm.next == nil {
		return sm.random.IntN(len(sm.gates)), sm.nextWorkspace(), 1
	}
	gate, workspace, rank = sm.next()
	sm.callsByWorkspace[workspace]++
	if workspace != "w0" {
		sm.callsByRank[rank]++
	}
	return gate, workspace, rank
}

// tellWork lets each gate tell the others of the work of workspaces.
func (sm *sim) tellWork() {
	for i, sender := range sm.meters {
		works := sender.Works(sm.now, 32)
		for j, receiver := range sm.meters {
			if i != j {
				receiver.Apply(sm.now, uint64(i), works)
			}
		}
	}
}

// nextWorkspace returns the random workspace of a new call, and counts the call.
func (sm *sim) nextWorkspace() string {
	name := "w0"
	if sm.flood > 0 {
		name = fmt.Sprint("w", max(sm.random.IntN(simWorkspaces-1+sm.flood)-sm.flood+1, 0))
	}
	sm.callsByWorkspace[name]++
	return name
}

func (sm *sim) shareRatio(gate int, workspace string) float64 {
	return sm.meters[gate].FairShareRatio(sm.now, "chat", workspace)
}

// fractionWithin returns the fraction of all calls whose first event came within limit of being sent.
func (sm *sim) fractionWithin(limit time.Duration) float64 {
	inTime := 0
	for _, wait := range sm.waits {
		if wait <= limit {
			inTime++
		}
	}
	return float64(inTime) / float64(sm.callCount)
}

// When an engine has loaded weights, many gates learn at the same time that it is idle. They must not all send their
// calls to it before its tender's next report.
func TestIdleEngineIsNotOverwhelmed(t *testing.T) {
	run := func(alone bool) int {
		sm := newSim(26, 12, 0.8)
		sm.alone = alone
		sm.engines[0].loading = true
		sm.run(2 * time.Second)
		sm.engines[0].loading = false
		sm.longestQueue = 0
		sm.run(500 * time.Millisecond)
		return sm.longestQueue
	}
	alone, shared := run(true), run(false)
	t.Logf("longest queue: %d calls; %d if each gate chooses as if it were alone", shared, alone)
	if shared*2 > alone {
		t.Errorf("longest queue: got %d calls, want at most half of the %d of gates that choose as if alone", shared, alone)
	}
}

// The offered load stays at one and a half times the engines' capacity. Admitted calls must be served in time, and
// must use most of the capacity.
func TestAdmittedCallsMeetTargetUnderOverload(t *testing.T) {
	const (
		demand = 1.5
		target = 500 * time.Millisecond
	)
	run := func(limit time.Duration) float64 {
		sm := newSim(10, 12, demand)
		sm.target = limit
		sm.run(10 * time.Second)
		return sm.fractionWithin(target)
	}
	without, with := run(0), run(target)
	t.Logf("answered within the target: %.2f with load shedding, %.2f without", with, without)
	if with < 0.8/demand {
		t.Errorf("%.2f of the calls were served in time; the capacity is %.2f", with, 1/demand)
	}
	if with < 2*without {
		t.Errorf("%.2f of the calls were served in time, %.2f without load shedding", with, without)
	}
}

// A quarter of the engines stops responding under a heavy load. Once the tenders have reported it, those engines get no
// calls, and the others serve as before.
func TestUnresponsiveEnginesGetNoCalls(t *testing.T) {
	sm := newSim(10, 12, 0.6)
	sm.run(time.Second)
	for _, en := range sm.engines[:3] {
		en.down = true
	}
	sm.run(simReportInterval + simStep)
	before := 0
	for _, en := range sm.engines[:3] {
		before += len(en.queue)
	}
	sm.waits, sm.callCount = nil, 0
	sm.run(3 * time.Second)
	added := -before
	for _, en := range sm.engines[:3] {
		added += len(en.queue)
	}
	if added > 0 {
		t.Errorf("%d calls were sent to unresponsive engines after the tenders' reports", added)
	}
	if got := sm.fractionWithin(400 * time.Millisecond); got < 0.95 {
		t.Errorf("%.3f of the calls had a first event within 400 ms", got)
	}
}

// Some engines are less than half as fast as others. Fast engines must not idle while slow ones have queues.
func TestFastEnginesDoNotIdle(t *testing.T) {
	sm := newSim(5, 9, 0.85)
	for i, en := range sm.engines {
		en.speed = []float64{0.7, 0.7, 1.6}[i%3]
	}
	sm.run(3 * time.Second)
	sm.waits, sm.callCount = nil, 0
	sm.run(5 * time.Second)
	if got := sm.fractionWithin(400 * time.Millisecond); got < 0.9 {
		t.Errorf("%.3f of the calls had a first event within 400 ms", got)
	}
}

// The prefill of a few prompts takes longer than the target time. Such a prompt must not be rejected because of its own
// length.
func TestLongPromptsAreAdmitted(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	long := NewCall("chat", testModel, scope.Scope{}, []Part{NewPart("system", 500), NewPart("own", 80_000)}, 80_500, true)
	ch, _ := pk.Choose(now, long, nil)
	if _, shed := ch.Shed(300*time.Millisecond, 1, 0); shed {
		t.Errorf("a long prompt was rejected by idle engines: expected time to first event %s", ch.TimeToFirstEvent())
	}
	for _, id := range []string{"server-0", "server-1"} {
		pk.SetUtilization(id, NewUtilization(40, 40, 1<<20, 1<<20, now))
	}
	ch, _ = pk.Choose(now, long, nil)
	if _, shed := ch.Shed(300*time.Millisecond, 1, 0); !shed {
		t.Error("a long prompt was admitted to engines with 40 waiting calls")
	}
}

// One workspace makes ten times as many calls as each other one. The others must be served as if it did not.
func TestFloodingWorkspaceIsRejectedFirst(t *testing.T) {
	sm := newSim(5, 9, 1.6)
	sm.flood = 10
	sm.target = 500 * time.Millisecond
	sm.run(8 * time.Second)
	for i := 1; i < simWorkspaces; i++ {
		name := fmt.Sprint("w", i)
		if fraction := float64(sm.inTimeByWorkspace[name]) / float64(sm.callsByWorkspace[name]); fraction < 0.9 {
			t.Errorf("%.2f of the calls of %s were served in time", fraction, name)
		}
	}
	// The flooding workspace gets the remaining capacity.
	remaining := (1/1.6 - 7.0/17) * 17 / 10
	if fraction := float64(sm.inTimeByWorkspace["w0"]) / float64(sm.callsByWorkspace["w0"]); fraction < 0.7*remaining {
		t.Errorf("%.2f of the flooding workspace's calls were served in time; the remaining capacity is %.2f", fraction, remaining)
	}
}
