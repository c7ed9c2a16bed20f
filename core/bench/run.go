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
	warmUp         = 60 * time.Second
	oneWayDelay    = 1500 * time.Microsecond
	pollPeriod     = time.Second
	requestTimeout = 60 * time.Second
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
type simulation struct {
	opts      Options
	rng       *rand.Rand
	generator *generator
	clock     *clock.Virtual
	engines   []*engine
	routers   []router
	result    Result
}

// Run plays one run; the same options give the same result.
func Run(opts Options) Result {
	sm := newSimulation(opts)
	sm.after(0, sm.arrive)
	sm.after(pollPeriod, sm.pollStatus)
	sm.after(opts.Length/2, sm.applyCondition)
	sm.clock.Drain()
	return sm.result
}

func newSimulation(opts Options) *simulation {
	sm := &simulation{
		opts:      opts,
		clock:     clock.NewVirtual(epochTime),
		rng:       rand.New(rand.NewPCG(opts.Seed, 11)),
		generator: newGenerator(opts.Seed, opts.Deployment, opts.Condition),
		result: Result{
			sentAt:          make([][]time.Duration, opts.Deployment.replicas),
			firstToken:      hdrhistogram.New(1, requestTimeout.Microseconds()*10, 3),
			shortFirstToken: hdrhistogram.New(1, requestTimeout.Microseconds()*10, 3),
		},
	}
	for server := range opts.Deployment.replicas {
		rate := opts.Deployment.prefillRate(server)
		sm.engines = append(sm.engines, newEngine(rate, opts.Deployment.cachePieces))
	}
	sm.restartRouters()
	return sm
}

func (sm *simulation) restartRouters() {
	sm.routers = nil
	for entry := range sm.opts.Deployment.entries {
		rt := newRouter(sm.opts.Policy, sm.opts.Deployment, entry)
		for server, en := range sm.engines {
			if en.alive {
				rt.recordStatus(sm.now(), server, en)
				continue
			}
			rt.recordFailure(sm.now(), server)
			rt.recordFailure(sm.now(), server)
		}
		sm.routers = append(sm.routers, rt)
	}
}

func (sm *simulation) after(delay time.Duration, fn func()) { sm.clock.After(delay, fn) }

// now returns the time since the run began.
func (sm *simulation) now() time.Duration { return sm.clock.Now().Sub(epochTime) }

// arrive sends one call and schedules the next one.
func (sm *simulation) arrive() {
	if sm.now() >= sm.opts.Length {
		return
	}
	rate := sm.opts.Deployment.arrivalRate(sm.opts.Load)
	if third := sm.opts.Length / 3; sm.now() > third && sm.now() < 2*third {
		rate *= sm.opts.Condition.peakFactor
	}
	if sm.now() < warmUp {
		rate *= 0.1 + 0.9*float64(sm.now())/float64(warmUp)
	}
	sm.after(seconds(sm.rng.ExpFloat64()/rate), sm.arrive)
	sm.send(sm.generator.next(sm.now()))
}

func (sm *simulation) send(rq *request) {
	rt := sm.routers[rq.entry]
	server, cached := rt.choose(sm.now(), rq)
	sm.result.sentAt[server] = append(sm.result.sentAt[server], sm.now())
	jb := &job{request: rq, server: server, expectedTokens: cached}
	sm.after(oneWayDelay, func() { sm.deliver(jb) })
}

func (sm *simulation) deliver(jb *job) {
	en := sm.engines[jb.server]
	if !en.alive {
		sm.routers[jb.request.entry].recordFailure(sm.now(), jb.server)
		sm.send(jb.request)
		return
	}
	jb.arrived = sm.now()
	en.enqueue(jb)
	sm.sendStatus(jb.request.entry, jb.server)
	sm.startPrefill(en)
}

func (sm *simulation) sendStatus(entry, server int) {
	sm.after(oneWayDelay, func() { sm.routers[entry].recordStatus(sm.now(), server, sm.engines[server]) })
}

// compute begins the next prompt if the engine is free.
func (sm *simulation) startPrefill(en *engine) {
	if en.prefilling != nil || !en.alive {
		return
	}
	jb := en.dequeue()
	if jb == nil {
		return
	}
	en.prefilling = jb
	jb.cachedTokens = en.lookUpAndCache(jb.request)
	jb.uncachedTokens = jb.request.promptTokens - jb.cachedTokens
	sm.after(seconds(float64(jb.uncachedTokens)/en.actualRate), func() { sm.finishPrefill(en, jb) })
}

func (sm *simulation) finishPrefill(en *engine, jb *job) {
	if !en.alive {
		return
	}
	en.prefilling = nil
	en.pendingTokens -= jb.expectedTokens
	en.rateEstimate.Observe(epochTime.Add(sm.now()), jb.queuedTokens, sm.now()-jb.arrived)
	sm.startPrefill(en)
	sm.after(oneWayDelay, func() {
		rt := sm.routers[jb.request.entry]
		rt.recordStatus(sm.now(), jb.server, en)
		rt.recordFirstToken(sm.now(), jb, en)
		sm.recordResult(jb)
	})
	sm.after(oneWayDelay+time.Duration(jb.request.outputTokens)*tokenInterval, func() {
		sm.routers[jb.request.entry].recordStatus(sm.now(), jb.server, en)
	})
}

func (sm *simulation) recordResult(jb *job) {
	if jb.request.arrival < warmUp {
		return
	}
	rs := &sm.result
	rs.promptTokens += jb.request.promptTokens
	rs.cachedTokens += jb.cachedTokens
	rs.boundTokens += jb.request.boundTokens
	elapsedMicros := (sm.now() - jb.request.arrival).Microseconds()
	_ = rs.firstToken.RecordValue(elapsedMicros)
	if jb.request.short {
		_ = rs.shortFirstToken.RecordValue(elapsedMicros)
	}
}

// poll lets each entry hear of each engine once a period, as entries do with idle servers.
func (sm *simulation) pollStatus() {
	if sm.now() >= sm.opts.Length {
		return
	}
	sm.after(pollPeriod, sm.pollStatus)
	for entry := range sm.routers {
		for server, en := range sm.engines {
			if en.alive {
				sm.sendStatus(entry, server)
			}
		}
	}
}

// disturb does what the condition has for the middle of the run.
func (sm *simulation) applyCondition() {
	for server := range sm.opts.Condition.lostServers {
		sm.failServer(server*2 + 1)
	}
	if sm.opts.Condition.slowServer {
		sm.engines[0].actualRate /= slowdownFactor
	}
	if sm.opts.Condition.restartEntries {
		sm.restartRouters()
	}
}

// lose ends an engine; its calls are sent again elsewhere.
func (sm *simulation) failServer(server int) {
	en := sm.engines[server]
	en.alive = false
	jobs := append(en.queues[0], en.queues[1]...)
	if en.prefilling != nil {
		jobs = append(jobs, en.prefilling)
	}
	for _, rt := range sm.routers {
		rt.recordFailure(sm.now(), server)
		rt.recordFailure(sm.now(), server)
	}
	for _, jb := range jobs {
		sm.send(jb.request)
	}
}
