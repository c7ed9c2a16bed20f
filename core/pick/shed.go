package pick

import "time"

// Limits of the time after which an answer is expected to begin. Under a load that lasts, a longer queue serves no more calls, but
// all of them late.
const (
	// waitPart is the part of the target time within which an answer must be expected to begin.
	targetFraction = 0.75
	// urgentWaitPart is that of the most urgent calls, so that less urgent ones are rejected before them.
	urgentTargetFraction = 1.1
	// leastQueuePart is the part of the target time that a queue may last also for a long prompt, whose reading alone takes longer
	// than the target: it would never be admitted otherwise.
	minQueueFraction = 0.3
	// freeExcess is how many times its fair share a workspace may take before its calls are rejected sooner than those of others.
	toleratedShareRatio = 1.5
	// leastReturn and mostReturn bound the time after which a rejected caller may come back.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Shed reports whether a call should be rejected since its answer can't be expected to begin within its target time, because of the
// calls before it, and after which time its caller may come back. Excess is how many times its fair share the call's workspace
// has taken lately.
func (ch Choice) Shed(target time.Duration, urgent bool, shareRatio float64) (retryAfter time.Duration, shed bool) {
	fraction := targetFraction
	if urgent {
		fraction = urgentTargetFraction
	}
	ownTime := ch.timeToFirstEvent - ch.queueTime
	limit := max(time.Duration(fraction*float64(target))-ownTime, time.Duration(minQueueFraction*float64(target)))
	if shareRatio > toleratedShareRatio {
		limit = time.Duration(float64(limit) * toleratedShareRatio / shareRatio)
	}
	if target <= 0 || ch.queueTime <= limit {
		return 0, false
	}
	return min(max(ch.queueTime-limit, minRetryAfter), maxRetryAfter), true
}
