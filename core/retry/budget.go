package retry

import "sync"

// Parameters of a Budget.
const (
	// tokensPerFirst is the number of tokens that a first attempt adds, so that retries add at most a tenth of the load.
	tokensPerFirst = 0.1
	// maxTokens is the capacity of the bucket.
	maxTokens = 10
)

// Budget is a token bucket that limits retries to a fraction of the first attempts; a retry costs one token. It is safe for
// concurrent use.
type Budget struct {
	// mu guards tokens.
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget whose bucket is full.
func NewBudget() *Budget { return &Budget{tokens: maxTokens} }

// RecordFirst counts the first attempt of a request.
func (bg *Budget) RecordFirst() {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.tokens = min(bg.tokens+tokensPerFirst, maxTokens)
}

// Take reports whether a retry may be sent and, if so, takes one token.
func (bg *Budget) Take() bool {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if bg.tokens < 1 {
		return false
	}
	bg.tokens--
	return true
}
