package bench

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"shallotcleat/core/clock"
)

// Durations of a simulation.
const (
	// warmUp is the time in which the request rate rises and the caches fill; its requests are not measured.
	warmUp      = 60 * time.Second
	oneWayDelay = 1500 * time.Microsecond
	pollPeriod  = time.Second
	// requestTimeout is the timeout of callers. Simulated requests do not time out; the histograms record up to ten times
	// this value.
	requestTimeout = 60 * time.Second
)

// Options configures one run.
type Options struct {
	Deployment Deployment
	Condition  Condition
	Policy     Policy
	// Load is relative to the load that fully utilizes the engines; see Deployment.arrivalRate.
	Load float64
	Seed uint64
	// Length is the virtual duration in which requests arrive, warm-up included.
	Length time.Duration
}

// simulation is the state of one run.
type simulation struct {
	opts      Options
	rng       *rand.Rand
	generator *generator
	clock     *clock.Virtual
	engines   []*engine
	routers   []router
	result    Result
}

// Run runs one simulation. Equal options give equal results.
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

// restartRouters replaces the routers of all entries by new ones that know only which engines are alive and their
// status. It records two failures of each failed engine, after which member.Table ejects it.
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

// arrive sends one request and schedules the next arrival.
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

// startPrefill starts the prefill of the next job if the engine is idle.
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

// pollStatus sends the status of each live engine to each entry once per pollPeriod, as entries poll idle servers.
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

// applyCondition applies the disturbances that occur in the middle of the run.
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

// failServer stops an engine; its requests that are queued or in prefill are sent to other servers. The two recorded
// failures make member.Table eject the engine.
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
