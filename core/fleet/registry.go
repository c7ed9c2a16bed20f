package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ReregisterGrace is how long a server whose entry disappeared during or right after an outage of the directory stays in use
// after the outage. Running servers write their entries again within about two seconds.
const ReregisterGrace = 2200 * time.Millisecond

// departureTTL is how long a server that has left is remembered; a restored directory may be as old.
const departureTTL = 2 * time.Minute

// outdatedTTL is how long the entry of a server that has left may stay in a restored directory. Directories delete an entry that is not
// written again sooner; one that stays was written again after all.
const outdatedTTL = 10 * time.Second

// unlistedTTL is how long a server that the directory does not list yet stays in use after its tender's last report.
const unlistedTTL = 5 * time.Second

// View is a snapshot of the servers; it is immutable.
type View struct {
	byService map[string][]*Server
	byID      map[string]*Server
	byHash    map[uint64]*Server
}

// Servers returns the servers of a service sorted by id, including draining ones; the slice must not be changed.
func (vw *View) Servers(service string) []*Server { return vw.byService[service] }

// Server returns the server with an id, or nil.
func (vw *View) Server(id string) *Server { return vw.byID[id] }

// ByHash returns the server whose id has the given hash, or nil.
func (vw *View) ByHash(hash uint64) *Server { return vw.byHash[hash] }

// ByAddress returns the server at an address, or nil; of several, it returns the one that started last.
func (vw *View) ByAddress(address string) *Server {
	var latest *Server
	for _, sv := range vw.byID {
		if sv.address == address && (latest == nil || sv.startUnixMilli > latest.startUnixMilli) {
			latest = sv
		}
	}
	return latest
}

// Registry tracks the servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	// missingUntil holds the servers whose entries disappeared during or right after an outage of the directory, with the time at
	// which they are deleted.
	missingUntil map[string]time.Time
	// unlistedUntil holds the servers that the directory does not list yet, with the time at which they are deleted.
	unlistedUntil map[string]time.Time
	// latestRun maps an address to the id of the last run that the tender of the server reported; superseded holds the ids of
	// earlier runs that are still in servers.
	latestRun  map[string]string
	superseded map[string]bool
	// silent holds the ids of the servers that did not respond to their tenders. Such a server may have restarted under its id with other
	// software, so its software version is unknown until its tender reports its start time again.
	silent map[string]bool
	// trustedFrom is the time from which a missing entry means that the server has left.
	trustedFrom time.Time
	// departed holds the servers that were deleted within the last departureTTL.
	departed map[string]departedServer
	// outdated holds entries that a restored directory still has of servers that have left or are draining, until they are written
	// again or outdatedTTL has passed.
	outdated map[string]outdatedEntry
}

// Departure identifies a run of a server that has left or is draining, and the last directory entry that it wrote.
type Departure struct {
	id             string
	startUnixMilli int64
	sequence       uint64
}

// NewDeparture returns a departure: the id of the run, its start time, and the sequence number of its last entry.
func NewDeparture(id string, startUnixMilli int64, sequence uint64) Departure {
	return Departure{id: id, startUnixMilli: startUnixMilli, sequence: sequence}
}

func (sv *Server) departure() Departure { return NewDeparture(sv.id, sv.startUnixMilli, sv.sequence) }

// ID returns the id of the run.
func (dp Departure) ID() string { return dp.id }

// StartUnixMilli returns the start time of the run in milliseconds since the Unix epoch, or zero if unknown.
func (dp Departure) StartUnixMilli() int64 { return dp.startUnixMilli }

// Sequence returns the sequence number of the last entry.
func (dp Departure) Sequence() uint64 { return dp.sequence }

// covers reports whether a directory entry is from before the departure: it is of the same run, or of an earlier one under the id.
func (dp Departure) covers(sv *Server) bool {
	if dp.id != sv.id {
		return false
	}
	isEarlier := sv.startUnixMilli != 0 && sv.startUnixMilli < dp.startUnixMilli
	return isEarlier || dp.startUnixMilli == sv.startUnixMilli && sv.sequence <= dp.sequence
}

// isBefore reports whether the departure is that of an earlier run than another one under the id, or names an earlier entry of the same run.
func (dp Departure) isBefore(other Departure) bool {
	return cmp.Or(cmp.Compare(dp.startUnixMilli, other.startUnixMilli), cmp.Compare(dp.sequence, other.sequence)) < 0
}

// departedServer is a departure with the time at which it was noticed.
type departedServer struct {
	departure Departure
	at        time.Time
}

type outdatedEntry struct {
	server  *Server
	expires time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		servers:       make(map[string]*Server),
		missingUntil:  make(map[string]time.Time),
		unlistedUntil: make(map[string]time.Time),
		latestRun:     make(map[string]string),
		superseded:    make(map[string]bool),
		silent:        make(map[string]bool),
		departed:      make(map[string]departedServer),
		outdated:      make(map[string]outdatedEntry),
	}
}

// RecordOutage records that a request to the directory failed at now. It prolongs the grace period of missing servers.
func (rg *Registry) RecordOutage(now time.Time) {
	rg.trustedFrom = now.Add(ReregisterGrace)
	for id := range rg.missingUntil {
		rg.missingUntil[id] = rg.trustedFrom
	}
}

