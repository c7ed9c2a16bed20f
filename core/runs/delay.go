package runs

import "time"

const (
	// delayWindow is the time after which the least difference between two clocks is measured anew: their speeds differ by some 50 ms in it at most.
	delayWindow = time.Minute
	// maxFaster is how much faster a message may be than all earlier ones of its sender if those came without delay. If it is faster than that, the earlier ones were
	// held up, such as while this process stood still, and this one may have been, too. A first message that is slow to connect costs one more message.
	maxFaster = 50 * time.Millisecond
)

// Delays estimates how long messages were on their way, from senders whose clocks have nothing to do with this process's. The least difference between arrival and
// sending that was seen of a sender is that of a message without delay. It is not safe for concurrent use.
type Delays struct {
	started time.Time
	clocks  map[uint64]*clockDelay
}

// clockDelay is what was seen of one sender's clock: the least differences in the present window, which began at since, and in the one before.
type clockDelay struct {
	least, earlier time.Duration
	since, seenAt  time.Time
	// confirmed is set once a message was hardly faster than the ones before.
	confirmed bool
}

// NewDelays returns estimates of a process that has seen no messages.
func NewDelays(now time.Time) *Delays {
	return &Delays{started: now, clocks: make(map[uint64]*clockDelay)}
}

// Excess returns how much longer a message was on its way than the fastest one of its sender, which stamped it with sent, a time of the clock with that name. ok is
// false while all messages of the sender that have come may have been held up.
func (dl *Delays) Excess(now time.Time, clock uint64, sent time.Duration) (excess time.Duration, ok bool) {
	difference := now.Sub(dl.started) - sent
	cd := dl.clocks[clock]
	if cd == nil {
		cd = &clockDelay{least: difference, earlier: difference, since: now}
		dl.clocks[clock] = cd
	} else if difference >= min(cd.least, cd.earlier)-maxFaster {
		cd.confirmed = true
	}
	if now.Sub(cd.since) > delayWindow {
		cd.earlier, cd.least, cd.since = cd.least, difference, now
	}
	cd.least, cd.seenAt = min(cd.least, difference), now
	return difference - min(cd.least, cd.earlier), cd.confirmed
}

// Forget drops the senders from which nothing has come for two windows.
func (dl *Delays) Forget(now time.Time) {
	for clock, cd := range dl.clocks {
		if now.Sub(cd.seenAt) > 2*delayWindow {
			delete(dl.clocks, clock)
		}
	}
}
