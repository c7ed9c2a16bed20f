package gate

import (
	"encoding/json"
	"sync/atomic"

	"shallotcleat/io/feed"
)

// Node is the entry of a process in the nodes table.
type Node struct {
	// Role is RoleGate or RoleTender.
	Role string `json:"role"`
	// Address is the peer address of a gate, or the address of a tender's engine.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is the service of a tender's engine.
	Service string `json:"service,omitempty"`
}

// Roles of processes.
const (
	RoleGate   = "gate"
	RoleTender = "tender"
)

// GateList holds the gates in a copy of the nodes table. Rows are decoded once per change.
type GateList struct {
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

// update replaces the list by the gates in a change, which holds all rows; rows that cannot be decoded are skipped.
func (gl *GateList) update(ch feed.Change) {
	gates := make([]Node, 0, len(ch.Rows))
	for _, rw := range ch.Rows {
		var nd Node
		if err := json.Unmarshal(rw.Value(), &nd); err == nil && nd.Address != "" && nd.Role == RoleGate {
			gates = append(gates, nd)
		}
	}
	gl.gates.Store(&gates)
}