// PutRestored is Put for an entry of a directory that was just restored from a backup. The entry may be from before the server
// began to drain or left; it is ignored unless the server has written it since.
func (rg *Registry) PutRestored(now time.Time, sv *Server) {
	last, ok := rg.departed[sv.id]
	departure := last.departure
	if listed := rg.servers[sv.id]; listed != nil {
		departure, ok = listed.departure(), listed.draining
	}
	if ok && departure.covers(sv) {
		rg.outdated[sv.id] = outdatedEntry{server: sv, expires: now.Add(outdatedTTL)}
		return
	}
	rg.Put(sv)
}

// Departures returns the servers that have left lately or are draining.
func (rg *Registry) Departures() []Departure {
	var departures []Departure
	for _, dp := range rg.departed {
		departures = append(departures, dp.departure)
	}
	for _, sv := range rg.servers {
		if sv.draining {
			departures = append(departures, sv.departure())
		}
	}
	return departures
}

// AddDepartures records servers that a peer has seen leave, and reports whether one of them was in use: its entry comes from a restored
// directory, or is not yet written again.
func (rg *Registry) AddDepartures(now time.Time, departures []Departure) bool {
	changed := false
	for _, dp := range departures {
		if sv := rg.servers[dp.id]; sv != nil {
			if sv.draining || !dp.covers(sv) {
				continue
			}
			if rg.isListed(dp.id) {
				rg.outdated[dp.id] = outdatedEntry{server: sv, expires: now.Add(outdatedTTL)}
			}
			rg.deleteServer(now, dp.id)
			changed = true
		}
		if known, ok := rg.departed[dp.id]; !ok || !dp.isBefore(known.departure) {
			rg.departed[dp.id] = departedServer{departure: dp, at: now}
		}
	}
	return changed
}

// isListed reports whether the directory has an entry of a server in use, as far as is known.
func (rg *Registry) isListed(id string) bool {
	_, missing := rg.missingUntil[id]
	_, unlisted := rg.unlistedUntil[id]
	return !missing && !unlisted
}

// isOutdated reports whether an entry is the one that PutRestored has ignored.
func (rg *Registry) isOutdated(sv *Server) bool {
	oe, ok := rg.outdated[sv.id]
	return ok && oe.server.startUnixMilli == sv.startUnixMilli && oe.server.sequence == sv.sequence && oe.server.draining == sv.draining
}

// Put adds or replaces a server according to its current directory entry. A later run under the same id is not superseded, and the entry of
// an earlier run does not replace a later one that its tender reported.
func (rg *Registry) Put(sv *Server) {
	if rg.isOutdated(sv) {
		return
	}
	if known, ok := rg.servers[sv.id]; ok && sv.startUnixMilli != 0 && sv.startUnixMilli < known.startUnixMilli {
		return
	}
	delete(rg.outdated, sv.id)
	delete(rg.departed, sv.id)
	if old, ok := rg.servers[sv.id]; ok && sv.startUnixMilli > old.startUnixMilli {
		delete(rg.superseded, sv.id)
		delete(rg.silent, sv.id)
	}
	rg.servers[sv.id] = sv
	delete(rg.missingUntil, sv.id)
	delete(rg.unlistedUntil, sv.id)
}

// Start is a run of a server as its tender reports it.
type Start struct {
	id             string
	address        string
	startUnixMilli int64
	weightVersions map[string]uint64
	// previousID is the id of the previous run if this one is certain to belong to its service.
	previousID string
}

// NewStart returns the run with an id at an address. startUnixMilli is its start time in milliseconds since the Unix epoch, or zero if unknown.
// previousID is the id of the previous run there if the address cannot have gone to another service in between, and "" otherwise. The map
// must not be changed later.
func NewStart(id, address string, startUnixMilli int64, weightVersions map[string]uint64, previousID string) Start {
	return Start{id: id, address: address, startUnixMilli: startUnixMilli, weightVersions: weightVersions, previousID: previousID}
}

// RecordStart records the run that the tender of a server reported. A run that is not listed yet is added only if it is certain to belong to
// the service of a previous run that is still tracked and not draining: so a server that has left is not restored, and an address that went
// to another service is not used before the directory lists its new server. Earlier runs at the address get no more calls.
// A listed server that has started again under its id has no known software version until its entry is written again. RecordStart reports
// whether the view has changed.
func (rg *Registry) RecordStart(now time.Time, start Start) bool {
	if rg.IsLate(start) {
		return false
	}
	changed := rg.supersede(start.id, start.address)
	if sv, ok := rg.servers[start.id]; ok {
		if start.startUnixMilli < sv.startUnixMilli {
			// A report of a server that does not state its start.
			return changed
		}
		if _, ok := rg.unlistedUntil[start.id]; ok {
			rg.unlistedUntil[start.id] = now.Add(unlistedTTL)
		}
		if rg.silent[start.id] {
			delete(rg.silent, start.id)
			changed = true
		}
		if sv.startUnixMilli != 0 && start.startUnixMilli > sv.startUnixMilli {
			rg.servers[start.id] = NewServer(start.id, start.address, sv.zone, sv.service, sv.slots, false, start.startUnixMilli, start.weightVersions)
			changed = true
		}
		return changed
	}
	previous := rg.servers[start.previousID]
	if previous == nil || previous.draining || previous.address != start.address {
		return changed
	}
	rg.servers[start.id] = NewServer(start.id, start.address, previous.zone, previous.service, previous.slots, false,
		start.startUnixMilli, start.weightVersions)
	rg.unlistedUntil[start.id] = now.Add(unlistedTTL)
	return true
}

