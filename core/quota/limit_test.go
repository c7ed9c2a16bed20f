package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testBounds are those of a deployment with limits of workspaces.
var testBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 140_000}

const tokenStep = 4 * time.Millisecond

// tokenSimulation runs gates that share the limit of one workspace, in virtual time and without a network.
type tokenSimulation struct {
	random *rand.Rand
	now    time.Time
	began  time.Time
	limit  Limit
	// gates are the processes; a gate that has been killed is nil.
	gates []*Stock
	// weights are the shares of the gates in the load.
	weights []float64
	// load is the number of tokens that callers want per second.
	load func(elapsed time.Duration) float64
	// dispensers returns the dispenser that replies to a gate, with its place; nil if none does.
	dispenser func(gate int) (dp *Dispenser, place Place)
	// sizes returns the tokens of the next request.
	size     func() float64
	replies  []reply
	waiting  []*waitingClaim
	sent     []sentTokens
	wanted   []sentTokens
	refused  []sentTokens
	lastFrom map[int]map[*Dispenser]time.Time
	asks     int
	nextTick []time.Time
	delayed  int
}

type sentTokens struct {
	at     time.Time
	amount float64
}

type waitingClaim struct {
	gate  int
	claim *Claim
}

func newTokenSimulation(gates int, limit Limit, load func(time.Duration) float64) *tokenSimulation {
	start := time.Unix(1_000, 0)
	sm := &tokenSimulation{random: rand.New(rand.NewPCG(3, 4)), now: start, began: start, limit: limit, load: load,
		lastFrom: make(map[int]map[*Dispenser]time.Time), nextTick: make([]time.Time, gates)}
	for range gates {
		sm.gates = append(sm.gates, NewStock())
		// Some gates have ten times the callers of others.
		sm.weights = append(sm.weights, 0.2+1.8*math.Pow(sm.random.Float64(), 2))
	}
	sm.size = func() float64 {
		if sm.random.Float64() < 0.15 {
			return 6_000 + 12_000*sm.random.Float64()
		}
		return 1_000 + 2_700*sm.random.Float64()
	}
	dp := newTestDispenser(start.Add(-time.Minute))
	sm.dispenser = func(int) (*Dispenser, Place) { return dp, Place{Dispensers: gates} }
	return sm
}

// newTestDispenser returns a dispenser that began at a time.
func newTestDispenser(began time.Time) *Dispenser {
	dp := NewDispenser()
	dp.SetBounds(began, testBounds)
	return dp
}

func (sm *tokenSimulation) after(deliver func()) {
	// A gate with little processor time takes a few milliseconds at times.
	delay := time.Duration(300+sm.random.IntN(2_700)) * time.Microsecond
	sm.replies = append(sm.replies, reply{at: sm.now.Add(delay), deliver: deliver})
}

func (sm *tokenSimulation) meanSize() float64 {
	sum := 0.0
	const samples = 2_000
	for range samples {
		sum += sm.size()
	}
	return sum / samples
}

func (sm *tokenSimulation) run(duration time.Duration) {
	mean, total := sm.meanSize(), 0.0
	for _, weight := range sm.weights {
		total += weight
	}
	for end := sm.now.Add(duration); sm.now.Before(end); sm.now = sm.now.Add(tokenStep) {
		var due []reply
		sm.replies = slices.DeleteFunc(sm.replies, func(rp reply) bool {
			if rp.at.After(sm.now) {
				return false
			}
			due = append(due, rp)
			return true
		})
		for _, rp := range due {
			rp.deliver()
		}
		perStep := sm.load(sm.now.Sub(sm.began)) * tokenStep.Seconds() / mean / total
		for i, sk := range sm.gates {
			if sk == nil {
				continue
			}
			for want := perStep * sm.weights[i]; sm.random.Float64() < want; want-- {
				sm.request(i)
			}
			if !sm.now.Before(sm.nextTick[i]) {
				sk.Tick(sm.now)
				sm.nextTick[i] = sm.now.Add(TickInterval)
			}
			for _, ak := range sk.TakeTokenAsks(sm.now) {
				sm.ask(i, ak)
			}
		}
		sm.waiting = slices.DeleteFunc(sm.waiting, func(wc *waitingClaim) bool {
			if !sm.now.Before(wc.claim.Until()) && sm.gates[wc.gate] != nil {
				sm.gates[wc.gate].GiveUp(wc.claim)
			}
			return sm.settle(wc.claim)
		})
	}
}

