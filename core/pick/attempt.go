package pick

import (
	"slices"
	"time"
)

// Sent is a call on its way at one server; one goroutine owns it.
type Attempt struct {
	picker  *Picker
	id      string
	keys    []uint64
	version uint64
	tokens  int
	rank    int
	// at is when the call was sent, expected the time to its first event.
	at       time.Time
	expected time.Duration
	beganAt  time.Time
	begun    bool
	ended    bool
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
	tokens := max(cl.tokens-cl.tokensAfter(0)+cl.tokensAfter(st.depth(now, cl, ch.version)), 0)
	for _, key := range cl.keys {
		rk := recentKey{key: key, version: ch.version}
		st.remember(rk, use{sent: now, read: st.recent[rk].read})
	}
	se := &Attempt{picker: pk, id: ch.server.ID(), keys: cl.keys, version: ch.version, tokens: tokens, rank: cl.rank, at: now, expected: pk.expect(now, st, tokens, cl.tokens)}
	st.sent(tokens, cl.tokens)
	if tokens > 0 {
		st.unbegun = append(st.unbegun, se)
	}
	return se
}

// Begin notes that the answer has begun: the prompt is read. Only the first call counts.
func (se *Attempt) MarkFirstEvent(now time.Time) {
	if se.begun {
		return
	}
	se.picker.mu.Lock()
	defer se.picker.mu.Unlock()
	st := se.leaveBacklog()
	if st == nil {
		return
	}
	se.beganAt = now
	if se.tokens > 0 {
		se.picker.observe(now, se.id, st, now.Sub(se.at), se.expected)
	}
	for _, key := range se.keys {
		se.picker.learn(now, se.id, recentKey{key: key, version: se.version})
	}
}

// unsend notes that a server did not read what was sent to it.
func (st *state) unsend(key recentKey) {
	if us := st.recent[key]; us.read.IsZero() {
		delete(st.recent, key)
	} else {
		st.recent[key] = use{sent: us.read, read: us.read}
	}
}

// leaveBacklog takes the call's tokens out of the server's backlog, and returns the server's state if they were in it; the
// caller holds the picker's lock.
func (se *Attempt) leaveBacklog() *state {
	st, ok := se.picker.states[se.id]
	if se.begun || !ok {
		return nil
	}
	se.begun = true
	st.backlog = max(st.backlog-se.tokens, 0)
	if i := slices.Index(st.unbegun, se); i >= 0 {
		st.unbegun = slices.Delete(st.unbegun, i, i+1)
	}
	return st
}

// End notes how the sending ended; only the first call counts.
func (se *Attempt) End(now time.Time, oc Outcome) {
	if se.ended {
		return
	}
	se.picker.mu.Lock()
	defer se.picker.mu.Unlock()
	se.ended = true
	if waiting := se.leaveBacklog(); waiting != nil && se.tokens > 0 && (oc == NoResponse || oc == Abandoned) {
		// The answer would have begun later still.
		se.picker.observe(now, se.id, waiting, now.Sub(se.at), se.expected)
	}
	st, ok := se.picker.states[se.id]
	if !ok {
		return
	}
	st.running = max(st.running-1, 0)
	switch oc {
	case Served:
		st.succeeded()
		if !se.beganAt.IsZero() {
			st.runTime += time.Duration(float64(now.Sub(se.beganAt)-st.runTime) * paceWeight)
		}
	case Failed:
		st.failed()
	case NoResponse:
		st.broke(now)
	case Rejected:
		st.fullUntil = now.Add(fullPause)
		for _, key := range se.keys {
			st.unsend(recentKey{key: key, version: se.version})
		}
	case Abandoned:
	}
}

// Paused returns the servers that do not answer and whose pause ends before a time, with their addresses by id.
func (pk *Picker) ProbeTargets(before time.Time) map[string]string {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	paused := make(map[string]string)
	for id, st := range pk.states {
		if st.inRow > 0 && st.pausedUntil.Before(before) {
			if sv := pk.view.Server(id); sv != nil {
				paused[id] = sv.Address()
			}
		}
	}
	return paused
}

// Unreached notes that a server could not be reached or is late with an answer: calls go elsewhere for a while.
func (pk *Picker) MarkUnreachable(now time.Time, id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if st, ok := pk.states[id]; ok {
		st.broke(now)
	}
}

// Alive reports whether a process beside the server saw it answer lately, so that a late answer means that the server is busy.
func (pk *Picker) Alive(now time.Time, id string) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st, ok := pk.states[id]
	return ok && !st.reported.at.IsZero() && now.Sub(st.reported.at) < aliveLife
}

// aliveLife is how long a tender's report counts; it reports more often, and at once when its engine does not answer.
const aliveLife = 5 * time.Second

// Dark notes that a process beside the server got no answer from it.
func (pk *Picker) MarkDown(now time.Time, id string) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	st := pk.state(id)
	st.reported = Utilization{}
	st.broke(now)
	st.pausedUntil = now.Add(longPause)
}

// Serving returns how many servers of a service are not known to be silent.
func (pk *Picker) CountAvailable(now time.Time, service string) int {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	serving := 0
	for _, sv := range pk.view.Servers(service) {
		if !pk.state(sv.ID()).isPaused(now) {
			serving++
		}
	}
	return serving
}
