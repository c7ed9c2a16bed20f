package share

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a flow.
const (
	// servedHalfLife is the half-life of the count of served requests.
	servedHalfLife = 2 * time.Second
	// meanWeight is the weight of the latest request in the mean time for a request.
	meanWeight = 0.1
	// fullTTL is how long after a rejection by a full server the service counts as full. A gate with few callers sees few rejections.
	fullTTL = 5 * time.Second
	// toldFullTTL is how long other gates are told of such a rejection.
	toldFullTTL = time.Second
	// minReturnRate and maxReturnRate bound the number of callers per second that are told to return: with the first, a service that serves
	// nothing gets a caller in 100 ms.
	minReturnRate = 10
	maxReturnRate = 10_000
	// returnJitter is the jitter of a time to return that does not wait for others, or that must be longer than callers wait, as a part of it.
	returnJitter = 0.5
	// maxReturnDelay bounds the time to return.
	maxReturnDelay = 3 * time.Second
	// maxServices bounds the services that are kept.
	maxServices = 1024
)

// Flow measures what services serve of this gate's requests, and tells refused callers when to return: one after another, as fast as the
// service has lately served requests. Its methods may be called from any goroutine.
type Flow struct {
	// mu guards the fields below.
	mu       sync.Mutex
	random   *rand.Rand
	services map[uint64]*serviceFlow
}

// serviceFlow is the state of one service.
type serviceFlow struct {
	served    float64
	decayedAt time.Time
	meanTime  time.Duration
	// fullAt is when a server last rejected a request of any gate, ownFullAt when one rejected a request of this gate.
	fullAt, ownFullAt time.Time
	// next is when the next caller is to return.
	next time.Time
}

// NewFlow returns a flow without requests. The seed makes the jitter reproducible.
func NewFlow(seed uint64) *Flow {
	return &Flow{random: rand.New(rand.NewPCG(seed, seed)), services: make(map[uint64]*serviceFlow)}
}

// Draw returns a random number from 0 to 1.
func (fl *Flow) Draw() float64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.random.Float64()
}

// Served records a request that a server of the service has served in the given time.
func (fl *Flow) Served(now time.Time, service string, took time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sf := fl.service(now, service)
	if sf == nil {
		return
	}
	sf.served++
	if sf.meanTime == 0 {
		sf.meanTime = took
	}
	sf.meanTime += time.Duration(float64(took-sf.meanTime) * meanWeight)
}

// Full records that a server of the service has rejected a request because it was full, or that a request was refused since servers have too
// much to do.
func (fl *Flow) Full(now time.Time, service string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if sf := fl.service(now, service); sf != nil {
		sf.fullAt, sf.ownFullAt = now, now
	}
}

// FullServices returns the hashes of the services of which a server has lately rejected a request of this gate because it was full.
func (fl *Flow) FullServices(now time.Time) []uint64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var full []uint64
	for id, sf := range fl.services {
		if !sf.ownFullAt.IsZero() && now.Sub(sf.ownFullAt) < toldFullTTL {
			full = append(full, id)
		}
	}
	return full
}

// ApplyFull records the services that another gate has found full. Those that this gate does not use are ignored.
func (fl *Flow) ApplyFull(now time.Time, services []uint64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, id := range services {
		if sf, ok := fl.services[id]; ok {
			sf.fullAt = now
		}
	}
}

// Capacity returns how many requests per second servers with a number of slots can serve, and false unless they have lately been full.
func (fl *Flow) Capacity(now time.Time, service string, slots int) (float64, bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	sf, ok := fl.services[xxhash.Sum64String(service)]
	if !ok || sf.fullAt.IsZero() || now.Sub(sf.fullAt) > fullTTL || sf.meanTime <= 0 || slots <= 0 {
		return 0, false
	}
	return float64(slots) / sf.meanTime.Seconds(), true
}

// Next returns the time after which a refused caller is to return: at least earliest, when a server is expected to be free, and at most
// latest where that is later, since callers ignore longer times. Callers for whom there is no time before that return at random.
func (fl *Flow) Next(now time.Time, service string, earliest, latest time.Duration) time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	first := time.Duration(float64(earliest) * (1 + returnJitter*fl.random.Float64()))
	sf := fl.service(now, service)
	latest = min(latest, maxReturnDelay)
	if sf == nil || latest <= earliest {
		// A caller with less time than a server needs is told a true time, and not the same one as others.
		return first
	}
	rate := min(max(sf.served*math.Ln2/servedHalfLife.Seconds(), minReturnRate), maxReturnRate)
	gap := time.Duration(float64(time.Second) / rate)
	if sf.next.Before(now.Add(earliest)) {
		sf.next = now.Add(earliest)
	}
	delay := sf.next.Add(time.Duration(fl.random.Float64() * float64(gap))).Sub(now)
	if delay > latest {
		return earliest + time.Duration(fl.random.Float64()*float64(latest-earliest))
	}
	sf.next = sf.next.Add(gap)
	return max(delay, min(first, latest))
}

// service returns the state of a service after its decay, or nil if too many are kept. The caller holds mu.
func (fl *Flow) service(now time.Time, service string) *serviceFlow {
	id := xxhash.Sum64String(service)
	sf, ok := fl.services[id]
	if !ok {
		if len(fl.services) >= maxServices {
			return nil
		}
		sf = &serviceFlow{decayedAt: now}
		fl.services[id] = sf
	}
	if elapsed := now.Sub(sf.decayedAt); elapsed > 0 {
		sf.served *= decayFactor(elapsed, servedHalfLife)
		sf.decayedAt = now
	}
	return sf
}
