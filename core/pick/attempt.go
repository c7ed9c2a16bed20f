package pick

import (
	"slices"
	"time"
)

// Sent is a call on its way at one server; one goroutine owns it.
type Attempt struct {
	picker   *Picker
	id       string
	keys     []uint64
	version  uint64
	tokens   int
	priority int
	// at is when the call was sent, expected the time to its first event.
	sentAt       time.Time
	expectedTime time.Duration
	firstEventAt time.Time
	leftBacklog  bool
	ended        bool
}

// Outcome tells how a sending ended, as far as the server's health goes.
type Outcome int

// The outcomes of a sending.
const (
	// Served means that the server answered as it should.
	Served Outcome = iota
	// Rejected means that the server said that it did not run the call.
	Rejected
	// Failed means that the server's answer was a failure or broken.
	Failed
	// Silent means that the server did not answer or could not be reached.
	NoResponse
	// Abandoned means that the sending ended for a reason that says nothing of the server.
	Abandoned
)

// Send notes that a call goes to its chosen server. End must be called.
func (pk *Picker) StartAttempt(now time.Time, cl Call, ch Choice) *Attempt {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(ch.server.ID())
	tokens := max(cl.tokens-cl.tokensAfter(0)+cl.tokensAfter(st.cachedDepth(now, cl, ch.version)), 0)
	for _, key := range cl.keys {
		pf := prefixKey{key: key, version: ch.version}
		st.recordUse(pf, prefixUse{sentAt: now, readAt: st.prefixes[pf].readAt})
	}
	att := &Attempt{picker: pk, id: ch.server.ID(), keys: cl.keys, version: ch.version, tokens: tokens, priority: cl.priority, sentAt: now, expectedTime: pk.expectedTime(now, st, tokens, cl.tokens)}
	st.recordSent(tokens, cl.tokens)
	if tokens > 0 {
		st.pending = append(st.pending, att)
	}
	return att
}

// Begin notes that the answer has begun: the prompt is read. Only the first call counts.
func (att *Attempt) MarkFirstEvent(now time.Time) {
	if att.leftBacklog {
		return
	}
	att.picker.mu.Lock()
	defer att.picker.mu.Unlock()
	st := att.removeFromBacklog()
	if st == nil {
		return
	}
	att.firstEventAt = now
	if att.tokens > 0 {
		att.picker.observeSlowdown(now, att.id, st, now.Sub(att.sentAt), att.expectedTime)
	}
	for _, key := range att.keys {
		att.picker.recordRead(now, att.id, prefixKey{key: key, version: att.version})
	}
}

// unsend notes that a server did not read what was sent to it.
func (st *state) undoUse(key prefixKey) {
	if us := st.prefixes[key]; us.readAt.IsZero() {
		delete(st.prefixes, key)
	} else {
		st.prefixes[key] = prefixUse{sentAt: us.readAt, readAt: us.readAt}
	}
}

// leaveBacklog takes the call's tokens out of the server's backlog, and returns the server's state if they were in it; the
// caller holds the picker's lock.
func (att *Attempt) removeFromBacklog() *state {
	st, ok := att.picker.states[att.id]
	if att.leftBacklog || !ok {
		return nil
	}
	att.leftBacklog = true
	st.backlogTokens = max(st.backlogTokens-att.tokens, 0)
	if i := slices.Index(st.pending, att); i >= 0 {
		st.pending = slices.Delete(st.pending, i, i+1)
	}
	return st
}

// End notes how the sending ended; only the first call counts.
func (att *Attempt) End(now time.Time, oc Outcome) {
	if att.ended {
		return
	}
	att.picker.mu.Lock()
	defer att.picker.mu.Unlock()
	att.ended = true
	if waiting := att.removeFromBacklog(); waiting != nil && att.tokens > 0 && (oc == NoResponse || oc == Abandoned) {
		// The answer would have begun later still.
		att.picker.observeSlowdown(now, att.id, waiting, now.Sub(att.sentAt), att.expectedTime)
	}
	st, ok := att.picker.states[att.id]
	if !ok {
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
	case Rejected:
		st.rejectedUntil = now.Add(rejectedPeriod)
		for _, key := range att.keys {
			st.undoUse(prefixKey{key: key, version: att.version})
		}
	case Abandoned:
	}
}

// Paused returns the servers that do not answer and whose pause ends before a time, with their addresses by id.
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

// Unreached notes that a server could not be reached or is late with an answer: calls go elsewhere for a while.
func (pk *Picker) MarkUnreachable(now time.Time, id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if st, ok := pk.states[id]; ok {
		st.recordUnreachable(now)
	}
}

// Alive reports whether a process beside the server saw it answer lately, so that a late answer means that the server is busy.
func (pk *Picker) Alive(now time.Time, id string) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st, ok := pk.states[id]
	return ok && !st.utilization.at.IsZero() && now.Sub(st.utilization.at) < aliveTTL
}

// aliveLife is how long a tender's report counts; it reports more often, and at once when its engine does not answer.
const aliveTTL = 5 * time.Second

// Dark notes that a process beside the server got no answer from it.
func (pk *Picker) MarkDown(now time.Time, id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	st.utilization = Utilization{}
	st.recordUnreachable(now)
	st.backoffUntil = now.Add(maxBackoff)
}

// Serving returns how many servers of a service are not known to be silent.
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
