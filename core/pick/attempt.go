package pick

import (
	"slices"
	"time"

	"shallotcleat/core/fleet"
)

// Attempt is one attempt of a call at one server; one goroutine owns it.
type Attempt struct {
	picker *Picker
	id     string
	// startUnixMilli is the start time of the server's run that the call is sent to, as far as is known.
	startUnixMilli int64

	keys    []uint64
	model   string
	version uint64
	// tokens is the number of uncached prompt tokens.
	tokens   int
	priority int
	sentAt   time.Time
	// saveStore is the cache store to which the server saves the prefixes, or nil, and saveRun the run of the store when the call was sent.
	saveStore *storeState
	saveRun   uint64
	// expectedTime is the time expected from sentAt to the first event.
	expectedTime time.Duration
	firstEventAt time.Time
	leftBacklog  bool
	ended        bool
}

// Outcome is how an attempt ended, as far as the server's health is concerned.
type Outcome int

// The outcomes of an attempt.
const (
	// Served means that the server responded successfully.
	Served Outcome = iota
	// Rejected means that the server reported that it did not run the call.
	Rejected
	// Failed means that the server's response was an error or was cut off.
	Failed
	// NoResponse means that the server did not respond or could not be reached.
	NoResponse
	// Abandoned means that the attempt ended for a reason that says nothing about the server.
	Abandoned
)

// StartAttempt records that a call is sent to its chosen server. The caller must call End.
func (pk *Picker) StartAttempt(now time.Time, cl Call, ch Choice) *Attempt {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(ch.server.ID())
	tokens := max(cl.tokens-cl.tokensAfter(0)+cl.tokensAfter(st.cachedDepth(now, cl, ch.version)), 0)
	if cl.copied {
		st.running++
		return &Attempt{picker: pk, id: ch.server.ID(), startUnixMilli: st.startUnixMilli, model: cl.model, version: ch.version, priority: cl.priority, sentAt: now}
	}
	if sg := pk.stagings[cl.service]; sg != nil {
		sg.planner.Observe(now, tokens)
	}
	if len(cl.keys) > 0 {
		pk.seen.set(now, cl.affinityKey(), now)
	}
	for _, key := range cl.keys {
		pf := prefixKey{key: key, version: ch.version}
		if ch.saveStore != nil {
			ch.saveStore.saving.set(now, pf, now)
		}
		us, _ := st.prefixes.get(pf)
		us.sentAt = now
		st.prefixes.set(now, pf, us)
	}
	att := &Attempt{picker: pk, id: ch.server.ID(), startUnixMilli: st.startUnixMilli, keys: cl.keys, model: cl.model, version: ch.version, tokens: tokens,
		priority: cl.priority, sentAt: now, saveStore: ch.saveStore, expectedTime: pk.expectedTime(now, st, pk.prefillRate(now, ch.server, st), tokens, cl.tokens)}
	if ch.saveStore != nil {
		att.saveRun = ch.saveStore.run
	}
	st.recordSent(tokens, cl.tokens)
	if tokens > 0 {
		st.pending = append(st.pending, att)
	}
	return att
}

// OnExpiry sets the function that ExpireAttempts calls if the weights of the attempt's server expire before the attempt begins; it must not
// block or call the picker. Calls without a model have no weights.
func (att *Attempt) OnExpiry(onExpiry func()) {
	if att.model == "" {
		return
	}
	att.picker.mu.Lock()
	defer att.picker.mu.Unlock()
	att.picker.notBegun[att] = onExpiry
}

// MarkBegun records that the server has begun the call. MarkFirstEvent and End imply it.
func (att *Attempt) MarkBegun() {
	att.picker.mu.Lock()
	defer att.picker.mu.Unlock()
	delete(att.picker.notBegun, att)
}

// MarkFirstEvent records that the response has begun, so the prefill is complete. Later calls have no effect.
func (att *Attempt) MarkFirstEvent(now time.Time) {
	if att.leftBacklog {
		return
	}
	att.picker.mu.Lock()
	defer att.picker.mu.Unlock()
	delete(att.picker.notBegun, att)
	st := att.removeFromBacklog()
	if st == nil {
		return
	}
	att.firstEventAt = now
	if att.tokens > 0 {
		att.picker.observeSlowdown(now, att.id, st, now.Sub(att.sentAt), att.expectedTime)
	}
	// A store that has started again since may have lost what was saved.
	if att.saveStore != nil && (att.saveRun == 0 || att.saveRun == att.saveStore.run) {
		att.picker.recordSave(now, att.saveStore, att.keys, att.version)
	}
	for _, key := range att.keys {
		att.picker.recordPrefill(now, att.id, prefixKey{key: key, version: att.version})
	}
}

