package pick

import (
	"time"

	"shallotcleat/core/fleet"
)

// cost returns the cost of sending a call to a candidate, and the expected time to the first event alone. The cost adds
// penalties for stale weights, cache misses, a recent rejection, a restriction to short calls, the zone and failures.
// The caller holds mu.
func (pk *Picker) cost(now time.Time, cl Call, pl plan, cd candidate) (cost, timeToFirstEvent time.Duration) {
	st := pk.state(cd.server.ID())
	missing := 0
	if !cd.isHome {
		missing = cl.tokensAfter(cd.depth)
	}
	rate := pk.prefillRate(now, cd.server, st)
	expected := pk.expectedTime(now, st, rate, cl.tokens-cl.tokensAfter(0)+missing, cl.tokens)
	timeToFirstEvent = time.Duration(st.slowdown * float64(expected))
	timeToFirstEvent = max(timeToFirstEvent, st.oldestWait(now, cl.priority))
	cost = timeToFirstEvent + cd.stalePenalty + cacheMissCost(cl, missing, cd.stalePenalty > 0, rate)
	if now.Before(st.rejectedUntil) {
		cost += rejectedCost
	}
	if cl.isLong() && now.Before(st.shortOnlyUntil) {
		cost += shortOnlyCost
	}
	cost += pk.zoneCost(pl, cd.server)
	cost += pk.roleCost(cl, cd.server)
	cost += pk.doubtCost(cl, cd.server)
	cost += time.Duration(st.failureRate * float64(failureCost))
	switch {
	case st.inBackoff(now):
		cost += backoffCost
	case st.consecutiveFailures > 0 && cl.atMostOnce:
		cost += atMostOnceProbeCost
	case st.consecutiveFailures > 0:
		cost += probeCost
	}
	return cost, timeToFirstEvent
}

// doubtCost returns the cost of a server whose software version may not be certain.
func (pk *Picker) doubtCost(cl Call, sv *fleet.Server) time.Duration {
	if !cl.resumable || pk.ledger == nil || !pk.inDoubt(sv) {
		return 0
	}
	return doubtCost
}

// cacheMissCost returns the cost of prefilling missing tokens of a call's shared parts at a server: they evict other
// prompts from its cache. A server with stale weights counts as if it had cached none, since loading new weights drops
// its cache. rate is the server's prefill rate.
func cacheMissCost(cl Call, missing int, stale bool, rate float64) time.Duration {
	if stale {
		missing = cl.tokensAfter(0)
	}
	if missing <= 0 {
		return 0
	}
	return cacheMissBaseCost + cacheMissPrefillFactor*prefillTime(missing, rate)
}

// expectedTime returns the expected time to the first event, before the server's slowdown is applied, for a call of
// promptTokens of which the server has not cached uncachedTokens. rate is the server's prefill rate. The caller holds mu.
func (pk *Picker) expectedTime(now time.Time, st *state, rate float64, uncachedTokens, promptTokens int) time.Duration {
	running := st.running * pk.senderCount
	expected := baseLatency
	if now.Sub(st.utilization.observedAt) < utilizationTTL {
		running = max(st.running, st.utilization.running)
		expected += st.memoryWait(promptTokens, pk.senderCount)
	}
	return expected + prefillTime(st.tokensAhead(now, pk.senderCount)+uncachedTokens, rate) + time.Duration(running)*runningCallCost
}

// prefillTime returns the time in which an engine prefills tokens at a rate of tokens per second.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
