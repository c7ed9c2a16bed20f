package clock

import (
	"container/heap"
	"time"
)

// Clock returns the time and makes periodic calls.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn once per period, first after one period, until cancel is called. Calls of one subscription do not
	// overlap.
	Every(period time.Duration, fn func()) (cancel func())
}

// Virtual is a Clock whose time advances only in Advance and Drain, which also make the due calls. It is not safe for
// concurrent use.
type Virtual struct {
	now   time.Time
	seq   int
	queue timerHeap
}

// NewVirtual returns a clock whose time starts at now.
func NewVirtual(now time.Time) *Virtual { return &Virtual{now: now} }

// timer is a scheduled call; it repeats if its period is not zero.
type timer struct {
	at       time.Time
	seq      int
	period   time.Duration
	fn       func()
	canceled bool
}

// Now implements Clock.
func (vt *Virtual) Now() time.Time { return vt.now }

// Every implements Clock.
func (vt *Virtual) Every(period time.Duration, fn func()) func() {
	tm := &timer{at: vt.now.Add(period), period: period, fn: fn}
	vt.push(tm)
	return func() { tm.canceled = true }
}

// After calls fn once, when delay has passed.
func (vt *Virtual) After(delay time.Duration, fn func()) {
	vt.push(&timer{at: vt.now.Add(delay), fn: fn})
}

func (vt *Virtual) push(tm *timer) {
	vt.seq++
	tm.seq = vt.seq
	heap.Push(&vt.queue, tm)
}

// Advance advances the time by span and makes the calls that fall due, in order of their times.
func (vt *Virtual) Advance(span time.Duration) {
	end := vt.now.Add(span)
	for len(vt.queue) > 0 && !vt.queue[0].at.After(end) {
		vt.fire()
	}
	vt.now = end
}

// Drain makes all scheduled calls and those that they schedule, advancing the time to each. It does not return while a
// subscription of Every is active.
func (vt *Virtual) Drain() {
	for len(vt.queue) > 0 {
		vt.fire()
	}
}

// fire makes the next scheduled call, unless it was canceled, and reschedules it if it is periodic.
func (vt *Virtual) fire() {
	tm := heap.Pop(&vt.queue).(*timer)
	if tm.canceled {
		return
	}
	vt.now = tm.at
	tm.fn()
	if tm.period > 0 {
		tm.at = tm.at.Add(tm.period)
		vt.push(tm)
	}
}

// timerHeap is a min-heap of timers by time; those with equal times are ordered by scheduling.
type timerHeap []*timer

func (th timerHeap) Len() int { return len(th) }

func (th timerHeap) Less(left, right int) bool {
	if !th[left].at.Equal(th[right].at) {
		return th[left].at.Before(th[right].at)
	}
	return th[left].seq < th[right].seq
}

func (th timerHeap) Swap(left, right int) { th[left], th[right] = th[right], th[left] }

// Push appends value, which must be a *timer; it implements heap.Interface.
func (th *timerHeap) Push(value any) { *th = append(*th, value.(*timer)) }

// Pop removes and returns the last timer; it implements heap.Interface.
func (th *timerHeap) Pop() any {
	last := len(*th) - 1
	tm := (*th)[last]
	*th = (*th)[:last]
	return tm
}
