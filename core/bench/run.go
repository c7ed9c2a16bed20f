package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotcleat/core/clock"
)

// Times of a run.
const (
	// warmUp is how long the rate climbs while the caches fill; it is not measured.
	warmUp      = 60 * time.Second
	oneWayDelay = 1500 * time.Microsecond
	pollPeriod  = time.Second
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

// runner is a run under way.
type runner struct {
	opts    Options
	rng     *rand.Rand
	loader  *loader
	clock   *clock.Virtual
	engines []*engine
	routers []router
	result  Result
}

// Run plays one run; the same options give the same result.
func Run(opts Options) Result {
	rn := newRunner(opts)
	rn.after(0, rn.arrive)
	rn.after(pollPeriod, rn.poll)
	rn.after(opts.Length/2, rn.disturb)
	rn.clock.Drain()
	return rn.result
}

func newRunner(opts Options) *runner {
	rn := &runner{
		opts:   opts,
		clock:  clock.NewVirtual(epochTime),
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
				rt.replied(rn.now(), server, en)
				continue
			}
			rt.failed(rn.now(), server)
			rt.failed(rn.now(), server)
		}
		rn.routers = append(rn.routers, rt)
	}
}

func (rn *runner) after(delay time.Duration, call func()) { rn.clock.After(delay, call) }

// now returns the time since the run began.
func (rn *runner) now() time.Duration { return rn.clock.Now().Sub(epochTime) }

// arrive sends one call and schedules the next one.
func (rn *runner) arrive() {
	if rn.now() >= rn.opts.Length {
		return
	}
	rate := rn.opts.Deployment.rate(rn.opts.Load)
	if third := rn.opts.Length / 3; rn.now() > third && rn.now() < 2*third {
		rate *= rn.opts.Condition.surge
	}
	if rn.now() < warmUp {
		rate *= 0.1 + 0.9*float64(rn.now())/float64(warmUp)
	}
	rn.after(seconds(rn.rng.ExpFloat64()/rate), rn.arrive)
	rn.send(rn.loader.next(rn.now()))
}

func (rn *runner) send(cl *call) {
	rt := rn.routers[cl.entry]
	server, cached := rt.choose(rn.now(), cl)
	rn.result.sent[server] = append(rn.result.sent[server], rn.now())
	jb := &job{call: cl, server: server, guess: cached}
	rn.after(oneWayDelay, func() { rn.deliver(jb) })
}

func (rn *runner) deliver(jb *job) {
	en := rn.engines[jb.server]
	if !en.alive {
		rn.routers[jb.call.entry].failed(rn.now(), jb.server)
		rn.send(jb.call)
		return
	}
	jb.arrived = rn.now()
	en.put(jb)
	rn.reply(jb.call.entry, jb.server)
	rn.compute(en)
}

func (rn *runner) reply(entry, server int) {
	rn.after(oneWayDelay, func() { rn.routers[entry].replied(rn.now(), server, rn.engines[server]) })
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
	en.rate.Observe(epochTime.Add(rn.now()), jb.ahead, rn.now()-jb.arrived)
	rn.compute(en)
	rn.after(oneWayDelay, func() {
		rt := rn.routers[jb.call.entry]
		rt.replied(rn.now(), jb.server, en)
		rt.first(rn.now(), jb, en)
		rn.count(jb)
	})
	rn.after(oneWayDelay+time.Duration(jb.call.output)*tokenTime, func() {
		rn.routers[jb.call.entry].replied(rn.now(), jb.server, en)
	})
}

func (rn *runner) count(jb *job) {
	if jb.call.at < warmUp {
		return
	}
	rs := &rn.result
	rs.prompt += jb.call.tokens
	rs.cached += jb.cached
	rs.bound += jb.call.bound
	elapsed := (rn.now() - jb.call.at).Microseconds()
	_ = rs.firstAll.RecordValue(elapsed)
	if jb.call.check {
		_ = rs.firstChk.RecordValue(elapsed)
	}
}

// poll lets each entry hear of each engine once a period, as entries do with idle servers.
func (rn *runner) poll() {
	if rn.now() >= rn.opts.Length {
		return
	}
	rn.after(pollPeriod, rn.poll)
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
		rt.failed(rn.now(), server)
		rt.failed(rn.now(), server)
	}
	for _, jb := range jobs {
		rn.send(jb.call)
	}
}
