package memory

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// defaultMemoryBytes is the memory of a process that is not told any.
	defaultMemoryBytes = 512_000_000
	// budgetFraction is the budget as a fraction of the process's memory. The rest is for the process without requests (21 MB) and for
	// what the garbage collector has not freed yet.
	budgetFraction = 0.3
	// reserveFraction is the part of the budget that only small claims may use, so that short requests get in during a flood.
	reserveFraction = 0.25
	// smallBytes is the maximum size of a small claim.
	smallBytes = 64 << 10
	// A claim that gets less than progressBytes in slowAfter is slow.
	progressBytes = 16 << 10
	slowAfter     = 500 * time.Millisecond
)

// Kind is what a claim holds.
type Kind string

// Kinds of claims.
const (
	Connection Kind = "connection"
	Body       Kind = "body"
	Response   Kind = "response"
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Body, Response} }

// ErrShort means that a claim was refused or evicted because memory is short.
var ErrShort = errors.New("memory is short")

// state is what a claim waits for.
type state uint8

const (
	// inUse claims are never evicted.
	inUse state = iota
	// arriving claims are incomplete and belong to requests that have not run.
	arriving
	// waiting claims wait for the caller, which reads a response or sends no request; only slow ones are evicted.
	waiting
)

// Budget bounds the memory of claims. It is safe for concurrent use.
type Budget struct {
	total, reserve int64

	// mu guards the fields below and those of the claims.
	mu     sync.Mutex
	claims map[*Claim]struct{}
	// held is the size of the claims that are not evicted, freeing that of evicted claims that are not closed yet.
	held, freeing int64
	heldByKind    map[Kind]int64
	refused       map[Kind]int
	evicted       map[Kind]int
}

// NewBudget returns the budget of a process with a memory of the given number of bytes; zero stands for 512 MB.
func NewBudget(memoryBytes int64) *Budget {
	memoryBytes = cmp.Or(memoryBytes, defaultMemoryBytes)
	total := int64(budgetFraction * float64(memoryBytes))
	return &Budget{total: total, reserve: int64(reserveFraction * float64(total)), claims: make(map[*Claim]struct{}),
		heldByKind: make(map[Kind]int64), refused: make(map[Kind]int), evicted: make(map[Kind]int)}
}

// Total returns the size of the budget in bytes.
func (bg *Budget) Total() int64 { return bg.total }

// Held returns the bytes that the claims of a kind hold, including evicted claims that are not closed yet.
func (bg *Budget) Held(kind Kind) int64 {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return bg.heldByKind[kind]
}

// TakeCounts returns the numbers of refused and evicted claims since its last call, by kind.
func (bg *Budget) TakeCounts() (refused, evicted map[Kind]int) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	refused, evicted = bg.refused, bg.evicted
	bg.refused, bg.evicted = make(map[Kind]int), make(map[Kind]int)
	return refused, evicted
}

// Claim is the memory that one connection, body or response holds. Its owner closes it.
type Claim struct {
	budget *Budget
	kind   Kind
	evict  func()

	// The mutex of the budget guards the fields below.
	state state
	bytes int64
	// expected is the announced size, or zero if it is not known.
	expected int64
	// received is the number of bytes received or sent since progressAt.
	received   int64
	progressAt time.Time
	evicted    bool
	closed     bool
}

// Open returns an empty claim. The claim is in use and thus not evicted, until Arrive or Wait. The function evict must make the owner
// close the claim soon; it must neither block nor use the budget.
func (bg *Budget) Open(now time.Time, kind Kind, evict func()) *Claim {
	cl := &Claim{budget: bg, kind: kind, evict: evict, progressAt: now}
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.claims[cl] = struct{}{}
	return cl
}

// Arrive marks the claim as incomplete; expected is its size when complete, or zero if unknown.
func (cl *Claim) Arrive(now time.Time, expected int64) {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	cl.state, cl.expected, cl.received, cl.progressAt = arriving, expected, 0, now
}

// Wait marks the claim as one that waits for the caller.
func (cl *Claim) Wait(now time.Time) {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	cl.state, cl.received, cl.progressAt = waiting, 0, now
}

