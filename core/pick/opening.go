package pick

import (
	"slices"
	"time"

	"shallotcleat/core/fleet"
)

// Openings says where streams that callers may take up may begin. It is immutable.
type Openings struct {
	versions    map[string][]string
	closedUntil map[string]time.Time
	known       bool
}

// NewOpenings returns the software versions that are open, by service. Services that versions lacks have no restriction. A service without a server of an open
// version has none either, from the time in closedUntil on. The maps must not be changed later.
func NewOpenings(versions map[string][]string, closedUntil map[string]time.Time) Openings {
	return Openings{versions: versions, closedUntil: closedUntil, known: true}
}

// SetOpenings sets where streams that callers may take up may begin. The zero Openings are unknown: then none begins at a service with several versions.
func (pk *Picker) SetOpenings(op Openings) {
	pk.mu.Lock()
	defer pk.mu.Unlock()
	pk.openings = &op
}

// obstacles returns a function that returns why a call must not be sent to one of the servers of its service, or "". The caller holds mu.
func (pk *Picker) obstacles(now time.Time, cl Call, servers []*fleet.Server, excluded map[string]bool) func(sv *fleet.Server) Obstacle {
	isClosed := pk.closedServers(now, cl, servers)
	return func(sv *fleet.Server) Obstacle {
		if isClosed(sv) {
			return NotOpen
		}
		return pk.obstacle(now, cl, sv, excluded)
	}
}

// closedServers returns a function that reports whether a stream must not begin at a server, since not all processes may know its software version yet. Without a
// server of an open version streams begin at the others: a process that lacks these can't prove the runs of the servers that it knows. The caller holds mu.
func (pk *Picker) closedServers(now time.Time, cl Call, servers []*fleet.Server) func(sv *fleet.Server) bool {
	none := func(*fleet.Server) bool { return false }
	if !cl.resumable || cl.pinned || pk.openings == nil {
		return none
	}
	if !pk.openings.known {
		several := slices.ContainsFunc(servers, func(sv *fleet.Server) bool { return pk.versionOf(sv) != pk.versionOf(servers[0]) })
		return func(*fleet.Server) bool { return several }
	}
	open, isRestricted := pk.openings.versions[cl.service]
	if !isRestricted {
		return none
	}
	isOpen := func(sv *fleet.Server) bool { return slices.Contains(open, pk.versionOf(sv)) }
	if !slices.ContainsFunc(servers, func(sv *fleet.Server) bool { return isOpen(sv) && !pk.state(sv.ID()).replaced }) &&
		!now.Before(pk.openings.closedUntil[cl.service]) {
		return none
	}
	return func(sv *fleet.Server) bool { return pk.versionOf(sv) != "" && !isOpen(sv) }
}

// versionOf returns the software version of a server, or the last one that is known of it. The caller holds mu.
func (pk *Picker) versionOf(sv *fleet.Server) string {
	if version := sv.SoftwareVersion(); version != "" {
		return version
	}
	return pk.lastVersions[sv.ID()]
}

// rememberVersions updates lastVersions by the view. The caller holds mu.
func (pk *Picker) rememberVersions() {
	if pk.openings == nil {
		return
	}
	last := make(map[string]string)
	for service := range pk.openings.versions {
		for _, sv := range pk.view.Servers(service) {
			last[sv.ID()] = pk.versionOf(sv)
		}
	}
	pk.lastVersions = last
}
