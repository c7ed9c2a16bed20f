package gate

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"shallotcleat/io/feed"
)

// Node is the entry of a process in the nodes table.
type Node struct {
	Role string `json:"role"`
	// Address is the peer address of a gate.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Capacity is the processor time of the VM in cores, or zero if unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// Roles of rows of the nodes table; rows of other roles are not used.
const (
	// RoleGate is the role of gates.
	RoleGate = "gate"
	// roleCrashRule is the role of rows that hold a rule about crashes.
	roleCrashRule = "crash-rule"
	// roleStreamReleases is the role of the row that states where streams can have begun.
	roleStreamReleases = "stream-releases"
)

// defaultCapacity is the assumed capacity of a gate whose row has none, in cores.
const defaultCapacity = 0.1

// GateList holds the gates in a copy of the nodes table. Rows are decoded once per change.
type GateList struct {
	// mu is held while gates is replaced.
	mu    sync.Mutex
	gates atomic.Pointer[[]Node]
}

// NewGateList returns the list of the gates in a copy, which must be changed only by Replace.
func NewGateList(cp *feed.Copy) *GateList {
	gl := &GateList{}
	gl.gates.Store(&[]Node{})
	cp.Subscribe(gl.update)
	return gl
}

// Gates returns the gates; the slice must not be changed.
func (gl *GateList) Gates() []Node { return *gl.gates.Load() }

// Ranked returns the addresses of the gates by weighted rendezvous hashing for a key: each gate is the first one for a share of the keys
// that is proportional to its capacity. All processes with the same rows get the same order.
func (gl *GateList) Ranked(key string) []string {
	type ranked struct {
		address string
		score   float64
	}
	var list []ranked
	for _, nd := range gl.Gates() {
		capacity := nd.Capacity
		if capacity <= 0 {
			capacity = defaultCapacity
		}
		// The hash becomes a number between 0 and 1, both excluded.
		uniform := (float64(xxhash.Sum64String(nd.Address+"/"+key)>>11) + 0.5) / (1 << 53)
		list = append(list, ranked{address: nd.Address, score: -capacity / math.Log(uniform)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address)) })
	addresses := make([]string, len(list))
	for i, rk := range list {
		addresses[i] = rk.address
	}
	return addresses
}

// Relays returns one gate of each zone but the given one, the first usable one in the order of Ranked.
func (gl *GateList) Relays(zone, key string, usable func(address string) bool) []string {
	zones := make(map[string]string)
	for _, nd := range gl.Gates() {
		zones[nd.Address] = nd.Zone
	}
	covered := map[string]bool{zone: true}
	var relays []string
	for _, address := range gl.Ranked(key) {
		if other := zones[address]; !covered[other] && usable(address) {
			covered[other] = true
			relays = append(relays, address)
		}
	}
	return relays
}

// add adds a gate that the table does not list yet, until the next change of the table.
func (gl *GateList) add(nd Node) {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	gates := gl.Gates()
	if slices.ContainsFunc(gates, func(other Node) bool { return other.Address == nd.Address }) {
		return
	}
	gates = append(slices.Clone(gates), nd)
	gl.gates.Store(&gates)
}

// update replaces the list by the gates in a change, which holds all rows; rows that cannot be decoded are skipped.
func (gl *GateList) update(ch feed.Change) {
	gates := make([]Node, 0, len(ch.Rows))
	for _, rw := range ch.Rows {
		var nd Node
		if err := json.Unmarshal(rw.Value(), &nd); err == nil && nd.Address != "" && nd.Role == RoleGate {
			gates = append(gates, nd)
		}
	}
	gl.mu.Lock()
	defer gl.mu.Unlock()
	gl.gates.Store(&gates)
}
