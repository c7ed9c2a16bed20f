package clock

import (
	"container/heap"
	"time"
)

// Clock tells the time and calls subscribers.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// Every calls a function once in each period until the returned function is called; calls do not overlap.
	Every(period time.Duration, call func()) (cancel func())
}

// Virtual is a Clock whose time passes in Advance and Drain only. One goroutine owns it; subscribers run within these.
type Virtual struct {
	now   time.Time
	seq   int
	queue timerHeap
}

// NewVirtual returns a service that begins at a time.
func NewVirtual(now time.Time) *Virtual { return &Virtual{now: now} }

// timer is one coming call, or a subscription if it has a period.
type timer struct {
	at        time.Time
	seq       int
	period    time.Duration
	call      func()
	cancelled bool
}

// Now implements Clock.
func (vt *Virtual) Now() time.Time { return vt.now }

// Every implements Clock.
func (vt *Virtual) Every(period time.Duration, call func()) func() {
	tm := &timer{at: vt.now.Add(period), period: period, call: call}
	vt.push(tm)
	return func() { tm.cancelled = true }
}

// After calls a function once when a time has passed.
func (vt *Virtual) After(delay time.Duration, call func()) {
	vt.push(&timer{at: vt.now.Add(delay), call: call})
}

func (vt *Virtual) push(tm *timer) {
	vt.seq++
	tm.seq = vt.seq
	heap.Push(&vt.queue, tm)
}

// Advance lets a time pass and calls the subscribers in the order of their times.
func (vt *Virtual) Advance(span time.Duration) {
	end := vt.now.Add(span)
	for len(vt.queue) > 0 && !vt.queue[0].at.After(end) {
		vt.fire()
	}
	vt.now = end
}

// Drain lets time pass until no call is to come; there must be no subscription to Every.
func (vt *Virtual) Drain() {
	for len(vt.queue) > 0 {
		vt.fire()
	}
}

// fire makes the next call and schedules the one after it, if there is one.
func (vt *Virtual) fire() {
	tm := heap.Pop(&vt.queue).(*timer)
	if tm.cancelled {
		return
	}
	vt.now = tm.at
	tm.call()
	if tm.period > 0 {
		tm.at = tm.at.Add(tm.period)
		vt.push(tm)
	}
}

// timerHeap orders timers by time and then by subscription.
type timerHeap []*timer

func (th timerHeap) Len() int { return len(th) }

func (th timerHeap) Less(left, right int) bool {
	if !th[left].at.Equal(th[right].at) {
		return th[left].at.Before(th[right].at)
	}
	return th[left].seq < th[right].seq
}

func (th timerHeap) Swap(left, right int) { th[left], th[right] = th[right], th[left] }

// Push adds a *timer at the end.
func (th *timerHeap) Push(value any) { *th = append(*th, value.(*timer)) }

// Pop removes the timer at the end.
func (th *timerHeap) Pop() any {
	last := len(*th) - 1
	tm := (*th)[last]
	*th = (*th)[:last]
	return tm
}
