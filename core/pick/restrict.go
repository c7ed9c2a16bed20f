package pick

import (
	"slices"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/quota"
)

// restrictionTTL is how long a restriction is kept after it was last changed, so that it outlives a server's absence from the
// directory.
const restrictionTTL = 10 * time.Minute

// restriction is what a server has said about new calls. It is kept apart from the server's state, which is dropped while the
// directory does not list the server; only a later start of the server ends it.
type restriction struct {
	// startUnixMilli is the start time of the server that it belongs to.
	startUnixMilli int64
	// leaving is set once the server has announced that it stops.
	leaving bool
	// pausedUntil is the time before which the server asked for no calls.
	pausedUntil time.Time
	changedAt   time.Time
}

// forbidsCalls reports whether the server must get no calls.
func (rs restriction) forbidsCalls(now time.Time) bool {
	return rs.leaving || now.Before(rs.pausedUntil)
}

// MarkLeaving records that a server announced that it stops: it gets no calls until it has started again.
func (pk *Picker) MarkLeaving(now time.Time, sv *fleet.Server) {
	pk.restrict(now, sv, func(rs *restriction) { rs.leaving = true })
}

// Pause records that a server asked for no calls for the given period. A shorter later period does not end an earlier one.
func (pk *Picker) Pause(now time.Time, sv *fleet.Server, period time.Duration) {
	pk.restrict(now, sv, func(rs *restriction) {
		if until := now.Add(period); until.After(rs.pausedUntil) {
			rs.pausedUntil = until
		}
	})
}

func (pk *Picker) restrict(now time.Time, sv *fleet.Server, change func(*restriction)) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	if current := pk.view.Server(sv.ID()); current != nil && startedLater(current, sv.StartUnixMilli()) {
		// The response came from an earlier run of the server.
		return
	}
	rs, known := pk.restrictions[sv.ID()]
	switch {
	case !known:
		pk.dropOldRestrictions(now)
	case sv.StartUnixMilli() != 0 && sv.StartUnixMilli() < rs.startUnixMilli:
		// The same, while the later run is not listed.
		return
	}
	rs.startUnixMilli, rs.changedAt = max(rs.startUnixMilli, sv.StartUnixMilli()), now
	change(&rs)
	pk.restrictions[sv.ID()] = rs
}

// startedLater reports whether a server is a later run than one with the given start time. An unknown start time is no evidence.
func startedLater(sv *fleet.Server, startUnixMilli int64) bool {
	return startUnixMilli != 0 && sv.StartUnixMilli() > startUnixMilli
}

// AcceptsCalls reports whether a server has neither announced that it stops nor asked for a pause that has not ended.
func (pk *Picker) AcceptsCalls(now time.Time, id string) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return !pk.restrictions[id].forbidsCalls(now)
}

// Leaving reports whether a server has announced that it stops, in a response or in the directory.
func (pk *Picker) Leaving(sv *fleet.Server) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	current := pk.view.Server(sv.ID())
	return sv.Draining() || current != nil && current.Draining() || pk.restrictions[sv.ID()].leaving
}

// HasServer reports whether a server that is not leaving may take a call, now or after a while.
func (pk *Picker) HasServer(cl Call) bool {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	return slices.ContainsFunc(pk.view.Servers(cl.service), func(sv *fleet.Server) bool {
		return !sv.Draining() && !pk.restrictions[sv.ID()].leaving && !pk.state(sv.ID()).replaced && !cl.excludes(sv)
	})
}

// Limits returns the slots of servers with limits, of which Choose takes one for each call.
func (pk *Picker) Limits() *quota.Stock { return pk.limits }

// Release gives up a choice whose call is not sent.
func (pk *Picker) Release(ch Choice) {
	if ch.limited {
		pk.limits.Return(ch.server.ID(), ch.server.StartUnixMilli(), ch.slot)
	}
}

// PausedFor returns the time until the first server of a service takes calls again, and false unless all its servers that are not
// leaving have asked for a pause or have reached their limits.
func (pk *Picker) PausedFor(now time.Time, service string) (time.Duration, bool) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	var earliest time.Time
	for _, sv := range pk.view.Servers(service) {
		rs := pk.restrictions[sv.ID()]
		if sv.Draining() || rs.leaving || pk.state(sv.ID()).replaced {
			continue
		}
		until := rs.pausedUntil
		if next := pk.limits.NextUse(now, sv.ID(), sv.StartUnixMilli()); next.After(until) {
			until = next
		}
		switch {
		case !now.Before(until):
			return 0, false
		case earliest.IsZero() || until.Before(earliest):
			earliest = until
		}
	}
	return earliest.Sub(now), !earliest.IsZero()
}

// Slots returns the slots of the servers of a service that take calls now, in use or not.
func (pk *Picker) Slots(now time.Time, service string) int {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	slots := 0
	for _, sv := range pk.view.Servers(service) {
		if st := pk.state(sv.ID()); !sv.Draining() && !st.replaced && !st.inBackoff(now) && !pk.restrictions[sv.ID()].leaving {
			slots += sv.Slots()
		}
	}
	return slots
}

// dropEndedRestrictions drops the restrictions of servers that have started again. The caller holds mu.
func (pk *Picker) dropEndedRestrictions() {
	for id, rs := range pk.restrictions {
		if sv := pk.view.Server(id); sv != nil && startedLater(sv, rs.startUnixMilli) {
			delete(pk.restrictions, id)
		}
	}
}

// dropOldRestrictions drops the restrictions of servers that have been gone for long. The caller holds mu.
func (pk *Picker) dropOldRestrictions(now time.Time) {
	for id, rs := range pk.restrictions {
		if pk.view.Server(id) == nil && now.Sub(rs.changedAt) > restrictionTTL && !now.Before(rs.pausedUntil) {
			delete(pk.restrictions, id)
		}
	}
}