// undoUse records that a server did not prefill a prefix that was sent to it.
func (st *state) undoUse(key prefixKey) {
	if us, _ := st.prefixes.get(key); us.prefilledAt.IsZero() {
		st.prefixes.remove(key)
	} else {
		st.prefixes.set(us.prefilledAt, key, prefixUse{sentAt: us.prefilledAt, prefilledAt: us.prefilledAt})
	}
}

// removeFromBacklog removes the attempt from the server's backlog and pending calls. It returns the server's state, or
// nil if the attempt was removed before, or the server is gone or has started again. The caller holds the picker's lock.
func (att *Attempt) removeFromBacklog() *state {
	st := att.picker.stateOfRun(att.id, att.startUnixMilli)
	if att.leftBacklog || st == nil {
		return nil
	}
	att.leftBacklog = true
	st.backlogTokens = max(st.backlogTokens-att.tokens, 0)
	if i := slices.Index(st.pending, att); i >= 0 {
		st.pending = slices.Delete(st.pending, i, i+1)
	}
	return st
}

// End records the outcome of the attempt. Later calls have no effect.
func (att *Attempt) End(now time.Time, oc Outcome) {
	if att.ended {
		return
	}
	att.picker.mu.Lock()
	defer att.picker.mu.Unlock()
	att.ended = true
	delete(att.picker.notBegun, att)
	if st := att.removeFromBacklog(); st != nil && att.tokens > 0 && (oc == NoResponse || oc == Abandoned) {
		// The first event would have come later still, so the elapsed time is a lower bound.
		att.picker.observeSlowdown(now, att.id, st, now.Sub(att.sentAt), att.expectedTime)
	}
	st := att.picker.stateOfRun(att.id, att.startUnixMilli)
	if st == nil {
		return
	}
	st.running = max(st.running-1, 0)
	switch oc {
	case Served:
		st.recordSuccess()
		if !att.firstEventAt.IsZero() {
			st.meanRunTime += time.Duration(float64(now.Sub(att.firstEventAt)-st.meanRunTime) * meanWeight)
		}
	case Failed:
		st.recordFailure()
	case NoResponse:
		st.recordUnreachable(now)
		st.recordFailure()
	case Rejected:
		st.rejectedUntil = now.Add(rejectedPeriod)
		for _, key := range att.keys {
			st.undoUse(prefixKey{key: key, version: att.version})
		}
	case Abandoned:
	}
}

// ProbeTargets returns the addresses, by server id, of the servers that last did not respond and whose backoff ends
// before the given time.
func (pk *Picker) ProbeTargets(before time.Time) map[string]string {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	addresses := make(map[string]string)
	for id, st := range pk.states {
		if st.consecutiveFailures > 0 && st.backoffUntil.Before(before) {
			if sv := pk.view.Server(id); sv != nil {
				addresses[id] = sv.Address()
			}
		}
	}
	return addresses
}

// MarkUnreachable records that a run of a server is late with a response, and starts its backoff. It does nothing if the server has started again.
func (pk *Picker) MarkUnreachable(now time.Time, sv *fleet.Server) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if st := pk.stateOfRun(sv.ID(), sv.StartUnixMilli()); st != nil {
		st.recordUnreachable(now)
		st.recordFailure()
	}
}

// MarkProbeFailed records that a probe did not reach a server, and starts its backoff. It does not count as a failed call: the failure rate
// falls with served calls only, and a zone that was lost for long would get none after its return while other zones have free servers.
func (pk *Picker) MarkProbeFailed(now time.Time, id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if st, ok := pk.states[id]; ok {
		st.recordUnreachable(now)
	}
}

// Alive reports whether a server's tender recently got a response from it, in which case a late response to a call means
// that the server is busy.
func (pk *Picker) Alive(now time.Time, id string) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st, ok := pk.states[id]
	return ok && !st.utilization.observedAt.IsZero() && now.Sub(st.utilization.observedAt) < aliveTTL
}

// aliveTTL is how long after a tender's report its server counts as alive. Tenders report more often than that, and at
// once when their engine does not respond.
const aliveTTL = 5 * time.Second

// MarkDown records that a server's tender got no response from it, and starts the longest backoff. Like a failed probe, it does not count as a
// failed call.
func (pk *Picker) MarkDown(now time.Time, id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	st.utilization = Utilization{}
	st.recordUnreachable(now)
	st.backoffUntil = now.Add(maxBackoff)
}

// CountAvailable returns how many servers of a service are not in backoff.
func (pk *Picker) CountAvailable(now time.Time, service string) int {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	available := 0
	for _, sv := range pk.view.Servers(service) {
		if !pk.state(sv.ID()).inBackoff(now) {
			available++
		}
	}
	return available
}
