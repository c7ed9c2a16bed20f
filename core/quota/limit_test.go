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

const tokenStep = time.Millisecond

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
