package runs

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxEarlier bounds the earlier runs that are kept of a server, for streams that began there.
	maxEarlier = 3
	// entryAge is how long after its last write the directory may still list a run that has ended. Directories delete entries that are not written
	// again for some seconds; the rest is for servers that cannot reach them.
	entryAge = 10 * time.Second
	// forgetAfter is how long a server that is not listed is remembered.
	forgetAfter = 2 * time.Minute
)

// Ledger records evidence and events. Its times are those of the process's own monotonic clock. It is safe for concurrent use.
type Ledger struct {
	// mu guards the fields below.
	mu      sync.Mutex
	servers map[uint64]*server
	// listedAt is a time at which the directory still listed all runs whose listed is set, and gapAt when it last could not be read, or was restored from a
	// backup: it may then list runs that ended before.
	listedAt time.Time
	gapAt    time.Time
	// proved is closed with the next evidence.
	proved chan struct{}
}

// server is what is known of the runs of one server.
type server struct {
	// current is not nil.
	current *record
	// earlier are the runs before, the latest first.
	earlier []*record
	// event is the last event, at eventAt; it is nil if there was none.
	event   Event
	eventAt time.Time
	// unlistedAt is when the directory was found not to list the server any more, or zero.
	unlistedAt time.Time
}

// record is what is known of one run.
type record struct {
	run Run
	// version is the version of the run's software, or "" while it is unknown.
	version   string
	learnedAt time.Time
	learnedBy Evidence
	// provenAt is the latest time at which the run is certain to have been running, or zero, by provenBy.
	provenAt time.Time
	provenBy Evidence
	// reportedAt is when a tender last reported the run, or zero.
	reportedAt time.Time
	listed     bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{servers: make(map[uint64]*server), proved: make(chan struct{})}
}

// NextProof returns a channel that is closed with the next evidence that some run was running.
func (lg *Ledger) NextProof() <-chan struct{} {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.proved
}

// Learn records that evidence which came at now names a run. A run that started before the current one changes nothing. If the evidence is an Entry, asOf is a
// time at or after which the directory was read, and events before it no longer count against a new run.
func (lg *Ledger) Learn(now, asOf time.Time, rn Run, ev Evidence) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	rc := lg.learn(now, asOf, rn, ev)
	sv := lg.servers[rn.server]
	if _, isEntry := ev.(Entry); isEntry && rc != nil && rc == sv.current {
		rc.listed = true
		sv.unlistedAt = time.Time{}
		if _, wasCopied := rc.learnedBy.(Copy); wasCopied {
			rc.learnedBy = ev
		}
	}
}

// learn returns the record of a run, or nil if it is an unknown earlier one. The caller holds mu.
func (lg *Ledger) learn(now, asOf time.Time, rn Run, ev Evidence) *record {
	rc := &record{run: rn, learnedAt: now, learnedBy: ev}
	sv, ok := lg.servers[rn.server]
	if !ok {
		lg.servers[rn.server] = &server{current: rc, unlistedAt: now}
		return rc
	}
	if known := sv.find(rn); known != nil {
		return known
	}
	if rn.startUnixMilli < sv.current.run.startUnixMilli {
		return nil
	}
	sv.current.listed = false
	sv.earlier = append([]*record{sv.current}, sv.earlier[:min(len(sv.earlier), maxEarlier-1)]...)
	sv.current = rc
	if !asOf.Before(sv.eventAt) {
		sv.event = nil
	}
	return sv.current
}

// find returns the record of a run, or nil.
func (sv *server) find(rn Run) *record {
	if sv.current.run == rn {
		return sv.current
	}
	if i := slices.IndexFunc(sv.earlier, func(rc *record) bool { return rc.run == rn }); i >= 0 {
		return sv.earlier[i]
	}
	return nil
}

// SetVersion records the version of a run's software, which an entry states.
func (lg *Ledger) SetVersion(rn Run, version string) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if sv := lg.servers[rn.server]; sv != nil {
		if rc := sv.find(rn); rc != nil {
			rc.version = version
		}
	}
}

// Version returns the version of a run's software, or "" if it is unknown.
func (lg *Ledger) Version(rn Run) string {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[rn.server]
	if sv == nil {
		return ""
	}
	rc := sv.find(rn)
	if rc == nil {
		return ""
	}
	return rc.version
}

// Prove records that a run was running at a time.
func (lg *Ledger) Prove(at time.Time, rn Run, ev Evidence) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	rc := lg.learn(at, at, rn, ev)
	if rc == nil {
		return
	}
	if _, isTender := ev.(Tender); isTender && at.After(rc.reportedAt) {
		rc.reportedAt = at
	}
	if !at.After(rc.provenAt) {
		return
	}
	rc.provenAt, rc.provenBy = at, ev
	close(lg.proved)
	lg.proved = make(chan struct{})
	if sv := lg.servers[rn.server]; !sv.unlistedAt.IsZero() {
		sv.unlistedAt = at
	}
}

// Doubt records an event that may have ended the current run of a server.
func (lg *Ledger) Doubt(now time.Time, server uint64, ev Event) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if sv := lg.servers[server]; sv != nil {
		sv.event, sv.eventAt = ev, now
	}
}

// SetListed records that the directory, read after a time, still lists the runs that it was found to list.
func (lg *Ledger) SetListed(at time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if at.After(lg.listedAt) {
		lg.listedAt = at
	}
}

