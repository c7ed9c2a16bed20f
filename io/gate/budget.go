package gate

import (
	"sync"
	"time"

	"shallotcleat/core/retry"
)

// budgetShare is the part of the agreed budget that gates use, since they count in windows of their own.
const localBudgetFraction = 0.7

// leastGates is how many gates are taken to share the allowance at least, since a starting gate knows few of the others.
const minGates = 4

// budgets holds the budget of repeats for each service; its methods may be called from any goroutine.
type retryBudgets struct {
	opts RetryBudgetOptions
	// gates returns how many gates share the allowance.
	gateCount func() int

	// mu guards windows.
	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget
}

func newRetryBudgets(opts RetryBudgetOptions, gates func() int) *retryBudgets {
	return &retryBudgets{opts: opts, gateCount: gates, budgets: make(map[string]*retry.WindowBudget)}
}

// First notes the first try of a request.
func (rb *retryBudgets) RecordFirst(now time.Time, service string) {
	rb.budget(service).RecordFirst(now)
}

// Take reports whether a request may be sent once more, and counts it. The gates that are known now share the allowance.
func (rb *retryBudgets) Take(now time.Time, service string) bool {
	allowance := localBudgetFraction * rb.opts.Allowance / float64(max(rb.gateCount(), minGates))
	return rb.budget(service).Take(now, allowance)
}

func (rb *retryBudgets) budget(service string) *retry.WindowBudget {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	wb, ok := rb.budgets[service]
	if !ok {
		wb = retry.NewWindowBudget(rb.opts.Window, localBudgetFraction*rb.opts.Ratio)
		rb.budgets[service] = wb
	}
	return wb
}