func (sm *tokenSimulation) request(gate int) {
	amount := sm.size()
	sm.wanted = append(sm.wanted, sentTokens{at: sm.now, amount: amount})
	cl := sm.gates[gate].Claim(sm.now, sm.limit, amount)
	if !sm.settle(cl) {
		sm.delayed++
		sm.waiting = append(sm.waiting, &waitingClaim{gate: gate, claim: cl})
	}
}

// settle records a claim that is decided.
func (sm *tokenSimulation) settle(cl *Claim) bool {
	select {
	case <-cl.Done():
	default:
		return false
	}
	entry := sentTokens{at: sm.now, amount: cl.amount}
	if cl.Granted() {
		sm.sent = append(sm.sent, entry)
	} else {
		sm.refused = append(sm.refused, entry)
	}
	return true
}

func (sm *tokenSimulation) ask(gate int, ak TokenAsk) {
	sm.asks++
	sk, askedAt := sm.gates[gate], sm.now
	dp, place := sm.dispenser(gate)
	if dp == nil {
		sm.replies = append(sm.replies, reply{at: sm.now.Add(150 * time.Millisecond), deliver: func() { sk.FailTokens(sm.now, ak) }})
		return
	}
	for other, at := range sm.lastFrom[gate] {
		if ago := max(sm.now.Sub(at), time.Millisecond); other != dp && (ak.Elsewhere == 0 || ago < ak.Elsewhere) {
			ak.Elsewhere = ago
		}
	}
	sm.after(func() {
		gr := dp.DispenseTokens(sm.now, ak, fmt.Sprint(gate), place)
		sm.after(func() {
			sk.ApplyTokens(sm.now, askedAt, ak, gr)
			if gr.Amount > 0 {
				if sm.lastFrom[gate] == nil {
					sm.lastFrom[gate] = make(map[*Dispenser]time.Time)
				}
				sm.lastFrom[gate][dp] = sm.now
			}
		})
	})
}

// bound returns what all gates may send in a window.
func bound(lm Limit) float64 {
	return (lm.rate*testBounds.Window.Seconds()+lm.burst)*(1+testBounds.Overage) + testBounds.Slack
}

// most returns the most tokens in a window.
func (sm *tokenSimulation) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, st := range sm.sent {
		sum += st.amount
		for st.at.Sub(sm.sent[first].at) > testBounds.Window {
			sum -= sm.sent[first].amount
			first++
		}
		most = max(most, sum)
	}
	return most
}

// inLimit returns what one process that knows all requests would admit.
func (sm *tokenSimulation) inLimit() float64 {
	level, at, admitted := sm.limit.burst, sm.began, 0.0
	for _, st := range sm.wanted {
		level = min(level+st.at.Sub(at).Seconds()*sm.limit.rate, sm.limit.burst)
		at = st.at
		if st.amount <= level {
			level -= st.amount
			admitted += st.amount
		}
	}
	return admitted
}

func sum(list []sentTokens) float64 {
	total := 0.0
	for _, st := range list {
		total += st.amount
	}
	return total
}

// check checks that no window exceeds the bound, and that less than lost of what is below the limit was not sent.
func (sm *tokenSimulation) check(t *testing.T, name string, lost float64) {
	t.Helper()
	load := sm.load
	sm.load = func(time.Duration) float64 { return 0 }
	sm.run(2 * HoldTime)
	sm.load = load
	admitted, ideal := sum(sm.sent), sm.inLimit()
	t.Logf("%s: window %.3f of the bound, sent %.3f of what is below the limit, refused %.4f of all; %.1f asks/s, %.4f delayed", name, sm.most()/bound(sm.limit),
		admitted/ideal, sum(sm.refused)/sum(sm.wanted), float64(sm.asks)/sm.now.Sub(sm.began).Seconds(), float64(sm.delayed)/float64(len(sm.wanted)))
	if sm.most() > bound(sm.limit) {
		t.Errorf("%s: %.0f tokens in a window, the bound is %.0f", name, sm.most(), bound(sm.limit))
	}
	if admitted < (1-lost)*ideal {
		t.Errorf("%s: %.4f of what is below the limit was sent, want %.2f", name, admitted/ideal, 1-lost)
	}
}

