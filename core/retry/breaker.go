package retry

import (
	"sync"
	"time"
)

// Breaker parameters.
const (
	// failureThreshold is the number of consecutive failures after which a breaker refuses calls.
	failureThreshold = 3
	// probeInterval is the time between two calls that an open breaker allows, to detect that the service has recovered.
	probeInterval = 500 * time.Millisecond
)

// Breaker is a circuit breaker: it refuses calls to a service after several consecutive failures, so that callers fail fast.
// The zero value is a closed breaker, which allows all calls. It is safe for concurrent use.
type Breaker struct {
	// mu guards the fields below.
	mu                  sync.Mutex
	consecutiveFailures int
	// nextProbe is the time from which an open breaker allows the next call.
	nextProbe time.Time
}

// Allow reports whether a call may be made now. An open breaker allows one call per probeInterval.
func (br *Breaker) Allow(now time.Time) bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.consecutiveFailures < failureThreshold {
		return true
	}
	if now.Before(br.nextProbe) {
		return false
	}
	br.nextProbe = now.Add(probeInterval)
	return true
}

// Record records the result of a call that Allow permitted. A success closes the breaker.
func (br *Breaker) Record(now time.Time, failed bool) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if !failed {
		br.consecutiveFailures = 0
		return
	}
	br.consecutiveFailures++
	if br.consecutiveFailures == failureThreshold {
		br.nextProbe = now.Add(probeInterval)
	}
}
