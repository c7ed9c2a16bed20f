package share

import (
	"math"
	"sync"
	"time"
)

// Parameters of a meter.
const (
	// halfLife is the half-life of recorded work.
	halfLife = 2 * time.Second
	// minWork is the recent work, in tokens, below which a workspace is dropped.
	minWork = 100
	// activeFraction is the fraction of the mean work at or above which a workspace counts as active.
	activeFraction = 0.1
)

// Meter tracks the recent work of workspaces, in tokens; its methods may be called from any goroutine.
type Meter struct {
	// mu guards the fields below.
	mu        sync.Mutex
	work      map[string]float64
	total     float64
	decayedAt time.Time
}

// NewMeter returns a meter without recorded work.
func NewMeter() *Meter { return &Meter{work: make(map[string]float64)} }

// Add adds the work of a call, in tokens.
func (mt *Meter) Add(now time.Time, workspace string, tokens int) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	mt.work[workspace] += float64(tokens)
	mt.total += float64(tokens)
}

// FairShareRatio returns the recent work of a workspace divided by its fair share; at most 1 means that it is within its
// share. All active workspaces have the same fair share.
func (mt *Meter) FairShareRatio(now time.Time, workspace string) float64 {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.decay(now)
	if mt.total <= 0 {
		return 0
	}
	active := 0
	for _, work := range mt.work {
		if work >= activeFraction*mt.total/float64(len(mt.work)) {
			active++
		}
	}
	return mt.work[workspace] * float64(max(active, 1)) / mt.total
}

// decay applies the half-life to the recorded work. The caller holds mu.
func (mt *Meter) decay(now time.Time) {
	elapsed := now.Sub(mt.decayedAt)
	if mt.decayedAt.IsZero() {
		mt.decayedAt = now
		return
	}
	// Short intervals are combined, since each decay visits all workspaces.
	if elapsed < halfLife/50 {
		return
	}
	mt.decayedAt = now
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	mt.total = 0
	for workspace, work := range mt.work {
		work *= factor
		if work < minWork {
			delete(mt.work, workspace)
			continue
		}
		mt.work[workspace] = work
		mt.total += work
	}
}
