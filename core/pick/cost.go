package pick

import "time"

// cost returns the expected time until a server's answer begins, alone and with the price of its weights, its zone and its failures;
// the caller holds mu.
func (pk *Picker) cost(now time.Time, cl Call, cd candidate) (cost, wait time.Duration) {
	st := pk.state(cd.server.ID())
	missing := 0
	if !cd.home {
		missing = cl.tokensAfter(cd.depth)
	}
	wait = time.Duration(st.pace * float64(pk.expect(now, st, cl.tokens-cl.tokensAfter(0)+missing, cl.tokens)))
	wait = max(wait, st.stuck(now, cl.rank))
	cost = wait + cd.penalty + spreadPrice(cl, missing, cd.penalty > 0)
	if now.Before(st.fullUntil) {
		cost += fullCost
	}
	if cl.isLong() && now.Before(st.shortUntil) {
		cost += shortOnlyCost
	}
	if cd.server.Zone() != pk.zone {
		cost += otherZoneCost
	}
	cost += time.Duration(st.failures * float64(failingCost))
	switch {
	case st.isPaused(now):
		cost += pausedCost
	case st.inRow > 0 && cl.once:
		cost += onceProbeCost
	case st.inRow > 0:
		cost += probeCost
	}
	return cost, wait
}

// spreadPrice returns the price of reading a call's shared parts at a server that lacks some tokens of them: they take the place of other
// prompts. Old weights count as if the server had none, since its cache is dropped when newer ones are loaded.
func spreadPrice(cl Call, missing int, old bool) time.Duration {
	if old {
		missing = cl.tokensAfter(0)
	}
	if missing <= 0 {
		return 0
	}
	return spreadCost + spreadReads*readTime(missing)
}

// expect returns the time to the first event of a call that has some tokens to read, of as many as size, at a server of usual pace;
// the caller holds mu.
func (pk *Picker) expect(now time.Time, st *state, tokens, size int) time.Duration {
	running := st.running * pk.senders
	expected := baseTime
	if now.Sub(st.reported.at) < reportLife {
		running = max(st.running, st.reported.running)
		expected += st.memoryWait(size, pk.senders)
	}
	return expected + readTime(st.ahead(now, pk.senders)+tokens) + time.Duration(running)*runningCost
}

func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}
