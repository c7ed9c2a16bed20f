package pick

import (
	"time"

	"shallotcleat/core/fleet"
)

// Limits of the time for which a failing server gets no calls.
const (
	firstPause = 500 * time.Millisecond
	longPause  = 4 * time.Second
)

// failureWeight is the part of the failure rate that one more call makes up.
const failureWeight = 0.1

// news is what is known of a model's weights at one server.
type news struct {
	version uint64
	// loading is set while the server loads other weights; until bounds how long that is believed.
	loading bool
	until   time.Time
}

// state is what this process has seen of one server.
type state struct {
	running int
	// backlog is the number of prompt tokens of running calls that have not answered yet.
	backlog int
	weights map[string]news
	// failures is the moving rate of calls that failed, from 0 to 1.
	failures float64
	// inRow counts failures of the connection since the last answer; pausedUntil ends the time without calls.
	inRow       int
	pausedUntil time.Time
	// recent holds the last uses of prompts here, by this process or by others that told it.
	recent map[recentKey]use
	// reported is what the server's tender told of its work.
	reported Utilization
	// unbegun holds this process's calls that have not answered yet, in the order in which they were sent.
	unbegun []*Attempt
	// sinceReport is the number of prompt tokens sent by this process since the tender's word.
	sinceReport int
	// meanSize is the moving mean of the prompt tokens of a call, read or not, and runTime that of the time from its first event to
	// its end.
	meanSize float64
	runTime  time.Duration
	// meanRead is the moving mean of the prompt tokens that a call makes the server read.
	meanRead float64
	// pace is the moving ratio of the time to the first event to the expected one.
	pace float64
	// pacedAt is when the pace was changed last.
	pacedAt time.Time
	// fullUntil ends the time in which the server is taken to be full after a rejection.
	fullUntil time.Time
	// shortUntil ends the time in which the server should get short calls only, unless its tender says so again.
	shortUntil time.Time
	// replaced is set when another server has answered at the address; it holds for the server's start at born.
	replaced bool
	born     int64
}

// recentKey is the key of a prompt's beginning with the version of the weights under which it was read.
type recentKey struct {
	key     uint64
	version uint64
}

// Work is how busy an engine was when its tender looked at a time.
type Utilization struct {
	running int
	waiting int
	free    int
	memory  int
	at      time.Time
}

// NewWork returns the work of an engine that has taken up some calls; waiting counts its calls that have no event yet, taken up or
// not, and free the tokens for which it has memory.
func NewUtilization(running, waiting, free, memory int, at time.Time) Utilization {
	return Utilization{running: running, waiting: waiting, free: free, memory: memory, at: at}
}

// newState returns the state of a server of which nothing was seen; the server may be nil.
func newState(sv *fleet.Server) *state {
	st := &state{weights: make(map[string]news), recent: make(map[recentKey]use), pace: 1, meanRead: usualRead, meanSize: usualRead, runTime: usualRun}
	if sv != nil {
		st.born = sv.StartUnixMilli()
	}
	return st
}

func (st *state) isPaused(now time.Time) bool { return now.Before(st.pausedUntil) }

func (st *state) broke(now time.Time) {
	st.inRow++
	pause := min(firstPause<<min(st.inRow-1, 4), longPause)
	st.pausedUntil = now.Add(pause)
	st.failures += (1 - st.failures) * failureWeight
}

func (st *state) failed() { st.failures += (1 - st.failures) * failureWeight }

func (st *state) succeeded() {
	st.inRow = 0
	st.pausedUntil = time.Time{}
	st.failures -= st.failures * failureWeight
}

// usualRead is the number of prompt tokens that a call is taken to make an engine read before calls were seen.
const usualRead = 3000

// usualRun is how long a call is taken to run after its first event before calls were seen.
const usualRun = 500 * time.Millisecond

// memoryWait returns the time until running calls have ended that leave memory for a new one of some tokens and for those that wait
// before it.
func (st *state) memoryWait(size, senders int) time.Duration {
	if st.reported.memory == 0 {
		return 0
	}
	needed := float64(st.reported.waiting)*st.meanSize + float64(st.sinceReport*senders+size)
	short := needed - float64(st.reported.free)
	if short <= 0 {
		return 0
	}
	return time.Duration(short / float64(st.reported.memory) * float64(st.runTime))
}

// ahead returns the prompt tokens that an engine reads before those of a new call, where as many processes as senders send to
// it. A fresh report of its tender goes before what this process alone can guess.
func (st *state) ahead(now time.Time, senders int) int {
	if now.Sub(st.reported.at) > reportLife {
		return st.backlog * senders
	}
	return max(int(float64(st.reported.waiting)*st.meanRead)+st.sinceReport*senders, st.backlog)
}

// stuck returns for how long the first of this process's calls that are at least as urgent as a new one has been waiting: an engine
// that has kept it waiting will hardly begin the new one sooner.
func (st *state) stuck(now time.Time, rank int) time.Duration {
	for _, se := range st.unbegun {
		if se.rank <= rank {
			return now.Sub(se.at)
		}
	}
	return 0
}

// sent notes a call that goes to the server.
func (st *state) sent(tokens, size int) {
	st.meanSize += (float64(size) - st.meanSize) * paceWeight
	st.running++
	st.backlog += tokens
	st.sinceReport += tokens
	if tokens > 0 {
		st.meanRead += (float64(tokens) - st.meanRead) * paceWeight
	}
}
