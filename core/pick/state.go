package pick

import (
	"time"

	"shallotcleat/core/fleet"
)

// Limits of the time for which a failing server gets no calls.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// failureWeight is the part of the failure rate that one more call makes up.
const failureWeight = 0.1

// news is what is known of a model's weights at one server.
type weightsState struct {
	version uint64
	// loading is set while the server loads other weights; until bounds how long that is believed.
	loading bool
	until   time.Time
}

// state is what this process has seen of one server.
type state struct {
	running int
	// backlog is the number of prompt tokens of running calls that have not answered yet.
	backlogTokens int
	weights       map[string]weightsState
	// failures is the moving rate of calls that failed, from 0 to 1.
	failureRate float64
	// inRow counts failures of the connection since the last answer; pausedUntil ends the time without calls.
	consecutiveFailures int
	backoffUntil        time.Time
	// recent holds the last uses of prompts here, by this process or by others that told it.
	prefixes map[prefixKey]prefixUse
	// reported is what the server's tender told of its work.
	utilization Utilization
	// unbegun holds this process's calls that have not answered yet, in the order in which they were sent.
	pending []*Attempt
	// sinceReport is the number of prompt tokens sent by this process since the tender's word.
	tokensSinceReport int
	// meanSize is the moving mean of the prompt tokens of a call, read or not, and runTime that of the time from its first event to
	// its end.
	meanPromptTokens float64
	meanRunTime      time.Duration
	// meanRead is the moving mean of the prompt tokens that a call makes the server read.
	meanUncachedTokens float64
	// pace is the moving ratio of the time to the first event to the expected one.
	slowdown float64
	// pacedAt is when the pace was changed last.
	slowdownAt time.Time
	// fullUntil ends the time in which the server is taken to be full after a rejection.
	rejectedUntil time.Time
	// shortUntil ends the time in which the server should get short calls only, unless its tender says so again.
	shortOnlyUntil time.Time
	// replaced is set when another server has answered at the address; it holds for the server's start at born.
	replaced    bool
	startMillis int64
}

// recentKey is the key of a prompt's beginning with the version of the weights under which it was read.
type prefixKey struct {
	key     uint64
	version uint64
}

// Work is how busy an engine was when its tender looked at a time.
type Utilization struct {
	running      int
	waiting      int
	freeTokens   int
	memoryTokens int
	at           time.Time
}

// NewWork returns the work of an engine that has taken up some calls; waiting counts its calls that have no event yet, taken up or
// not, and free the tokens for which it has memory.
func NewUtilization(running, waiting, freeTokens, memoryTokens int, at time.Time) Utilization {
	return Utilization{running: running, waiting: waiting, freeTokens: freeTokens, memoryTokens: memoryTokens, at: at}
}

// newState returns the state of a server of which nothing was seen; the server may be nil.
func newState(sv *fleet.Server) *state {
	st := &state{weights: make(map[string]weightsState), prefixes: make(map[prefixKey]prefixUse), slowdown: 1, meanUncachedTokens: initialUncachedTokens, meanPromptTokens: initialUncachedTokens, meanRunTime: initialRunTime}
	if sv != nil {
		st.startMillis = sv.StartUnixMilli()
	}
	return st
}

func (st *state) inBackoff(now time.Time) bool { return now.Before(st.backoffUntil) }

func (st *state) recordUnreachable(now time.Time) {
	st.consecutiveFailures++
	pause := min(minBackoff<<min(st.consecutiveFailures-1, 4), maxBackoff)
	st.backoffUntil = now.Add(pause)
	st.failureRate += (1 - st.failureRate) * failureWeight
}

func (st *state) recordFailure() { st.failureRate += (1 - st.failureRate) * failureWeight }

func (st *state) recordSuccess() {
	st.consecutiveFailures = 0
	st.backoffUntil = time.Time{}
	st.failureRate -= st.failureRate * failureWeight
}

// usualRead is the number of prompt tokens that a call is taken to make an engine read before calls were seen.
const initialUncachedTokens = 3000

// usualRun is how long a call is taken to run after its first event before calls were seen.
const initialRunTime = 500 * time.Millisecond

// memoryWait returns the time until running calls have ended that leave memory for a new one of some tokens and for those that wait
// before it.
func (st *state) memoryWait(promptTokens, senderCount int) time.Duration {
	if st.utilization.memoryTokens == 0 {
		return 0
	}
	needed := float64(st.utilization.waiting)*st.meanPromptTokens + float64(st.tokensSinceReport*senderCount+promptTokens)
	short := needed - float64(st.utilization.freeTokens)
	if short <= 0 {
		return 0
	}
	return time.Duration(short / float64(st.utilization.memoryTokens) * float64(st.meanRunTime))
}

// ahead returns the prompt tokens that an engine reads before those of a new call, where as many processes as senders send to
// it. A fresh report of its tender goes before what this process alone can guess.
func (st *state) tokensAhead(now time.Time, senderCount int) int {
	if now.Sub(st.utilization.at) > utilizationTTL {
		return st.backlogTokens * senderCount
	}
	return max(int(float64(st.utilization.waiting)*st.meanUncachedTokens)+st.tokensSinceReport*senderCount, st.backlogTokens)
}

// stuck returns for how long the first of this process's calls that are at least as urgent as a new one has been waiting: an engine
// that has kept it waiting will hardly begin the new one sooner.
func (st *state) oldestWait(now time.Time, priority int) time.Duration {
	for _, att := range st.pending {
		if att.priority <= priority {
			return now.Sub(att.sentAt)
		}
	}
	return 0
}

// sent notes a call that goes to the server.
func (st *state) recordSent(uncachedTokens, promptTokens int) {
	st.meanPromptTokens += (float64(promptTokens) - st.meanPromptTokens) * meanWeight
	st.running++
	st.backlogTokens += uncachedTokens
	st.tokensSinceReport += uncachedTokens
	if uncachedTokens > 0 {
		st.meanUncachedTokens += (float64(uncachedTokens) - st.meanUncachedTokens) * meanWeight
	}
}