// Use marks the claim as in use. It returns ErrShort if the claim was evicted before.
func (cl *Claim) Use() error {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	if cl.evicted {
		return ErrShort
	}
	cl.state = inUse
	return nil
}

// Progress records that bytes were received or sent.
func (cl *Claim) Progress(now time.Time, bytes int) {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	if cl.received += int64(bytes); cl.received >= progressBytes {
		cl.received, cl.progressAt = 0, now
	}
}

// Evicted reports whether the claim was evicted.
func (cl *Claim) Evicted() bool {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	return cl.evicted
}

// Grow adds bytes to the claim before they are allocated. If there is no room, it evicts other claims: first the slow ones, the
// largest of them first; for a small claim or a response also bodies that arrive, those that lack most first. It returns ErrShort, and
// adds nothing, if that does not make enough room or if the claim itself was evicted.
func (cl *Claim) Grow(now time.Time, bytes int64) error {
	bg := cl.budget
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if cl.evicted || cl.closed {
		return ErrShort
	}
	small := max(cl.bytes+bytes, cl.expected) <= smallBytes
	limit := bg.total
	if !small {
		limit -= bg.reserve
	}
	if lacking := bg.held + bytes - limit; lacking > 0 && !bg.makeRoom(now, cl, lacking, small || cl.kind == Response) {
		bg.refused[cl.kind]++
		return ErrShort
	}
	cl.bytes += bytes
	bg.held += bytes
	bg.heldByKind[cl.kind] += bytes
	return nil
}

// makeRoom evicts claims of at least the lacking size in total, other than the asking one, or none if that is not possible. The caller
// holds mu. What evicted claims still hold is bounded too, by the size of the reserve.
func (bg *Budget) makeRoom(now time.Time, asking *Claim, lacking int64, first bool) bool {
	if bg.freeing+lacking > bg.reserve {
		return false
	}
	var slow, fast []*Claim
	for cl := range bg.claims {
		switch {
		case cl == asking || cl.evicted || cl.state == inUse || cl.bytes == 0:
		case now.Sub(cl.progressAt) >= slowAfter:
			slow = append(slow, cl)
		case first && cl.state == arriving && cl.bytes > asking.bytes:
			fast = append(fast, cl)
		}
	}
	slices.SortFunc(slow, func(a, b *Claim) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), a.progressAt.Compare(b.progressAt))
	})
	slices.SortFunc(fast, func(a, b *Claim) int {
		return cmp.Or(cmp.Compare(b.missing(), a.missing()), cmp.Compare(b.bytes, a.bytes))
	})
	var victims []*Claim
	for _, cl := range append(slow, fast...) {
		if lacking <= 0 {
			break
		}
		victims = append(victims, cl)
		lacking -= cl.bytes
	}
	if lacking > 0 {
		return false
	}
	for _, cl := range victims {
		cl.evicted = true
		bg.held -= cl.bytes
		bg.freeing += cl.bytes
		bg.evicted[cl.kind]++
		cl.evict()
	}
	return true
}

// missing returns how many bytes the claim lacks; one of unknown size lacks as much as it has.
func (cl *Claim) missing() int64 {
	if cl.expected == 0 {
		return cl.bytes
	}
	return max(cl.expected-cl.bytes, 0)
}

// ShrinkTo reduces the claim to a number of bytes after the rest was freed. It has no effect on a smaller claim.
func (cl *Claim) ShrinkTo(bytes int64) {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	cl.shrinkTo(bytes)
}

// shrinkTo is ShrinkTo for callers that hold the mutex.
func (cl *Claim) shrinkTo(bytes int64) {
	freed := cl.bytes - bytes
	if freed <= 0 {
		return
	}
	cl.bytes = bytes
	cl.budget.heldByKind[cl.kind] -= freed
	if cl.evicted {
		cl.budget.freeing -= freed
	} else {
		cl.budget.held -= freed
	}
}

// Close frees the claim. It is not evicted after that. Later calls have no effect.
func (cl *Claim) Close() {
	cl.budget.mu.Lock()
	defer cl.budget.mu.Unlock()
	cl.shrinkTo(0)
	cl.closed = true
	delete(cl.budget.claims, cl)
}