// Load within the limit is not refused, and a flood of 7.5 times the usual load at all gates within a second stays within the bound, at the gates of both
// deployments with callers unevenly spread (a limit that no gate enforced).
func TestFloodOfWorkspaceStaysInBound(t *testing.T) {
	for _, gates := range []int{3, 25, 45} {
		for _, rate := range []float64{36_000, 150_000, 709_743} {
			limit := NewLimit("w", rate, rate, false, 1)
			usual := rate / 1.8
			name := fmt.Sprintf("%d gates, %.0f/s", gates, rate)
			calm := newTokenSimulation(gates, limit, func(time.Duration) float64 { return usual })
			calm.run(12 * time.Second)
			calm.check(t, name+", usual load", 0.02)
			flood := newTokenSimulation(gates, limit, func(elapsed time.Duration) float64 {
				if elapsed < 4*time.Second || elapsed > 16*time.Second {
					return usual
				}
				return usual * (1 + 6.5*min((elapsed-4*time.Second).Seconds(), 1))
			})
			flood.run(20 * time.Second)
			flood.check(t, name+", flood", 0.02)
		}
	}
}

// usualThenFlood returns the load of a workspace that floods between two times.
func usualThenFlood(usual float64, from, to time.Duration) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed < from || elapsed > to {
			return usual
		}
		return usual * (1 + 6.5*min((elapsed-from).Seconds(), 1))
	}
}

// The bound holds in a flood and little is refused under the usual load while the gate that gives out tokens is killed, restarts, is silent or cut off,
// while another takes its place, and while groups of gates do not reach each other.
func TestBoundHoldsThroughFailures(t *testing.T) {
	const failure = 8 * time.Second
	for _, gates := range []int{25, 45} {
		for _, rate := range []float64{36_000, 709_743} {
			for _, tt := range []struct {
				name string
				// minUsual is the share of what is below the limit that is sent under the usual load, and fails what happens from failure on.
				minUsual float64
				fails    func(sm *tokenSimulation)
			}{
				{"dispenser killed, its VM refuses connections", 0.98, func(sm *tokenSimulation) {
					next := newTestDispenser(sm.began.Add(-time.Minute))
					sm.gates[0] = nil
					sm.dispenser = func(int) (*Dispenser, Place) { return next, Place{Dispensers: gates} }
				}},
				{"another gate killed", 0.98, func(sm *tokenSimulation) { sm.gates[1] = nil }},
				{"dispenser restarts", 0.98, func(sm *tokenSimulation) {
					next := newTestDispenser(sm.now)
					sm.dispenser = func(int) (*Dispenser, Place) { return next, Place{Dispensers: gates} }
				}},
				{"dispenser silent, replaced after 450 ms", 0.90, func(sm *tokenSimulation) {
					next, from := newTestDispenser(sm.began.Add(-time.Minute)), sm.now.Add(450*time.Millisecond)
					sm.gates[0] = nil
					sm.dispenser = func(int) (*Dispenser, Place) {
						if sm.now.Before(from) {
							return nil, Place{}
						}
						return next, Place{Rank: 1, Dispensers: gates}
					}
				}},
				{"first dispenser cut off alone", 0.85, func(sm *tokenSimulation) {
					first, _ := sm.dispenser(0)
					next := newTestDispenser(sm.began.Add(-time.Minute))
					sm.dispenser = func(gate int) (*Dispenser, Place) {
						if gate == 0 {
							return first, Place{Dispensers: gates}
						}
						return next, Place{Rank: 1, Dispensers: gates}
					}
				}},
				{"a gate that starts becomes the dispenser, known everywhere within 1 s", 0.98, func(sm *tokenSimulation) {
					first, _ := sm.dispenser(0)
					next, from := newTestDispenser(sm.now), sm.now
					sm.dispenser = func(gate int) (*Dispenser, Place) {
						known := func(gate int) bool { return sm.now.Sub(from) > time.Duration(gate)*time.Second/time.Duration(gates) }
						if known(gate) {
							return next, Place{Dispensers: gates}
						}
						// The former dispenser is the gate in the middle.
						if known(gates / 2) {
							return first, Place{Rank: 1, Dispensers: gates}
						}
						return first, Place{Dispensers: gates}
					}
				}},
				{"two groups", 0, func(sm *tokenSimulation) {
					first, _ := sm.dispenser(0)
					next := newTestDispenser(sm.began.Add(-time.Minute))
					sm.dispenser = func(gate int) (*Dispenser, Place) {
						if gate%3 > 0 {
							return first, Place{Dispensers: gates}
						}
						return next, Place{Rank: 1, Dispensers: gates}
					}
				}},
				{"no gate reaches another", 0, func(sm *tokenSimulation) {
					own := make([]*Dispenser, gates)
					for i := range own {
						own[i] = newTestDispenser(sm.began.Add(-time.Minute))
					}
					own[0], _ = sm.dispenser(0)
					sm.dispenser = func(gate int) (*Dispenser, Place) { return own[gate], Place{Rank: gate, Dispensers: gates} }
				}},
				{"none replies", 0, func(sm *tokenSimulation) {
					sm.dispenser = func(int) (*Dispenser, Place) { return nil, Place{} }
				}},
			} {
				limit := NewLimit("w", rate, rate, false, 1)
				for _, load := range []struct {
					name     string
					load     func(time.Duration) float64
					minShare float64
				}{
					{"usual load", func(time.Duration) float64 { return rate / 1.8 }, tt.minUsual},
					{"flood before", usualThenFlood(rate/1.8, 5*time.Second, 14*time.Second), 0},
					{"flood after", usualThenFlood(rate/1.8, 8500*time.Millisecond, 18*time.Second), 0},
				} {
					sm := newTokenSimulation(gates, limit, load.load)
					sm.run(failure)
					tt.fails(sm)
					sm.run(12 * time.Second)
					sm.check(t, fmt.Sprintf("%d gates, %.0f/s, %s, %s", gates, rate, tt.name, load.name), 1-load.minShare)
				}
			}
		}
	}
}

