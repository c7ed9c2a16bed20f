package fleet

import (
	"slices"
	"strings"
	"time"
)

// reregisterGrace is how long a server whose entry disappeared during or right after an outage of the directory stays in use
// after the outage. Running servers write their entries again within about two seconds.
const reregisterGrace = 2200 * time.Millisecond

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
	// trustedFrom is the time from which a missing entry means that the server has left.
	trustedFrom time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		servers:       make(map[string]*Server),
		missingUntil:  make(map[string]time.Time),
		unlistedUntil: make(map[string]time.Time),
		latestRun:     make(map[string]string),
		superseded:    make(map[string]bool),
	}
}

// RecordOutage records that a request to the directory failed at now. It prolongs the grace period of missing servers.
func (rg *Registry) RecordOutage(now time.Time) {
	rg.trustedFrom = now.Add(reregisterGrace)
	for id := range rg.missingUntil {
		rg.missingUntil[id] = rg.trustedFrom
	}
}

// Put adds or replaces a server according to its current directory entry. A later run under the same id is not superseded.
func (rg *Registry) Put(sv *Server) {
	if old, ok := rg.servers[sv.id]; ok && sv.startUnixMilli > old.startUnixMilli {
		delete(rg.superseded, sv.id)
	}
	rg.servers[sv.id] = sv
	delete(rg.missingUntil, sv.id)
	delete(rg.unlistedUntil, sv.id)
}

// RecordStart records the id that the tender of a server reported for its current run. A run that is not listed yet is added only
// if an earlier run that is not draining is still tracked at the address, so that a server that has left is not restored. Earlier
// runs at the address get no more calls. RecordStart reports whether the view has changed.
func (rg *Registry) RecordStart(now time.Time, id, address string, weightVersions map[string]uint64) bool {
	predecessor, changed := rg.supersede(id, address)
	if _, ok := rg.servers[id]; ok {
		if _, ok := rg.unlistedUntil[id]; ok {
			rg.unlistedUntil[id] = now.Add(unlistedTTL)
		}
		return changed
	}
	if predecessor == nil || predecessor.draining {
		return changed
	}
	rg.servers[id] = NewServer(id, address, predecessor.zone, predecessor.service, predecessor.slots, false, 0, weightVersions)
	rg.unlistedUntil[id] = now.Add(unlistedTTL)
	return true
}

// supersede records the id of the current run at an address and marks the other runs there as superseded. It returns one of them,
// or nil, and reports whether the superseded runs have changed.
func (rg *Registry) supersede(id, address string) (predecessor *Server, changed bool) {
	_, listed := rg.servers[id]
	if rg.latestRun[address] == id && listed {
		return nil, false
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
		predecessor = sv
	}
	return predecessor, changed
}

// Remove records that the entry of a server has disappeared. During and right after an outage, the server stays in use for a grace
// period unless it is draining; otherwise Remove deletes it. Servers that are not listed yet are kept.
func (rg *Registry) Remove(now time.Time, id string) {
	sv, ok := rg.servers[id]
	if _, unlisted := rg.unlistedUntil[id]; !ok || unlisted {
		return
	}
	if sv.draining || !now.Before(rg.trustedFrom) {
		rg.deleteServer(id)
		return
	}
	if _, ok := rg.missingUntil[id]; !ok {
		rg.missingUntil[id] = rg.trustedFrom
	}
}

// Retain calls Remove for the servers that are not among the ids of a full read of the directory.
func (rg *Registry) Retain(now time.Time, ids map[string]bool) {
	for id := range rg.servers {
		if !ids[id] {
			rg.Remove(now, id)
		}
	}
}

// Expire deletes the missing and unlisted servers whose deadline has passed, and reports whether there were any.
func (rg *Registry) Expire(now time.Time) bool {
	deleted := false
	for id, deadline := range rg.missingUntil {
		if !now.Before(deadline) {
			rg.deleteServer(id)
			deleted = true
		}
	}
	for id, deadline := range rg.unlistedUntil {
		if !now.Before(deadline) {
			rg.deleteServer(id)
			deleted = true
		}
	}
	return deleted
}

func (rg *Registry) deleteServer(id string) {
	if sv, ok := rg.servers[id]; ok && rg.latestRun[sv.address] == id {
		delete(rg.latestRun, sv.address)
	}
	delete(rg.servers, id)
	delete(rg.missingUntil, id)
	delete(rg.unlistedUntil, id)
	delete(rg.superseded, id)
}

// View returns a snapshot of the servers without superseded runs.
func (rg *Registry) View() *View {
	vw := &View{byService: make(map[string][]*Server), byID: make(map[string]*Server, len(rg.servers)),
		byHash: make(map[uint64]*Server, len(rg.servers))}
	for id, sv := range rg.servers {
		if rg.superseded[id] {
			continue
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
