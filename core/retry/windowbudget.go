package retry

import (
	"sync"
	"time"
)

// A window is counted in spanCells cells and the one that it is partly in, so that no window anywhere has more repeats.
const (
	spanCells   = 20
	windowCells = spanCells + 1
)

// Window grants repeats of calls within a budget over a sliding time: a part of the first tries and an allowance. Its methods
// may be called from any goroutine.
type WindowBudget struct {
	ratio float64
	cell  time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	cells   [windowCells]windowCell
	current int64
	// begin is the time of the first call; spans are counted from it by the steady clock.
	begin time.Time
}

type windowCell struct {
	first   int
	repeats int
}

// NewWindow returns a budget of ratio x the first tries within a span.
func NewWindowBudget(span time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, cell: max(span/spanCells, 1)}
}

// First notes a first try.
func (wd *WindowBudget) RecordFirst(now time.Time) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.advance(now)
	wd.cells[wd.current%windowCells].first++
}

// Take reports whether a repeat may be sent, with an allowance beside the part of the first tries, and counts it.
func (wd *WindowBudget) Take(now time.Time, allowance float64) bool {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.advance(now)
	var first, repeats int
	for _, wc := range wd.cells {
		first += wc.first
		repeats += wc.repeats
	}
	if float64(repeats+1) > wd.ratio*float64(first)+allowance {
		return false
	}
	wd.cells[wd.current%windowCells].repeats++
	return true
}

// advance clears the cells that have left the window; the caller holds mu.
func (wd *WindowBudget) advance(now time.Time) {
	if wd.begin.IsZero() {
		wd.begin = now
	}
	at := int64(now.Sub(wd.begin) / wd.cell)
	if at <= wd.current {
		return
	}
	for i := max(wd.current+1, at-windowCells+1); i <= at; i++ {
		wd.cells[i%windowCells] = windowCell{}
	}
	wd.current = at
}
