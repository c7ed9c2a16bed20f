package retry

import (
	"sync"
	"time"
)

// A window is as long as bucketsPerWindow buckets. The budget counts in one more, because a window that begins within a bucket
// overlaps that many; the limit therefore holds for windows that begin at any time.
const (
	bucketsPerWindow = 20
	bucketCount      = bucketsPerWindow + 1
)

// WindowBudget limits the retries within a sliding window to a fraction of the first attempts plus an allowance. It is safe
// for concurrent use.
type WindowBudget struct {
	ratio       float64
	bucketWidth time.Duration

	// mu guards the fields below.
	mu      sync.Mutex
	buckets [bucketCount]bucket
	// current is the number of the latest bucket, counted from start.
	current int64
	// start is the time of the first call. Time since then is measured by the monotonic clock, so that adjustments of the wall
	// clock neither permit more retries nor block them permanently.
	start time.Time
}

// bucket counts the first attempts and retries within a part of the window.
type bucket struct {
	firsts  int
	retries int
}

// NewWindowBudget returns a budget that permits ratio retries for each first attempt within the window.
func NewWindowBudget(window time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, bucketWidth: max(window/bucketsPerWindow, 1)}
}

// RecordFirst counts the first attempt of a request.
func (wb *WindowBudget) RecordFirst(now time.Time) {
	wb.mu.Lock()
	defer wb.mu.Unlock()
	wb.advance(now)
	wb.buckets[wb.current%bucketCount].firsts++
}

// Take reports whether a retry may be sent and, if so, counts it. The allowance is the number of retries within the window
// that are permitted in addition to the fraction of the first attempts.
func (wb *WindowBudget) Take(now time.Time, allowance float64) bool {
	wb.mu.Lock()
	defer wb.mu.Unlock()
	wb.advance(now)
	var firsts, retries int
	for _, bk := range wb.buckets {
		firsts += bk.firsts
		retries += bk.retries
	}
	if float64(retries+1) > wb.ratio*float64(firsts)+allowance {
		return false
	}
	wb.buckets[wb.current%bucketCount].retries++
	return true
}

// advance clears the buckets that have left the window; the caller holds mu.
func (wb *WindowBudget) advance(now time.Time) {
	if wb.start.IsZero() {
		wb.start = now
	}
	index := int64(now.Sub(wb.start) / wb.bucketWidth)
	if index <= wb.current {
		return
	}
	for i := max(wb.current+1, index-bucketCount+1); i <= index; i++ {
		wb.buckets[i%bucketCount] = bucket{}
	}
	wb.current = index
}
