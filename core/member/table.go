package member

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the ejection of failing servers.
const (
	// ejectionThreshold is the number of consecutive failures that eject a server.
	ejectionThreshold = 2
	// baseEjectionTime is the first ejection time; it doubles with each further failure.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the ejection time, so that a recovered server is tried again soon.
	maxEjectionTime = 10 * time.Second
)

// View is a snapshot of the known servers; it is immutable.
type View struct {
	byService map[string][]*Server
	// serviceByAddress maps each address to its service. Successive views share it until Replace sets the servers.
	serviceByAddress map[string]string
}

// Servers returns the servers of a service, sorted by address. The slice is shared and must not be modified.
func (vw *View) Servers(service string) []*Server { return vw.byService[service] }

// Server returns the server whose agent has the given address.
func (vw *View) Server(address string) (*Server, bool) {
	servers := vw.byService[vw.serviceByAddress[address]]
	index, ok := slices.BinarySearchFunc(servers, address, compareToAddress)
	if !ok {
		return nil, false
	}
	return servers[index], true
}

// All returns all servers, sorted by service and address.
func (vw *View) All() []*Server {
	all := make([]*Server, 0, len(vw.serviceByAddress))
	for _, service := range slices.Sorted(maps.Keys(vw.byService)) {
		all = append(all, vw.byService[service]...)
	}
	return all
}

func compareToAddress(sv *Server, address string) int { return strings.Compare(sv.address, address) }

// Table publishes views. It is safe for concurrent use.
type Table struct {
	// mu serializes writers; readers load the view without a lock.
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewTable returns a table without servers.
func NewTable() *Table {
	tb := &Table{}
	tb.view.Store(&View{byService: map[string][]*Server{}, serviceByAddress: map[string]string{}})
	return tb
}

// View returns the current view.
func (tb *Table) View() *View { return tb.view.Load() }

// Replace sets the servers. A server that was already in the table with the same service keeps its state; of several
// servers with one address, the first counts.
func (tb *Table) Replace(servers []*Server) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	current := tb.view.Load()
	vw := &View{byService: make(map[string][]*Server), serviceByAddress: make(map[string]string, len(servers))}
	for _, sv := range servers {
		if known, ok := current.Server(sv.address); ok && known.service == sv.service {
			sv = known
		}
		if _, ok := vw.serviceByAddress[sv.address]; ok {
			continue
		}
		vw.serviceByAddress[sv.address] = sv.service
		vw.byService[sv.service] = append(vw.byService[sv.service], sv)
	}
	for _, group := range vw.byService {
		slices.SortFunc(group, compareServers)
	}
	tb.view.Store(vw)
}

func compareServers(left, right *Server) int { return strings.Compare(left.address, right.address) }

// AddPending records that this entry sent a server work of the given expected duration.
func (tb *Table) AddPending(address string, work time.Duration) {
	tb.update(address, func(sv *Server) { sv.pendingWork += work })
}

// RecordStatus records the status in a reply and ends an ejection. A status that is not newer than the last one is
// ignored, so that a delayed reply does not make a leaving server usable again.
func (tb *Table) RecordStatus(now time.Time, address string, st Status) {
	tb.update(address, func(sv *Server) {
		sv.consecutiveFailures = 0
		sv.retryAt = 0
		if st.stamp <= sv.status.stamp {
			return
		}
		sv.status = st
		sv.statusReceivedAt = now.UnixNano()
		sv.pendingWork = 0
	})
}

// RecordFailure records that a server did not reply or failed a request. Consecutive failures eject it for a limited
// time.
func (tb *Table) RecordFailure(now time.Time, address string) {
	tb.update(address, func(sv *Server) {
		sv.consecutiveFailures++
		if sv.consecutiveFailures < ejectionThreshold {
			return
		}
		ejectionTime := baseEjectionTime << min(sv.consecutiveFailures-ejectionThreshold, 10)
		sv.retryAt = now.Add(min(ejectionTime, maxEjectionTime)).UnixNano()
	})
}

// update publishes a view in which change is applied to a copy of one server.
func (tb *Table) update(address string, change func(*Server)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	current := tb.view.Load()
	service, ok := current.serviceByAddress[address]
	if !ok {
		return
	}
	servers := slices.Clone(current.byService[service])
	index, _ := slices.BinarySearchFunc(servers, address, compareToAddress)
	updated := *servers[index]
	change(&updated)
	servers[index] = &updated
	vw := &View{byService: maps.Clone(current.byService), serviceByAddress: current.serviceByAddress}
	vw.byService[service] = servers
	tb.view.Store(vw)
}
