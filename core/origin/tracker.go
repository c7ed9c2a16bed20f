package origin

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// historyTTL is how long after a release was last in use, or a host's routes have changed, a stream from before may be resumed. It exceeds RecordTTL,
// since a stream may outlive the use of its release.
const historyTTL = 2 * RecordTTL

// maxPassed bounds the digests that a gate remembers. A history of earlier routes than those counts as one of unknown routes.
const maxPassed = 1000

// Routes holds a digest of the routes of streams for each host, by the host's key.
type Routes map[uint64]uint64

// Digest returns the digest of the routes of all hosts.
func (rt Routes) Digest() uint64 {
	var digest uint64
	for host, routes := range rt {
		// A sum does not depend on the order of hosts.
		digest += xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, host), routes))
	}
	return digest
}

// Tracker combines the stored History with what one gate observes. It is not safe for concurrent use.
type Tracker struct {
	stored History
	// openedSince is since when the stored history has had releases as open without interruption.
	openedSince map[string]time.Time
	// storedAt is when the store was last known to have it.
	storedAt time.Time
	// isLoaded is set once the store was read, and hasStored if it has a history.
	isLoaded, hasStored bool
	releases            sightings[string]
	// routes are those of the configuration in force, and passed the digests of all configurations that this gate has had in force: the hosts that
	// have changed since any of them are known.
	routes        Routes
	configVersion uint64
	passed        map[uint64]bool
	changedHosts  sightings[uint64]
	// allChangedAt is when the stored history turned out to be that of unknown routes, or zero.
	allChangedAt time.Time
	openings     Openings
	// inUse are the releases that are in use, as of inUseAt; hasObserved is set once there were any.
	inUse       []string
	inUseAt     time.Time
	hasObserved bool
	coverage    Coverage
}

// sightings holds when the gate last saw something itself, and when it first saw that the store has it.
type sightings[K comparable] struct {
	own, stored map[K]time.Time
}

func newSightings[K comparable]() sightings[K] {
	return sightings[K]{own: make(map[K]time.Time), stored: make(map[K]time.Time)}
}

// setStored records what the store has.
func (st *sightings[K]) setStored(now time.Time, keys []K) {
	stored := make(map[K]time.Time, len(keys))
	for _, key := range keys {
		stored[key] = now
		if since, ok := st.stored[key]; ok {
			stored[key] = since
		}
	}
	st.stored = stored
}