// A lowered limit binds within one window after all gates have it, a higher one is used, and one that no gate uses any more is forgotten.
func TestLimitOfWorkspaceChanges(t *testing.T) {
	const gates = 25
	sm := newTokenSimulation(gates, NewLimit("w", 400_000, 400_000, false, 1), func(time.Duration) float64 { return 800_000 })
	sm.run(6 * time.Second)
	sm.limit = NewLimit("w", 50_000, 50_000, false, 2)
	sm.run(testBounds.Window)
	sm.sent, sm.wanted, sm.refused = nil, nil, nil
	sm.began = sm.now
	sm.run(10 * time.Second)
	// The burst that the limit allows has been used before.
	sm.check(t, "after 400,000/s, 50,000/s", 0.1)
	sm.limit = NewLimit("w", 400_000, 400_000, false, 3)
	sm.run(3 * time.Second)
	sm.sent, sm.wanted, sm.refused = nil, nil, nil
	sm.began = sm.now
	sm.run(10 * time.Second)
	sm.check(t, "after 50,000/s, 400,000/s", 0.1)
	sm.load = func(time.Duration) float64 { return 0 }
	sm.run(40 * time.Second)
	dp, _ := sm.dispenser(0)
	if held := len(dp.balances["w"].leases); held != 0 {
		t.Errorf("%d gates count as holders of a workspace that was dropped", held)
	}
	for _, sk := range sm.gates {
		if len(sk.accounts) != 0 {
			t.Fatalf("a gate keeps the account of a workspace that was dropped: %+v", sk.accounts["w"])
		}
	}
}

// What a request was admitted for can be used again if it did not run, and a run more than was admitted is paid back.
func TestCreditAndCharge(t *testing.T) {
	now, limit := time.Unix(1_000, 0), NewLimit("w", 100, 1_000, true, 1)
	sk, dp := NewStock(), newTestDispenser(now.Add(-time.Minute))
	exchange := func() {
		for _, ak := range sk.TakeTokenAsks(now) {
			sk.ApplyTokens(now, now, ak, dp.DispenseTokens(now, ak, "a", Place{Dispensers: 1}))
		}
	}
	cl := sk.Claim(now, limit, 700)
	exchange()
	if !cl.Granted() {
		t.Fatal("a request below the limit was refused")
	}
	sk.Credit(now, "w", 700)
	now = now.Add(20 * time.Millisecond)
	if again := sk.Claim(now, limit, 700); !again.Granted() {
		t.Error("what was credited cannot be used")
	}
	sk.Charge(now, "w", 700)
	now = now.Add(20 * time.Millisecond)
	exchange()
	now = now.Add(200 * time.Millisecond)
	cl = sk.Claim(now, limit, 100)
	exchange()
	select {
	case <-cl.Done():
		if cl.Granted() {
			t.Error("a run more was not paid back")
		}
	default:
		t.Error("the claim is not decided")
	}
	now = now.Add(9 * time.Second)
	cl = sk.Claim(now, limit, 100)
	exchange()
	select {
	case <-cl.Done():
	default:
		t.Error("the debt is not paid back in 9 s")
	}
}
