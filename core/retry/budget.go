package retry

import "sync"

// Budget parameters.
const (
	// earned is the part of a retry that each first try pays for, so that retries add at most a tenth of the load.
	earned = 0.1
	// burst bounds the saved retries.
	burst = 10
)

// Budget counts first tries and grants retries; its methods may be called from any goroutine.
type Budget struct {
	// mu guards the saved retries.
	mu    sync.Mutex
	saved float64
}

// NewBudget returns a budget that begins with a full burst.
func NewBudget() *Budget { return &Budget{saved: burst} }

// Tried notes a first try.
func (bg *Budget) RecordFirst() {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.saved = min(bg.saved+earned, burst)
}

// Take reports whether a retry may be sent, and counts it.
func (bg *Budget) Take() bool {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if bg.saved < 1 {
		return false
	}
	bg.saved--
	return true
}
