package retry

import (
	"sync"
	"time"
)

// Breaker parameters.
const (
	// tripFailures is how many failures in a row make a breaker refuse calls.
	tripFailures = 3
	// probePeriod is the time between two calls that a breaker lets through to see whether the other side is back.
	probePeriod = 500 * time.Millisecond
)

// Breaker refuses calls of a service that has failed several times in a row, so that callers are not held up by it; its
// methods may be called from any goroutine.
type Breaker struct {
	// mu guards the fields below.
	mu       sync.Mutex
	failures int
	probe    time.Time
}

// Allow reports whether a call may be made now.
func (br *Breaker) Allow(now time.Time) bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	if br.failures < tripFailures {
		return true
	}
	if now.Before(br.probe) {
		return false
	}
	br.probe = now.Add(probePeriod)
	return true
}

// Ended notes the end of a call that was made.
func (br *Breaker) Record(now time.Time, failed bool) {
	br.mu.Lock()
	defer br.mu.Unlock()
	if !failed {
		br.failures = 0
		return
	}
	br.failures++
	if br.failures == tripFailures {
		br.probe = now.Add(probePeriod)
	}
}
