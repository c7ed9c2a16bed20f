package gate

import (
	"sync"
	"time"

	"shallotcleat/core/retry"
)

// budgetShare is the part of the agreed budget that gates use, since they count in windows of their own.
const budgetShare = 0.7

// leastGates is how many gates are taken to share the allowance at least, since a starting gate knows few of the others.
const leastGates = 4

// budgets holds the budget of repeats for each service; its methods may be called from any goroutine.
type budgets struct {
	opts RetryBudgetOptions
	// gates returns how many gates share the allowance.
	gates func() int

	// mu guards windows.
	mu      sync.Mutex
	windows map[string]*retry.WindowBudget
}

func newBudgets(opts RetryBudgetOptions, gates func() int) *budgets {
	return &budgets{opts: opts, gates: gates, windows: make(map[string]*retry.WindowBudget)}
}

// First notes the first try of a request.
func (bg *budgets) First(now time.Time, service string) { bg.window(service).RecordFirst(now) }

// Take reports whether a request may be sent once more, and counts it. The gates that are known now share the allowance.
func (bg *budgets) Take(now time.Time, service string) bool {
	allowance := budgetShare * bg.opts.Allowance / float64(max(bg.gates(), leastGates))
	return bg.window(service).Take(now, allowance)
}

func (bg *budgets) window(service string) *retry.WindowBudget {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	wd, ok := bg.windows[service]
	if !ok {
		wd = retry.NewWindowBudget(bg.opts.Window, budgetShare*bg.opts.Ratio)
		bg.windows[service] = wd
	}
	return wd
}