// current returns what was seen in the last historyTTL.
func (st *sightings[K]) current(now time.Time) []K {
	var keys []K
	for _, times := range []map[K]time.Time{st.own, st.stored} {
		for key, seen := range times {
			if now.Sub(seen) <= historyTTL {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// dropEnded forgets what the gate saw longer ago.
func (st *sightings[K]) dropEnded(now time.Time) {
	maps.DeleteFunc(st.own, func(_ K, seen time.Time) bool { return now.Sub(seen) > historyTTL })
}

// NewTracker returns a tracker of a gate that knows nothing yet.
func NewTracker() *Tracker {
	return &Tracker{releases: newSightings[string](), changedHosts: newSightings[uint64](), passed: make(map[uint64]bool), openings: newOpenings()}
}

// ObserveStored records the history that the store had at a time, at or after which it was asked; ok is false if it had none.
func (tr *Tracker) ObserveStored(now time.Time, hs History, ok bool) {
	openedSince := make(map[string]time.Time)
	for _, release := range hs.opened {
		openedSince[release] = now
		if since, isKnown := tr.openedSince[release]; isKnown {
			openedSince[release] = since
		} else {
			delete(tr.openings.expired, release)
		}
	}
	tr.openedSince = openedSince
	tr.stored, tr.isLoaded, tr.hasStored = hs, true, ok
	tr.releases.setStored(now, hs.releases)
	tr.changedHosts.setStored(now, hs.changedHosts)
	switch {
	case !hs.allChanged:
		tr.allChangedAt = time.Time{}
	case tr.allChangedAt.IsZero():
		tr.allChangedAt = now
	}
	tr.ObserveHistory(now)
}

// ObserveHistory records that the stored history is still the one known, as of a time. Streams may begin until then at the releases that it says are open; if it
// was not read for so long that it may have said so of another one meanwhile, at all of them.
func (tr *Tracker) ObserveHistory(asOf time.Time) {
	seen := tr.stored.opened
	if asOf.Sub(tr.storedAt) > openTTL {
		seen = tr.stored.releases
	}
	for _, release := range seen {
		tr.releases.stored[release] = asOf
	}
	tr.storedAt = asOf
	tr.coverage.ObserveHistory(asOf)
	// The releases in use may have been learned after the store was asked.
	now := asOf
	if tr.inUseAt.After(now) {
		now = tr.inUseAt
	}
	tr.updateOpenings(now)
}

// updateOpenings records the releases that are in use and known. The first ones of a deployment are open: nobody can have concluded anything before.
func (tr *Tracker) updateOpenings(now time.Time) {
	if !tr.isLoaded {
		return
	}
	if !tr.hasObserved && len(tr.inUse) > 0 {
		tr.hasObserved = true
		if !tr.hasStored {
			tr.openings.openAll(now, tr.inUse)
		}
	}
	if now.Sub(tr.storedAt) <= CoverageSpan {
		tr.openings.openAll(now, slices.DeleteFunc(intersect(tr.stored.opened, tr.inUse), func(release string) bool { return tr.openings.expired[release] }))
	}
	tr.openings.observe(now, tr.inUse, tr.known(now), tr.stored.releases)
}

func intersect(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(element string) bool { return !slices.Contains(b, element) })
}

// known returns the releases at which streams can have begun, as far as is known.
func (tr *Tracker) known(now time.Time) []string { return sorted(tr.releases.current(now)) }

// Coverage returns whether the releases known are all.
func (tr *Tracker) Coverage() *Coverage { return &tr.coverage }

// Learn records releases that another process has in use.
func (tr *Tracker) Learn(now time.Time, releases []string) {
	for _, release := range releases {
		tr.releases.own[release] = now
	}
	tr.updateOpenings(now)
}

// Open records that streams may begin at releases, and reports whether that is new.
func (tr *Tracker) Open(now time.Time, releases []string) bool {
	return tr.openings.openAll(now, releases)
}

// OpenReleases returns the releases at which streams may begin, in ascending order.
func (tr *Tracker) OpenReleases() []string { return slices.Sorted(maps.Keys(tr.openings.open)) }

// IsOpen reports whether streams may begin at a release.
func (tr *Tracker) IsOpen(release string) bool { return tr.openings.isOpen(release) }

// WaitingReleases returns the releases in use at which streams may not begin yet, in ascending order.
func (tr *Tracker) WaitingReleases() []string { return slices.Sorted(maps.Keys(tr.openings.waiting)) }

// IsLoaded reports whether the stored history was ever read.
func (tr *Tracker) IsLoaded() bool { return tr.isLoaded }

// IsStored reports whether the stored history has a release.
func (tr *Tracker) IsStored(release string) bool { return slices.Contains(tr.stored.releases, release) }

// ObserveServers records that the releases in use are those of all servers as of a time, and returns the releases that are open since OpenDelay has passed.
func (tr *Tracker) ObserveServers(asOf time.Time) (opened []string) {
	tr.coverage.ObserveServers(asOf)
	return tr.openings.observeServers(asOf)
}

// ObserveReleases records the releases that are in use. Those that were in use at the call before count as in use in between.
func (tr *Tracker) ObserveReleases(now time.Time, releases []string) {
	tr.releases.dropEnded(now)
	tr.changedHosts.dropEnded(now)
	tr.inUse, tr.inUseAt = releases, now
	tr.Learn(now, releases)
}

// ObserveRoutes records the routes of the configuration that is in force from now on.
func (tr *Tracker) ObserveRoutes(now time.Time, version uint64, routes Routes) {
	if tr.routes != nil {
		for host, digest := range routes {
			if tr.routes[host] != digest {
				tr.changedHosts.own[host] = now
			}
		}
		for host := range tr.routes {
			if _, ok := routes[host]; !ok {
				tr.changedHosts.own[host] = now
			}
		}
	}
	tr.routes, tr.configVersion = routes, version
	if len(tr.passed) >= maxPassed {
		clear(tr.passed)
	}
	tr.passed[routes.Digest()] = true
}

// Wanted returns the history that the store should have, and false if it has it. Before the store was read, nothing is wanted.
func (tr *Tracker) Wanted(now time.Time) (History, bool) {
	if !tr.isLoaded || tr.routes == nil {
		return History{}, false
	}
	version, digest := tr.configVersion, tr.routes.Digest()
	if tr.hasStored && tr.stored.configVersion > version {
		// Another gate already has a later configuration.
		version, digest = tr.stored.configVersion, tr.stored.digest
	}
	wanted := NewHistory(tr.releases.current(now), version, digest, tr.changedHosts.current(now), tr.allChanged(now)).WithOpened(
		append(tr.OpenReleases(), tr.openElsewhere(now)...))
	return wanted, !tr.hasStored || !wanted.equal(tr.stored)
}

// openElsewhere returns the releases that are open by the stored history, unless they were in use here before, or have been open for long: other processes may see
// servers that this one does not.
func (tr *Tracker) openElsewhere(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(tr.stored.opened), func(release string) bool {
		return tr.openings.expired[release] || now.Sub(tr.openedSince[release]) > historyTTL
	})
}

// allChanged reports whether the routes of any host may have changed while no gate was there to see it.
func (tr *Tracker) allChanged(now time.Time) bool {
	if tr.hasStored && tr.stored.configVersion <= tr.configVersion && !tr.passed[tr.stored.digest] && tr.allChangedAt.IsZero() {
		tr.allChangedAt = now
	}
	return !tr.allChangedAt.IsZero() && now.Sub(tr.allChangedAt) <= historyTTL
}

// Uncertain returns those of the given services at which Sole may not return the release of a stream whose first request its caller names.
func (tr *Tracker) Uncertain(now time.Time, services []string) map[string]bool {
	wanted, _ := tr.Wanted(now)
	anyChanged := wanted.allChanged || len(wanted.changedHosts) > 0
	releases := make(map[string]int)
	for _, release := range wanted.releases {
		service, _ := SplitRelease(release)
		releases[service]++
	}
	uncertain := make(map[string]bool)
	for _, service := range services {
		if anyChanged || releases[service] > 1 {
			uncertain[service] = true
		}
	}
	return uncertain
}

// Sole returns the only release at which a stream of a host, at one of the given services, can have begun; ok is false if there are several, if
// the routes of the host have changed lately, so that it may have begun at another service, or if the store has no history.
func (tr *Tracker) Sole(now time.Time, host uint64, services []string) (release string, ok bool) {
	wanted, _ := tr.Wanted(now)
	if !tr.hasStored || tr.routes == nil || wanted.allChanged || slices.Contains(wanted.changedHosts, host) || wanted.digest != tr.routes.Digest() {
		return "", false
	}
	for _, other := range wanted.releases {
		if service, _ := SplitRelease(other); !slices.Contains(services, service) {
			continue
		}
		if release != "" {
			return "", false
		}
		release = other
	}
	return release, release != ""
}
