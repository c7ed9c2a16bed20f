package member

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of ejection.
const (
	// faultLimit is how many faults in a row eject a server.
	faultLimit = 2
	// ejectBase is the first pause of an ejected server; it doubles with each further fault.
	ejectBase = time.Second
	// ejectMax bounds the pause, so that a mended server is tried again soon.
	ejectMax = 10 * time.Second
)

// View is the set of known servers at one moment; it is immutable.
type View struct {
	byService map[string][]*Server
	// services tells the service of each address; it changes only when servers come or go.
	services map[string]string
}

// Servers returns the servers of a service, sorted by address; the slice is shared and must not be changed.
func (vw *View) Servers(service string) []*Server { return vw.byService[service] }

// Server returns the server whose agent has an address.
func (vw *View) Server(address string) (*Server, bool) {
	group := vw.byService[vw.services[address]]
	at, ok := slices.BinarySearchFunc(group, address, compareAddress)
	if !ok {
		return nil, false
	}
	return group[at], true
}

// All returns all servers, sorted by service and address.
func (vw *View) All() []*Server {
	all := make([]*Server, 0, len(vw.services))
	for _, service := range slices.Sorted(maps.Keys(vw.byService)) {
		all = append(all, vw.byService[service]...)
	}
	return all
}

func compareAddress(sv *Server, address string) int { return strings.Compare(sv.address, address) }

// Table publishes views; its methods may be called from any goroutine.
type Table struct {
	// mu serialises the writers; readers load the view.
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewTable returns a table that knows no server.
func NewTable() *Table {
	tb := &Table{}
	tb.view.Store(&View{byService: map[string][]*Server{}, services: map[string]string{}})
	return tb
}

// View returns the servers as they are known now.
func (tb *Table) View() *View { return tb.view.Load() }

// Replace makes the given servers the known ones; what was known of those that stay is kept.
func (tb *Table) Replace(servers []*Server) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	old := tb.view.Load()
	vw := &View{byService: make(map[string][]*Server), services: make(map[string]string, len(servers))}
	for _, sv := range servers {
		if known, ok := old.Server(sv.address); ok && known.service == sv.service {
			sv = known
		}
		if _, ok := vw.services[sv.address]; ok {
			continue
		}
		vw.services[sv.address] = sv.service
		vw.byService[sv.service] = append(vw.byService[sv.service], sv)
	}
	for _, group := range vw.byService {
		slices.SortFunc(group, byAddress)
	}
	tb.view.Store(vw)
}

func byAddress(left, right *Server) int { return strings.Compare(left.address, right.address) }

// Sent notes that this entry gave a server work for a time.
func (tb *Table) AddPending(address string, work time.Duration) {
	tb.update(address, func(sv *Server) { sv.pending += work })
}

// Heard notes the status in a reply. A status that an agent sent before the last one is passed over, so that a late
// reply does not bring a leaving server back.
func (tb *Table) RecordStatus(now time.Time, address string, st Status) {
	tb.update(address, func(sv *Server) {
		sv.faults = 0
		sv.retryAt = 0
		if st.stamp <= sv.status.stamp {
			return
		}
		sv.status = st
		sv.seen = now.UnixNano()
		sv.pending = 0
	})
}

// Failed notes that a server did not answer, or failed a request. A run of faults ejects it for a while.
func (tb *Table) RecordFailure(now time.Time, address string) {
	tb.update(address, func(sv *Server) {
		sv.faults++
		if sv.faults < faultLimit {
			return
		}
		pause := ejectBase << min(sv.faults-faultLimit, 10)
		sv.retryAt = now.Add(min(pause, ejectMax)).UnixNano()
	})
}

// update publishes a view in which one server is changed.
func (tb *Table) update(address string, change func(*Server)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	old := tb.view.Load()
	service, ok := old.services[address]
	if !ok {
		return
	}
	group := slices.Clone(old.byService[service])
	at, _ := slices.BinarySearchFunc(group, address, compareAddress)
	next := *group[at]
	change(&next)
	group[at] = &next
	vw := &View{byService: maps.Clone(old.byService), services: old.services}
	vw.byService[service] = group
	tb.view.Store(vw)
}
