package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The contention tests play the plain service of deployment A in virtual time: 3 servers of 6 slots, 60 ms of work, 91.6 requests per
// second, 25 gates with uneven shares of the callers, 16 workspaces, the largest of which has a quarter of the load.
const (
	simGates      = 25
	simWorkspaces = 16
	simServers    = 3
	simSlots      = 6
	simWork       = 60 * time.Millisecond
	simPerSecond  = 91.6
	simTarget     = 300 * time.Millisecond
	simDeadline   = 1500 * time.Millisecond
	simStep       = time.Millisecond
	simNews       = 500 * time.Millisecond
	simService    = "orders"
	// simRetryAfter is the time after which a full server is expected to have a free slot.
	simRetryAfter = 300 * time.Millisecond
)

// simRequest is a request of a caller; it may come several times.
type simRequest struct {
	workspace, rank, gate int
	// first is when it first came, at when it comes next.
	first, at time.Time
}

// contention is the system under load.
type contention struct {
	now    time.Time
	random *rand.Rand
	meters []*Meter
	flows  []*Flow
	// busy holds when each slot of each server is free.
	busy [simServers][simSlots]time.Time
	down [simServers]bool
	// flood is the ratio of the load of workspace 0 to its usual load.
	flood float64
	// surge is the same ratio of the others' loads, from measuredFrom on.
	surge float64
	// shares makes gates refuse requests; deaf gates hear nothing of others.
	shares, deaf bool
	waiting      []*simRequest
	newsAt       time.Time
	// measuredFrom is when requests begin to count.
	measuredFrom time.Time
	inTime, all  map[int]int
	rankInTime   [ranks]int
	rankAll      [ranks]int
	earlyRefused int
	serverFull   int
	arrivals     int
}

func newContention(seed uint64) *contention {
	cn := &contention{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 5)), flood: 1, surge: 1, shares: true,
		inTime: make(map[int]int), all: make(map[int]int)}
	for i := range simGates {
		cn.meters = append(cn.meters, NewMeter())
		cn.flows = append(cn.flows, NewFlow(seed+uint64(i)))
	}
	return cn
}

// workspacePart returns the usual part of a workspace in the load.
func workspacePart(workspace int) float64 {
	switch workspace {
	case 0:
		return 0.25
	case 1, 2:
		return 0.12
	}
	return 0.51 / (simWorkspaces - 3)
}

func (cn *contention) run(span time.Duration) {
	for end := cn.now.Add(span); cn.now.Before(end); cn.now = cn.now.Add(simStep) {
		if cn.now.Sub(cn.newsAt) >= simNews && !cn.deaf {
			cn.newsAt = cn.now
			for i, sender := range cn.meters {
				works := sender.Works(cn.now, 24)
				for j, receiver := range cn.meters {
					if i != j {
						receiver.Apply(cn.now, uint64(i), works)
						cn.flows[j].ApplyFull(cn.now, cn.flows[i].FullServices(cn.now))
					}
				}
			}
		}
		for workspace := range simWorkspaces {
			rate := simPerSecond * workspacePart(workspace) * simStep.Seconds()
			switch {
			case workspace == 0:
				rate *= cn.flood
			case !cn.measuredFrom.IsZero():
				rate *= cn.surge
			}
			if cn.random.Float64() < rate {
				cn.arrive(workspace)
			}
		}
		due := cn.waiting
		cn.waiting = nil
		for _, rq := range due {
			if rq.at.After(cn.now) {
				cn.waiting = append(cn.waiting, rq)
			} else {
				cn.serve(rq)
			}
		}
	}
}

// arrive lets a new request come to a random gate: the last gates have many times the callers of the first ones. Two of three requests are of
// rank 1, the others of rank 3.
func (cn *contention) arrive(workspace int) {
	gate := int(float64(simGates) * math.Sqrt(cn.random.Float64()))
	rank := 1 + 2*(cn.random.IntN(3)/2)
	rq := &simRequest{workspace: workspace, rank: rank, gate: gate, first: cn.now, at: cn.now}
	if !cn.measuredFrom.IsZero() {
		cn.all[workspace]++
		if workspace > 0 {
			cn.rankAll[rank]++
		}
	}
	cn.waiting = append(cn.waiting, rq)
}

func (cn *contention) serve(rq *simRequest) {
	cn.arrivals++
	meter, flow, name := cn.meters[rq.gate], cn.flows[rq.gate], fmt.Sprint("w", rq.workspace)
	meter.Add(cn.now, simService, name, rq.rank, 1)
	slots := 0
	for _, down := range cn.down {
		if !down {
			slots += simSlots
		}
	}
	capacity, full := flow.Capacity(cn.now, simService, slots)
	verdict := Within
	if cn.shares && full {
		verdict = meter.Admit(cn.now, simService, name, rq.rank, capacity, flow.Draw())
	}
	if verdict == Refused {
		cn.earlyRefused++
		cn.refuse(rq)
		return
	}
	for _, server := range cn.random.Perm(simServers) {
		if cn.down[server] {
			continue
		}
		for slot, free := range cn.busy[server] {
			if free.After(cn.now) {
				continue
			}
			took := time.Duration(float64(simWork) * (0.5 + cn.random.Float64()))
			cn.busy[server][slot] = cn.now.Add(took)
			flow.Served(cn.now, simService, took)
			if !cn.measuredFrom.IsZero() && !rq.first.Before(cn.measuredFrom) && cn.now.Add(took).Sub(rq.first) <= simTarget {
				cn.inTime[rq.workspace]++
				if rq.workspace > 0 {
					cn.rankInTime[rq.rank]++
				}
			}
			return
		}
		cn.serverFull++
		flow.Full(cn.now, simService)
		if verdict == Beyond {
			break
		}
	}
	cn.refuse(rq)
}

