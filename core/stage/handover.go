package stage

import "time"

// Limits of hand-overs.
const (
	// eventTokens is the number of tokens of an event; an engine prefills a chunk between any two of them if prompts wait.
	eventTokens = 9
	// minPauseFraction is the pause to expect at the source, as a fraction of the target gap, from which a hand-over pays. A hand-over pauses
	// the stream itself: by the copy, two exchanges and an event.
	minPauseFraction = 0.25
	// maxCopyFraction is the longest time to copy a run as a fraction of the target gap.
	maxCopyFraction = 0.25
	// directCopyFraction is the time to copy a run, as a fraction of the target gap, up to which the run is stopped at once. Above it the
	// run continues while most of it is copied.
	directCopyFraction = 0.12
	// delayFraction is the time without an event, as a fraction of the target gap, after which a stream counts as delayed.
	delayFraction = 0.4
)

// Terms are the terms on which runs of a route can be handed over between the engines of a service.
type Terms struct {
	targetGap          time.Duration
	bytesPerToken      float64
	linkBytesPerSecond float64
}

// NewTerms returns terms: the longest pause with which a stream is on time, the memory of a token in bytes, and the rate of the links
// in bytes a second. ok is false unless all are positive.
func NewTerms(targetGap time.Duration, bytesPerToken int, linkBytesPerSecond float64) (tm Terms, ok bool) {
	tm = Terms{targetGap: targetGap, bytesPerToken: float64(bytesPerToken), linkBytesPerSecond: linkBytesPerSecond}
	return tm, targetGap > 0 && bytesPerToken > 0 && linkBytesPerSecond > 0
}

// CopyTime returns the time to copy a run of a number of tokens, which is twice as long between zones.
func (tm Terms) CopyTime(tokens int, crossZone bool) time.Duration {
	seconds := float64(tokens) * tm.bytesPerToken / tm.linkBytesPerSecond
	if crossZone {
		seconds *= 2
	}
	// The bound keeps the conversion from overflowing.
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// Delay returns the time without an event after which a stream counts as delayed.
func (tm Terms) Delay() time.Duration { return time.Duration(delayFraction * float64(tm.targetGap)) }

// CopiesFirst reports whether most of a run is copied before it is stopped.
func (tm Terms) CopiesFirst(copyTime time.Duration) bool {
	return copyTime > time.Duration(directCopyFraction*float64(tm.targetGap))
}

// IsWorth reports whether a stream has enough output left for a hand-over: more than the event that it ends with.
func IsWorth(expectedTokens, events int) bool {
	return expectedTokens-events*eventTokens >= eventTokens
}

// Pause returns the pause to expect between two events at an engine that still prefills a number of tokens, one chunk in chunkTime.
func Pause(tokensAhead int, chunkTime time.Duration) time.Duration {
	chunks := min((max(tokensAhead, 0)+ChunkTokens-1)/ChunkTokens, eventTokens)
	return time.Duration(chunks) * chunkTime
}

// Pays reports whether a hand-over pays, with the pauses to expect at the source and at the destination. delayed is set if the stream is
// delayed already.
func (tm Terms) Pays(source, destination, copyTime time.Duration, delayed bool) bool {
	if delayed {
		source = max(source, tm.targetGap)
	}
	return source >= time.Duration(minPauseFraction*float64(tm.targetGap)) && destination <= source/2 &&
		copyTime <= time.Duration(maxCopyFraction*float64(tm.targetGap))
}
