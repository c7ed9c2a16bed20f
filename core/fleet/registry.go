package fleet

import (
	"slices"
	"strings"
	"time"
)

// returnGrace is how long an entry that vanished during an outage of the directory is believed after its end. Servers that
// live write their entries anew within about two seconds.
const returnGrace = 2200 * time.Millisecond

// foundLife is how long a server that is not listed yet is believed without news of it.
const foundLife = 5 * time.Second

// View is the set of servers at one moment; it is immutable.
type View struct {
	byService map[string][]*Server
	byID      map[string]*Server
	byHash    map[uint64]*Server
}

// Servers returns the servers of a service sorted by id, draining ones too; the slice must not be changed.
func (vw *View) Servers(service string) []*Server { return vw.byService[service] }

// Server returns the server with an id, or nil.
func (vw *View) Server(id string) *Server { return vw.byID[id] }

// ByHash returns the server whose id has a hash, or nil.
func (vw *View) ByHash(hash uint64) *Server { return vw.byHash[hash] }

// At returns the server at an address, or nil; of two it is the one that was born last.
func (vw *View) ByAddress(address string) *Server {
	var found *Server
	for _, sv := range vw.byID {
		if sv.address == address && (found == nil || sv.born > found.born) {
			found = sv
		}
	}
	return found
}

// List keeps the servers; one goroutine owns it.
type Registry struct {
	known map[string]*Server
	// lapsed holds the entries that vanished while the directory could not be trusted, with the time at which they are dropped.
	lapsed map[string]time.Time
	// found holds the servers that the directory does not list yet, with the time until which they are believed.
	found map[string]time.Time
	// starts has the id of the last start at an address that the process beside the server told, replaced the ids of starts before it
	// that the directory still lists.
	starts   map[string]string
	replaced map[string]bool
	// trusted is the time from which on a vanished entry means that the server has left.
	trusted time.Time
}

// NewList returns an empty list.
func NewRegistry() *Registry {
	return &Registry{
		known:    make(map[string]*Server),
		lapsed:   make(map[string]time.Time),
		found:    make(map[string]time.Time),
		starts:   make(map[string]string),
		replaced: make(map[string]bool),
	}
}

// Outage notes that the directory did not answer at a time, or refused to.
func (ls *Registry) RecordOutage(now time.Time) {
	ls.trusted = now.Add(returnGrace)
	for id := range ls.lapsed {
		ls.lapsed[id] = ls.trusted
	}
}

// Put takes the present entry of a server.
func (ls *Registry) Put(sv *Server) {
	if old, ok := ls.known[sv.id]; ok && sv.born > old.born {
		delete(ls.replaced, sv.id)
	}
	ls.known[sv.id] = sv
	delete(ls.lapsed, sv.id)
	delete(ls.found, sv.id)
}

// Found takes the id that the process beside a server has reported. A start that is not listed yet is taken only if the one before
// is still listed at the address: a server that has left is not brought back. Starts before it get no calls any more. Found reports
// whether anything has changed.
func (ls *Registry) RecordStart(now time.Time, id, address string, weights map[string]uint64) bool {
	before, changed := ls.replace(id, address)
	if _, ok := ls.known[id]; ok {
		if _, ok := ls.found[id]; ok {
			ls.found[id] = now.Add(foundLife)
		}
		return changed
	}
	if before == nil || before.draining {
		return changed
	}
	ls.known[id] = NewServer(id, address, before.zone, before.service, before.slots, false, 0, weights)
	ls.found[id] = now.Add(foundLife)
	return true
}

// replace notes that a server at an address has an id now, and returns one that it had before, if that is listed.
func (ls *Registry) replace(id, address string) (before *Server, changed bool) {
	_, listed := ls.known[id]
	if ls.starts[address] == id && listed {
		return nil, false
	}
	ls.starts[address] = id
	changed = ls.replaced[id]
	delete(ls.replaced, id)
	for _, sv := range ls.known {
		if sv.address != address || sv.id == id {
			continue
		}
		changed = changed || !ls.replaced[sv.id]
		ls.replaced[sv.id] = true
		before = sv
	}
	return before, changed
}

// Drop takes note that the entry of a server has vanished.
func (ls *Registry) Remove(now time.Time, id string) {
	sv, ok := ls.known[id]
	if _, unlisted := ls.found[id]; !ok || unlisted {
		return
	}
	if sv.draining || !now.Before(ls.trusted) {
		ls.forget(id)
		return
	}
	if _, ok := ls.lapsed[id]; !ok {
		ls.lapsed[id] = ls.trusted
	}
}

// Keep drops the servers that are not among the ids of a whole reading of the directory.
func (ls *Registry) Retain(now time.Time, ids map[string]bool) {
	for id := range ls.known {
		if !ids[id] {
			ls.Remove(now, id)
		}
	}
}

// Expire drops the vanished servers whose grace has passed, and reports whether there were any.
func (ls *Registry) Expire(now time.Time) bool {
	dropped := false
	for id, until := range ls.lapsed {
		if !now.Before(until) {
			ls.forget(id)
			dropped = true
		}
	}
	for id, until := range ls.found {
		if !now.Before(until) {
			ls.forget(id)
			dropped = true
		}
	}
	return dropped
}

func (ls *Registry) forget(id string) {
	if sv, ok := ls.known[id]; ok && ls.starts[sv.address] == id {
		delete(ls.starts, sv.address)
	}
	delete(ls.known, id)
	delete(ls.lapsed, id)
	delete(ls.found, id)
	delete(ls.replaced, id)
}

// View returns the servers that are believed to be there.
func (ls *Registry) View() *View {
	vw := &View{byService: make(map[string][]*Server), byID: make(map[string]*Server, len(ls.known)), byHash: make(map[uint64]*Server, len(ls.known))}
	for id, sv := range ls.known {
		if ls.replaced[id] {
			continue
		}
		vw.byID[id] = sv
		vw.byHash[sv.hash] = sv
		vw.byService[sv.service] = append(vw.byService[sv.service], sv)
	}
	for _, servers := range vw.byService {
		slices.SortFunc(servers, func(one, other *Server) int { return strings.Compare(one.id, other.id) })
	}
	return vw
}
