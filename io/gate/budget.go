package gate

import (
	"sync"
	"time"

	"shallotcleat/core/retry"
)

// localBudgetFraction is the fraction of the configured budget that gates use, because each gate counts in its own window.
const localBudgetFraction = 0.7

// minGates is the minimum number of gates assumed to share the allowance, because a starting gate knows few of the others.
const minGates = 4

// retryBudgets holds the retry budget of each service. It is safe for concurrent use.
type retryBudgets struct {
	opts RetryBudgetOptions
	// gateCount returns how many gates share the allowance.
	gateCount func() int

	// mu guards budgets.
	mu      sync.Mutex
	budgets map[string]*retry.WindowBudget
}

func newRetryBudgets(opts RetryBudgetOptions, gateCount func() int) *retryBudgets {
	return &retryBudgets{opts: opts, gateCount: gateCount, budgets: make(map[string]*retry.WindowBudget)}
}

// RecordFirst counts the first attempt of a request.
func (rb *retryBudgets) RecordFirst(now time.Time, service string) {
	rb.budget(service).RecordFirst(now)
}

// Take reports whether a retry may be sent and, if so, counts it. The allowance is divided by the number of gates known now.
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