// SetGap records that the directory could not be read, or was restored from a backup, so that it may list runs that ended before.
func (lg *Ledger) SetGap(now time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lg.gapAt = now
}

// Unlist records that the directory no longer lists a server.
func (lg *Ledger) Unlist(now time.Time, server uint64) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if sv := lg.servers[server]; sv != nil && sv.current.listed {
		sv.current.listed, sv.unlistedAt = false, now
	}
}

// Retain calls Unlist for the servers that are not among those of a full read of the directory.
func (lg *Ledger) Retain(now time.Time, listed map[uint64]bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for hash, sv := range lg.servers {
		if !listed[hash] && sv.current.listed {
			sv.current.listed, sv.unlistedAt = false, now
		}
	}
}

// Forget drops the servers that have not been listed for long.
func (lg *Ledger) Forget(now time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for hash, sv := range lg.servers {
		if !sv.unlistedAt.IsZero() && now.Sub(sv.unlistedAt) > forgetAfter {
			delete(lg.servers, hash)
		}
	}
}

// lastProof returns the latest time at which a run is certain to have been running, or zero. The caller holds mu.
func (lg *Ledger) lastProof(rc *record) time.Time {
	if !rc.listed || lg.listedAt.IsZero() {
		return rc.provenAt
	}
	if byEntry := lg.listedAt.Add(-entryAge); byEntry.After(rc.provenAt) && byEntry.After(lg.gapAt) {
		return byEntry
	}
	return rc.provenAt
}

// Judge returns whether a run was running at a moment. A run whose start is unknown counts as certain, since nothing can tell it from another one.
func (lg *Ledger) Judge(mo Moment) Verdict {
	if mo.run.startUnixMilli == 0 {
		return Certain{}
	}
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[mo.run.server]
	if sv == nil {
		return InDoubt{}
	}
	rc := sv.find(mo.run)
	switch {
	case rc != nil && !lg.lastProof(rc).Before(mo.at):
		return Certain{}
	case rc != nil && rc != sv.current:
		return Superseded{}
	case rc == nil || lg.inDoubt(sv):
		return InDoubt{}
	}
	return Unproven{}
}

// UnprovenFor returns for how long before its end, as far as that is known, nothing has proved that a run was running: until the event that may have ended it, or
// until now.
func (lg *Ledger) UnprovenFor(now time.Time, rn Run) time.Duration {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[rn.server]
	if sv == nil {
		return math.MaxInt64
	}
	rc := sv.find(rn)
	if rc == nil {
		return math.MaxInt64
	}
	proof := lg.lastProof(rc)
	if sv.event != nil && sv.eventAt.After(proof) {
		now = sv.eventAt
	}
	return now.Sub(proof)
}

// IsCurrent reports whether no later run of a server is known.
func (lg *Ledger) IsCurrent(rn Run) bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[rn.server]
	return sv != nil && sv.current.run == rn
}

// IsReported reports whether the tender of a run has reported it since a time.
func (lg *Ledger) IsReported(since time.Time, rn Run) bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[rn.server]
	if sv == nil {
		return false
	}
	rc := sv.find(rn)
	return rc != nil && !rc.reportedAt.Before(since)
}

// InDoubt reports whether an event since the last evidence may have ended the current run of a server, or whether it is known from another gate's copy only.
func (lg *Ledger) InDoubt(server uint64) bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[server]
	return sv == nil || lg.inDoubt(sv)
}

// inDoubt is InDoubt; the caller holds mu.
func (lg *Ledger) inDoubt(sv *server) bool {
	proof := lg.lastProof(sv.current)
	if sv.event != nil && sv.eventAt.After(proof) {
		return true
	}
	_, copied := sv.current.learnedBy.(Copy)
	return copied && proof.IsZero()
}

// Belief is what is known of a run, for logs. It is immutable.
type Belief struct {
	learnedBy, provenBy     Evidence
	event                   Event
	known, proven, eventAge time.Duration
	current                 bool
}

// LearnedBy returns the evidence that first named the run, and how long ago that came.
func (bl Belief) LearnedBy() (Evidence, time.Duration) { return bl.learnedBy, bl.known }

// ProvenBy returns the latest evidence that the run was running, or nil, and how long ago it was certain to be running.
func (bl Belief) ProvenBy() (Evidence, time.Duration) { return bl.provenBy, bl.proven }

// Event returns the last event that may have ended a run of the server, or nil, and how long ago it was.
func (bl Belief) Event() (Event, time.Duration) { return bl.event, bl.eventAge }

// IsCurrent reports whether no later run of the server is known.
func (bl Belief) IsCurrent() bool { return bl.current }

// Belief returns what is known of a run; ok is false if that is nothing.
func (lg *Ledger) Belief(now time.Time, rn Run) (bl Belief, ok bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	sv := lg.servers[rn.server]
	if sv == nil {
		return Belief{}, false
	}
	rc := sv.find(rn)
	if rc == nil {
		return Belief{}, false
	}
	bl = Belief{learnedBy: rc.learnedBy, known: now.Sub(rc.learnedAt), current: rc == sv.current}
	if proof := lg.lastProof(rc); !proof.IsZero() {
		bl.provenBy, bl.proven = rc.provenBy, now.Sub(proof)
		if proof.After(rc.provenAt) {
			bl.provenBy = Entry{}
		}
	}
	if sv.event != nil {
		bl.event, bl.eventAge = sv.event, now.Sub(sv.eventAt)
	}
	return bl, true
}