// refuse tells the caller when to return; a caller honours a third of its remaining time.
func (cn *contention) refuse(rq *simRequest) {
	left := rq.first.Add(simDeadline).Sub(cn.now)
	delay := cn.flows[rq.gate].Next(cn.now, simService, simRetryAfter, left/3)
	if delay > left/3 {
		return
	}
	rq.at = cn.now.Add(delay)
	cn.waiting = append(cn.waiting, rq)
}

// othersInTime returns the part of the requests of all workspaces but the flooding one that were served in time, and the least such part
// of any of these.
func (cn *contention) othersInTime() (part, least float64) {
	inTime, all := 0, 0
	least = 1
	for workspace := 1; workspace < simWorkspaces; workspace++ {
		inTime, all = inTime+cn.inTime[workspace], all+cn.all[workspace]
		least = min(least, float64(cn.inTime[workspace])/float64(cn.all[workspace]))
	}
	return float64(inTime) / float64(all), least
}

// playContention plays 20 usual seconds, and then 30 s in which a server is down for 8 s twice, with a flood.
func playContention(flood float64, change func(*contention)) *contention {
	cn := newContention(11)
	change(cn)
	cn.run(20 * time.Second)
	cn.measuredFrom, cn.flood = cn.now, flood
	for range 2 {
		cn.run(4 * time.Second)
		cn.down[cn.random.IntN(simServers)] = true
		cn.run(8 * time.Second)
		cn.down = [simServers]bool{}
		cn.run(3 * time.Second)
	}
	return cn
}

// One workspace has 7.5 times its usual load while servers crash. The others must be served in time as without that, although each gate sees
// a few requests of each workspace only.
func TestFloodDoesNotReachOtherWorkspaces(t *testing.T) {
	keep := func(*contention) {}
	usual := playContention(1, keep)
	without := playContention(7.5, func(cn *contention) { cn.shares = false })
	with := playContention(7.5, keep)
	before, leastBefore := usual.othersInTime()
	unshared, leastUnshared := without.othersInTime()
	shared, leastShared := with.othersInTime()
	t.Logf("others in time: %.3f (least %.3f) without the flood, %.3f (%.3f) with it and shares, %.3f (%.3f) without shares",
		before, leastBefore, shared, leastShared, unshared, leastUnshared)
	t.Logf("arrivals %d, refused early %d, rejections of full servers %d; without shares %d, 0, %d",
		with.arrivals, with.earlyRefused, with.serverFull, without.arrivals, without.serverFull)
	t.Logf("flooding workspace in time: %.3f with shares, %.3f without",
		float64(with.inTime[0])/float64(with.all[0]), float64(without.inTime[0])/float64(without.all[0]))
	if shared < before-0.05 {
		t.Errorf("%.3f of the requests of others were served in time, %.3f without the flood", shared, before)
	}
	if unshared > before-0.05 {
		t.Errorf("the flood takes nothing from others without shares (%.3f and %.3f), so that the test shows nothing", unshared, before)
	}
	if usual.earlyRefused > usual.arrivals/100 {
		t.Errorf("%d of %d requests were refused early without a flood", usual.earlyRefused, usual.arrivals)
	}
}

// Requests of higher ranks must be served no less often than those of lower ranks, while one workspace floods the service or the load of all of
// them exceeds the capacity. The former is played several times: both ranks lose about a twentieth of their requests, to servers that are full.
func TestHigherRanksAreServedNoLessOften(t *testing.T) {
	for _, tt := range []struct {
		name         string
		flood, surge float64
		seeds        []uint64
		// minGain is by how much more often the higher rank must be served.
		minGain float64
	}{
		{"flood of 7.5", 7.5, 1, []uint64{11, 1, 2, 3, 4, 5}, -0.01},
		{"flood of 15", 15, 1, []uint64{11, 1, 2, 3, 4, 5}, -0.01},
		{"surge of 4", 4, 4, []uint64{11}, 0.1},
	} {
		var inTime, all [ranks]int
		for _, seed := range tt.seeds {
			cn := playContention(tt.flood, func(cn *contention) { cn.random, cn.surge = rand.New(rand.NewPCG(seed, 5)), tt.surge })
			for rank := range ranks {
				inTime[rank], all[rank] = inTime[rank]+cn.rankInTime[rank], all[rank]+cn.rankAll[rank]
			}
		}
		high, low := float64(inTime[1])/float64(all[1]), float64(inTime[3])/float64(all[3])
		t.Logf("%s: in time %.3f of rank 1, %.3f of rank 3", tt.name, high, low)
		if high < low+tt.minGain {
			t.Errorf("%s: %.3f of rank 1 and %.3f of rank 3 were served in time", tt.name, high, low)
		}
	}
}

// A gate that hears nothing of others decides on its own callers. It must not refuse more than the servers would.
func TestGatesThatHearNothingServeAsBefore(t *testing.T) {
	deaf := playContention(7.5, func(cn *contention) { cn.deaf = true })
	without := playContention(7.5, func(cn *contention) { cn.deaf, cn.shares = true, false })
	heard, _ := deaf.othersInTime()
	before, _ := without.othersInTime()
	t.Logf("others in time: %.3f with shares, %.3f without", heard, before)
	if heard < before-0.02 {
		t.Errorf("%.3f of the requests of others were served in time, %.3f without shares", heard, before)
	}
}

// Nothing is refused with spare capacity, whatever the shares are.
func TestNothingIsRefusedWithSpareCapacity(t *testing.T) {
	cn := newContention(11)
	cn.flood = 2
	cn.run(20 * time.Second)
	if cn.earlyRefused > 0 {
		t.Errorf("%d of %d requests were refused at 115 requests per second with a capacity of 300", cn.earlyRefused, cn.arrivals)
	}
}