// IsLate reports whether a later run is known under the id of a run, or at its address: messages of tenders may overtake each other.
func (rg *Registry) IsLate(start Start) bool {
	if start.startUnixMilli == 0 {
		return false
	}
	if sv := rg.servers[start.id]; sv != nil && start.startUnixMilli < sv.startUnixMilli {
		return true
	}
	latest := rg.servers[rg.latestRun[start.address]]
	return latest != nil && start.startUnixMilli < latest.startUnixMilli
}

// RecordSilence records that a server did not respond to its tender, and reports whether the view has changed.
func (rg *Registry) RecordSilence(id string) bool {
	if _, ok := rg.servers[id]; !ok || rg.silent[id] {
		return false
	}
	rg.silent[id] = true
	return true
}

// supersede records the id of the current run at an address and marks the other runs there as superseded. It reports whether the superseded
// runs have changed.
func (rg *Registry) supersede(id, address string) (changed bool) {
	_, listed := rg.servers[id]
	if rg.latestRun[address] == id && listed {
		return false
	}
	rg.latestRun[address] = id
	changed = rg.superseded[id]
	delete(rg.superseded, id)
	for _, sv := range rg.servers {
		if sv.address != address || sv.id == id {
			continue
		}
		changed = changed || !rg.superseded[sv.id]
		rg.superseded[sv.id] = true
	}
	return changed
}

// Remove records that the entry of a server has disappeared. During and right after an outage, the server stays in use for a grace
// period unless it is draining; otherwise Remove deletes it. Servers that are not listed yet are kept.
func (rg *Registry) Remove(now time.Time, id string) {
	delete(rg.outdated, id)
	sv, ok := rg.servers[id]
	if _, unlisted := rg.unlistedUntil[id]; !ok || unlisted {
		return
	}
	if sv.draining || !now.Before(rg.trustedFrom) {
		rg.deleteServer(now, id)
		return
	}
	if _, ok := rg.missingUntil[id]; !ok {
		rg.missingUntil[id] = rg.trustedFrom
	}
}

// Retain calls Remove for the servers that are not among the ids of a full read of the directory, and forgets outdated entries that are not.
func (rg *Registry) Retain(now time.Time, ids map[string]bool) {
	maps.DeleteFunc(rg.outdated, func(id string, _ outdatedEntry) bool { return !ids[id] })
	for id := range rg.servers {
		if !ids[id] {
			rg.Remove(now, id)
		}
	}
}

// Expire deletes the missing and unlisted servers whose deadline has passed, takes outdated entries that the directory has kept after
// all, and reports whether there were any.
func (rg *Registry) Expire(now time.Time) bool {
	changed := false
	for id, deadline := range rg.missingUntil {
		if !now.Before(deadline) {
			rg.deleteServer(now, id)
			changed = true
		}
	}
	for id, deadline := range rg.unlistedUntil {
		if !now.Before(deadline) {
			rg.deleteServer(now, id)
			changed = true
		}
	}
	for id, oe := range rg.outdated {
		if !now.Before(oe.expires) {
			delete(rg.outdated, id)
			rg.Put(oe.server)
			changed = true
		}
	}
	for id, dp := range rg.departed {
		if now.Sub(dp.at) > departureTTL {
			delete(rg.departed, id)
		}
	}
	return changed
}

func (rg *Registry) deleteServer(now time.Time, id string) {
	if sv, ok := rg.servers[id]; ok {
		rg.departed[id] = departedServer{departure: sv.departure(), at: now}
	}
	if sv, ok := rg.servers[id]; ok && rg.latestRun[sv.address] == id {
		delete(rg.latestRun, sv.address)
	}
	delete(rg.servers, id)
	delete(rg.missingUntil, id)
	delete(rg.unlistedUntil, id)
	delete(rg.superseded, id)
	delete(rg.silent, id)
}

// View returns a snapshot of the servers without superseded runs.
func (rg *Registry) View() *View {
	vw := &View{byService: make(map[string][]*Server), byID: make(map[string]*Server, len(rg.servers)),
		byHash: make(map[uint64]*Server, len(rg.servers))}
	for id, sv := range rg.servers {
		if rg.superseded[id] {
			continue
		}
		if rg.silent[id] {
			sv = sv.WithSoftwareVersion("")
		}
		vw.byID[id] = sv
		vw.byHash[sv.hash] = sv
		vw.byService[sv.service] = append(vw.byService[sv.service], sv)
	}
	for _, servers := range vw.byService {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.id, b.id) })
	}
	return vw
}
