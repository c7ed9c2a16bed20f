package trial

import "time"

// timedEvent is something that happens at a moment of the run.
type timedEvent struct {
	at   time.Duration
	seq  int
	call func()
}

// timeQueue orders events by time and then by the order in which they were scheduled.
type timeQueue []timedEvent

func (tq timeQueue) Len() int { return len(tq) }

func (tq timeQueue) Less(left, right int) bool {
	if tq[left].at != tq[right].at {
		return tq[left].at < tq[right].at
	}
	return tq[left].seq < tq[right].seq
}

func (tq timeQueue) Swap(left, right int) { tq[left], tq[right] = tq[right], tq[left] }

// Push adds a timedEvent.
func (tq *timeQueue) Push(value any) { *tq = append(*tq, value.(timedEvent)) }

// Pop removes the last timedEvent.
func (tq *timeQueue) Pop() any {
	last := (*tq)[len(*tq)-1]
	*tq = (*tq)[:len(*tq)-1]
	return last
}
