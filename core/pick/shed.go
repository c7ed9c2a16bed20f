package pick

import "time"

// Limits of the expected time to the first event. Under sustained overload a longer queue does not raise the throughput;
// it only delays all calls.
const (
	// targetFraction is the fraction of the target time within which the first event must be expected.
	targetFraction = 0.75
	// urgentTargetFraction is the same for the most urgent calls, so that less urgent ones are rejected first. From rank 1 on the fraction
	// falls by rankFraction for each rank, for the same reason, down to minQueueFraction.
	urgentTargetFraction = 1.1
	rankFraction         = 0.05
	// minQueueFraction is the fraction of the target time that any call may queue, except those of workspaces above
	// toleratedShareRatio. Without it a long prompt, whose prefill alone exceeds the target, would never be admitted.
	minQueueFraction = 0.3
	// toleratedShareRatio is the multiple of its fair share above which a workspace's calls are rejected earlier than
	// those of others.
	toleratedShareRatio = 1.5
	// minRetryAfter and maxRetryAfter bound the retry delay of a rejected caller.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Shed reports whether to reject a call because calls queued before it would delay its first event beyond the limit for
// the target time, and the retry delay of its caller. No call is rejected if target is zero. rank is 0 for the most urgent calls.
// shareRatio is the recent use of the call's workspace divided by its fair share.
func (ch Choice) Shed(target time.Duration, rank int, shareRatio float64) (retryAfter time.Duration, shed bool) {
	fraction := max(targetFraction-rankFraction*float64(rank-1), minQueueFraction)
	if rank <= 0 {
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
