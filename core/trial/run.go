package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times of a run.
const (
	// warmUp is how long the rate climbs while the caches fill; it is not measured.
	warmUp      = 60 * time.Second
	oneWayDelay = 1500 * time.Microsecond
	greetPeriod = time.Second
	giveUpTime  = 60 * time.Second
)

// Options describe one run.
type Options struct {
	Deployment Deployment
	Condition  Condition
	Policy     Policy
	Load       float64
	Seed       uint64
	Length     time.Duration
}

// Result is what one run measured after its warm-up.
type Result struct {
	calls    int
	sent     [][]time.Duration
	prompt   int
	cached   int
	bound    int
	firstAll *hdrhistogram.Histogram
	firstChk *hdrhistogram.Histogram
}

// HitRate returns the part of the prompts' tokens that were found in caches.
func (rs Result) HitRate() float64 { return float64(rs.cached) / float64(max(rs.prompt, 1)) }

// BoundRate returns the part that the clairvoyant bound finds: all that was computed anywhere before.
func (rs Result) BoundRate() float64 { return float64(rs.bound) / float64(max(rs.prompt, 1)) }

// Recomputed returns the tokens that were computed although they had been computed before.
func (rs Result) Recomputed() int { return rs.bound - rs.cached }

// Sent returns how many calls were sent to a server in a span of the run.
func (rs Result) Sent(server int, from, to time.Duration) int {
	count := 0
	for _, at := range rs.sent[server] {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// Calls returns the number of measured calls.
func (rs Result) Calls() int { return rs.calls }

// FirstToken returns a quantile, from 0 to 100, of the time to the first token.
func (rs Result) FirstToken(quantile float64) time.Duration {
	return time.Duration(rs.firstAll.ValueAtQuantile(quantile)) * time.Microsecond
}

// CheckFirstToken returns a quantile of the time to the first token of quick checks.
func (rs Result) CheckFirstToken(quantile float64) time.Duration {
	return time.Duration(rs.firstChk.ValueAtQuantile(quantile)) * time.Microsecond
}

// runner is a run under way.
type runner struct {
	opts    Options
	rng     *rand.Rand
	loader  *loader
	now     time.Duration
	queue   timeQueue
	seq     int
	engines []*engine
	routers []router
	result  Result
}

type timedEvent struct {
	at   time.Duration
	seq  int
	call func()
}

type timeQueue []timedEvent

func (tq timeQueue) Len() int { return len(tq) }

func (tq timeQueue) Less(left, right int) bool {
	if tq[left].at != tq[right].at {
		return tq[left].at < tq[right].at
	}
	return tq[left].seq < tq[right].seq
}

func (tq timeQueue) Swap(left, right int) { tq[left], tq[right] = tq[right], tq[left] }

// Push adds a timedEvent.
func (tq *timeQueue) Push(value any) { *tq = append(*tq, value.(timedEvent)) }

// Pop removes the last timedEvent.
func (tq *timeQueue) Pop() any {
	last := (*tq)[len(*tq)-1]
	*tq = (*tq)[:len(*tq)-1]
	return last
}

// Run plays one run; the same options give the same result.
func Run(opts Options) Result {
	rn := newRunner(opts)
	rn.after(0, rn.arrive)
	rn.after(greetPeriod, rn.greet)
	rn.after(opts.Length/2, rn.disturb)
	for len(rn.queue) > 0 {
		ev := heap.Pop(&rn.queue).(timedEvent)
		rn.now = ev.at
		ev.call()
	}
	return rn.result
}

func newRunner(opts Options) *runner {
	rn := &runner{
		opts:   opts,
		rng:    rand.New(rand.NewPCG(opts.Seed, 11)),
		loader: newLoader(opts.Seed, opts.Deployment, opts.Condition),
		result: Result{
			sent:     make([][]time.Duration, opts.Deployment.replicas),
			firstAll: hdrhistogram.New(1, giveUpTime.Microseconds()*10, 3),
			firstChk: hdrhistogram.New(1, giveUpTime.Microseconds()*10, 3),
		},
	}
	for server := range opts.Deployment.replicas {
		rate := opts.Deployment.rateOf(server)
		rn.engines = append(rn.engines, newEngine(rate, opts.Deployment.cachePieces))
	}
	rn.restartRouters()
	return rn
}

func (rn *runner) restartRouters() {
	rn.routers = nil
	for entry := range rn.opts.Deployment.entries {
		rt := newRouter(rn.opts.Policy, rn.opts.Deployment, entry)
		for server, en := range rn.engines {
			if en.alive {
				rt.replied(rn.now, server, en)
				continue
			}
			rt.failed(rn.now, server)
			rt.failed(rn.now, server)
		}
		rn.routers = append(rn.routers, rt)
	}
}

func (rn *runner) after(delay time.Duration, call func()) {
	rn.seq++
	heap.Push(&rn.queue, timedEvent{at: rn.now + delay, seq: rn.seq, call: call})
}

// arrive sends one call and schedules the next one.
func (rn *runner) arrive() {
	if rn.now >= rn.opts.Length {
		return
	}
	rate := rn.opts.Deployment.rate(rn.opts.Load)
	if third := rn.opts.Length / 3; rn.now > third && rn.now < 2*third {
		rate *= rn.opts.Condition.surge
	}
	if rn.now < warmUp {
		rate *= 0.1 + 0.9*float64(rn.now)/float64(warmUp)
	}
	rn.after(seconds(rn.rng.ExpFloat64()/rate), rn.arrive)
	rn.send(rn.loader.next(rn.now))
}

func (rn *runner) send(cl *call) {
	rt := rn.routers[cl.entry]
	server, cached, expected := rt.choose(rn.now, cl)
	rn.result.sent[server] = append(rn.result.sent[server], rn.now)
	jb := &job{call: cl, server: server, sentAt: rn.now, expected: expected, guess: cached}
	rn.after(oneWayDelay, func() { rn.deliver(jb) })
}

func (rn *runner) deliver(jb *job) {
	en := rn.engines[jb.server]
	if !en.alive {
		rn.routers[jb.call.entry].failed(rn.now, jb.server)
		rn.send(jb.call)
		return
	}
	jb.arrived = rn.now
	en.put(jb)
	rn.reply(jb.call.entry, jb.server)
	rn.compute(en)
}

func (rn *runner) reply(entry, server int) {
	rn.after(oneWayDelay, func() { rn.routers[entry].replied(rn.now, server, rn.engines[server]) })
}

// compute begins the next prompt if the engine is free.
func (rn *runner) compute(en *engine) {
	if en.computing != nil || !en.alive {
		return
	}
	jb := en.take()
	if jb == nil {
		return
	}
	en.computing = jb
	jb.cached = en.lookup(jb.call)
	jb.missing = jb.call.tokens - jb.cached
	rn.after(seconds(float64(jb.missing)/en.actual), func() { rn.computed(en, jb) })
}

func (rn *runner) computed(en *engine, jb *job) {
	if !en.alive {
		return
	}
	en.computing = nil
	en.pending -= jb.guess
	en.rate.Measure(epochTime.Add(rn.now), jb.ahead, rn.now-jb.arrived)
	rn.compute(en)
	rn.after(oneWayDelay, func() {
		rt := rn.routers[jb.call.entry]
		rt.replied(rn.now, jb.server, en)
		rt.first(rn.now, jb, en)
		rn.count(jb)
	})
	rn.after(oneWayDelay+time.Duration(jb.call.output)*tokenTime, func() {
		rn.routers[jb.call.entry].replied(rn.now, jb.server, en)
	})
}

func (rn *runner) count(jb *job) {
	if jb.call.at < warmUp {
		return
	}
	rs := &rn.result
	rs.calls++
	rs.prompt += jb.call.tokens
	rs.cached += jb.cached
	rs.bound += jb.call.bound
	elapsed := (rn.now - jb.call.at).Microseconds()
	_ = rs.firstAll.RecordValue(elapsed)
	if jb.call.check {
		_ = rs.firstChk.RecordValue(elapsed)
	}
}

// greet lets each entry hear of each engine once a period, as entries do with idle servers.
func (rn *runner) greet() {
	if rn.now >= rn.opts.Length {
		return
	}
	rn.after(greetPeriod, rn.greet)
	for entry := range rn.routers {
		for server, en := range rn.engines {
			if en.alive {
				rn.reply(entry, server)
			}
		}
	}
}

// disturb does what the condition has for the middle of the run.
func (rn *runner) disturb() {
	for server := range rn.opts.Condition.lostServers {
		rn.lose(server*2 + 1)
	}
	if rn.opts.Condition.slowServer {
		rn.engines[0].actual /= slowFactor
	}
	if rn.opts.Condition.herdRestart {
		rn.restartRouters()
	}
}

// lose ends an engine; its calls are sent again elsewhere.
func (rn *runner) lose(server int) {
	en := rn.engines[server]
	en.alive = false
	jobs := append(en.queues[0], en.queues[1]...)
	if en.computing != nil {
		jobs = append(jobs, en.computing)
	}
	for _, rt := range rn.routers {
		rt.failed(rn.now, server)
		rt.failed(rn.now, server)
	}
	for _, jb := range jobs {
		rn.send(jb.call)
	}
}

// String returns the result in one line.
func (rs Result) String() string {
	return fmt.Sprintf("hit %.3f of %.3f, first token p50 %v p95 %v p99 %v, recomputed %.2f M",
		rs.HitRate(), rs.BoundRate(), rs.FirstToken(50), rs.FirstToken(95), rs.FirstToken(99), float64(rs.Recomputed())/1e6)
}

// Merge returns the sum of several runs.
func Merge(results []Result) Result {
	sum := results[0]
	for _, rs := range results[1:] {
		sum.calls += rs.calls
		sum.prompt += rs.prompt
		sum.cached += rs.cached
		sum.bound += rs.bound
		sum.firstAll.Merge(rs.firstAll)
		sum.firstChk.Merge(rs.firstChk)
	}
	return sum
}
