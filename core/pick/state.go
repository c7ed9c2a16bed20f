package pick

import (
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/speed"
)

// Limits of the backoff of an unreachable server.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// failureWeight is the weight of the latest call in the failure rate.
const failureWeight = 0.1

// weightsState is what is known of a model's weights at one server.
type weightsState struct {
	version uint64
	// loading is set while the server loads other weights; it expires at until.
	loading bool
	until   time.Time
}

// state is what this process knows of one server. The picker's lock guards it.
type state struct {
	running int
	// backlogTokens is the number of uncached prompt tokens of running calls that have had no event yet.
	backlogTokens int
	weights       map[string]weightsState
	// failureRate is the moving mean of failed calls, from 0 to 1.
	failureRate float64
	// consecutiveFailures counts missing responses since the server last responded to a call successfully or its tender last
	// reported its utilization. The server gets no calls until backoffUntil unless there is no other.
	consecutiveFailures int
	backoffUntil        time.Time
	// prefixes holds the last uses of prefixes at the server, by this process or according to its peers.
	prefixes useTable[prefixKey, prefixUse]
	// utilization is the last report of the server's tender.
	utilization Utilization
	// pending holds this process's calls with uncached tokens that have had no event yet, in the order in which they
	// were sent.
	pending []*Attempt
	// tokensSinceReport is the number of uncached prompt tokens that this process sent since the tender's last report.
	tokensSinceReport int
	// meanPromptTokens is the moving mean of the prompt tokens of a call, cached or not, and meanRunTime that of the
	// time from its first event to its end.
	meanPromptTokens float64
	meanRunTime      time.Duration
	// meanUncachedTokens is the moving mean of the prompt tokens that the server must prefill for a call, over the calls
	// that have any.
	meanUncachedTokens float64
	// slowdown is the moving mean of the ratio of the observed to the expected time to the first event.
	slowdown float64
	// prefillRate is the rate, in tokens per second, that the expected times to which slowdown refers are computed with, and rateSource
	// what it was taken from.
	prefillRate float64
	rateSource  speed.Source
	// slowdownAt is when slowdown was last updated.
	slowdownAt time.Time
	// rejectedUntil is when the server is no longer considered full after a rejection.
	rejectedUntil time.Time
	// shortOnlyUntil is when the server may get long calls again, unless its tender renews the restriction.
	shortOnlyUntil time.Time
	// replaced is set when another server has responded at the address. It holds until the server restarts.
	replaced bool
	// startUnixMilli is the start time of the server that the state belongs to.
	startUnixMilli int64
}

// prefixKey is the key of a prefix with the weight version under which it was prefilled.
type prefixKey struct {
	key     uint64
	version uint64
}

// Utilization is how busy an engine was when its tender queried it at observedAt.
type Utilization struct {
	running      int
	waiting      int
	freeTokens   int
	memoryTokens int
	observedAt   time.Time
}

// NewUtilization returns the utilization of an engine at a time. running counts the calls that it has accepted; waiting
// counts its calls without an event, whether started or not; freeTokens is the free memory and memoryTokens all of it,
// in tokens.
func NewUtilization(running, waiting, freeTokens, memoryTokens int, at time.Time) Utilization {
	return Utilization{running: running, waiting: waiting, freeTokens: freeTokens, memoryTokens: memoryTokens, observedAt: at}
}

// newState returns the initial state of a server, which may be nil.
func newState(sv *fleet.Server) *state {
	st := &state{weights: make(map[string]weightsState), prefixes: newUseTable[prefixKey, prefixUse](maxRecentPrefixes, sourceTTL), slowdown: 1, prefillRate: defaultPrefillRate,
		meanUncachedTokens: initialUncachedTokens, meanPromptTokens: initialUncachedTokens, meanRunTime: initialRunTime}
	if sv != nil {
		st.startUnixMilli = sv.StartUnixMilli()
	}
	return st
}

func (st *state) inBackoff(now time.Time) bool { return now.Before(st.backoffUntil) }

func (st *state) recordUnreachable(now time.Time) {
	st.consecutiveFailures++
	backoff := min(minBackoff<<min(st.consecutiveFailures-1, 4), maxBackoff)
	st.backoffUntil = now.Add(backoff)
}

func (st *state) recordFailure() { st.failureRate += (1 - st.failureRate) * failureWeight }

func (st *state) recordSuccess() {
	st.consecutiveFailures = 0
	st.backoffUntil = time.Time{}
	st.failureRate -= st.failureRate * failureWeight
}

// initialUncachedTokens is the assumed number of prompt tokens of a call, none of them cached, before any call was
// observed.
const initialUncachedTokens = 3000

// initialRunTime is the assumed time from a call's first event to its end, before any call was observed.
const initialRunTime = 500 * time.Millisecond

// memoryWait returns the expected time until enough running calls have ended to leave memory for a new call of
// promptTokens and for those that wait before it, if senderCount processes send to the engine.
func (st *state) memoryWait(promptTokens, senderCount int) time.Duration {
	if st.utilization.memoryTokens == 0 {
		return 0
	}
	needed := float64(st.utilization.waiting)*st.meanPromptTokens + float64(st.tokensSinceReport*senderCount+promptTokens)
	missing := needed - float64(st.utilization.freeTokens)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / float64(st.utilization.memoryTokens) * float64(st.meanRunTime))
}

// tokensAhead returns the number of prompt tokens that the engine prefills before those of a new call, if senderCount
// processes send to it. It uses a recent report of the tender, and without one only this process's own backlog.
func (st *state) tokensAhead(now time.Time, senderCount int) int {
	if now.Sub(st.utilization.observedAt) > utilizationTTL {
		return st.backlogTokens * senderCount
	}
	return max(int(float64(st.utilization.waiting)*st.meanUncachedTokens)+st.tokensSinceReport*senderCount, st.backlogTokens)
}

// oldestWait returns how long the first of this process's pending calls that is at least as urgent as priority has
// waited. The engine is unlikely to start a new call sooner.
func (st *state) oldestWait(now time.Time, priority int) time.Duration {
	for _, att := range st.pending {
		if att.priority <= priority {
			return now.Sub(att.sentAt)
		}
	}
	return 0
}

// recordSent records a call that is sent to the server, which has not cached uncachedTokens of its promptTokens.
func (st *state) recordSent(uncachedTokens, promptTokens int) {
	st.meanPromptTokens += (float64(promptTokens) - st.meanPromptTokens) * meanWeight
	st.running++
	st.backlogTokens += uncachedTokens
	st.tokensSinceReport += uncachedTokens
	if uncachedTokens > 0 {
		st.meanUncachedTokens += (float64(uncachedTokens) - st.meanUncachedTokens) * meanWeight
	}
}
