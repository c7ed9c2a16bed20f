package origin

import "time"

const (
	// CoverageSpan is for how long after a complete view of the servers a process may conclude that there are no other releases than those that it knows. A
	// process that is cut off continues streams of which nobody else has a record for that long.
	CoverageSpan = 20 * time.Second
	// OpenDelay is the time after which a release is open although a process does not respond: by then no process whose view is from before the release covers
	// anything. It exceeds CoverageSpan, since clocks of two machines may run at rates that differ.
	OpenDelay = CoverageSpan + time.Second
)

// Coverage says whether the releases that a process knows are all at which streams can have begun. Its times are those of the process's own monotonic clock,
// which goes on while the process stands still. It is not safe for concurrent use.
//
// It holds if the servers were seen as a whole again and again, never longer than CoverageSpan apart and lately, since the process was listed among those that
// are asked before a release opens, and if the stored history was read when that began, or later.
type Coverage struct {
	// listedAt is a time from which on the process has been listed, or zero.
	listedAt time.Time
	// from and until are the first and the last complete view of the servers of the present series, or zero.
	from, until time.Time
	// historyAt is the latest time as of which the stored history was read, or zero.
	historyAt time.Time
}

// List records that the process is listed since a time. Views from before do not count.
func (cv *Coverage) List(at time.Time) {
	*cv = Coverage{listedAt: at}
}

// Unlist records that the process may not be listed any more, such as after the store was restored from a backup.
func (cv *Coverage) Unlist() { *cv = Coverage{} }

// ObserveServers records that the servers known are complete as of a time.
func (cv *Coverage) ObserveServers(asOf time.Time) {
	if cv.listedAt.IsZero() || asOf.Before(cv.listedAt) || !asOf.After(cv.until) {
		return
	}
	if cv.until.IsZero() || asOf.Sub(cv.until) > CoverageSpan {
		cv.from = asOf
	}
	cv.until = asOf
}

// ObserveHistory records that the stored history known is that of a time.
func (cv *Coverage) ObserveHistory(asOf time.Time) {
	if !cv.listedAt.IsZero() && !asOf.Before(cv.listedAt) && asOf.After(cv.historyAt) {
		cv.historyAt = asOf
	}
}

// Holds reports whether the releases known are all at which a stream that began before now can have begun.
func (cv *Coverage) Holds(now time.Time) bool {
	return !cv.until.IsZero() && now.Sub(cv.until) <= CoverageSpan && !cv.LacksHistory()
}

// LacksHistory reports whether the stored history has to be read again before Coverage can hold: a release may have come and gone between two views.
func (cv *Coverage) LacksHistory() bool {
	return !cv.until.IsZero() && (cv.historyAt.IsZero() || cv.from.Sub(cv.historyAt) > CoverageSpan)
}
