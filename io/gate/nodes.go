package gate

import (
	"encoding/json"
	"sync/atomic"

	"shallotcleat/io/feed"
)

// Node is the entry of one of the system's processes in the nodes' table.
type Node struct {
	// Role is RoleGate or RoleTender.
	Role string `json:"role"`
	// Address is the peer address of a gate, or that of a tender's engine.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is that of a tender's engine.
	Service string `json:"service,omitempty"`
}

// The roles of processes.
const (
	RoleGate   = "gate"
	RoleTender = "tender"
)

// Listed keeps the gates that a copy of the nodes' table names; they are decoded once for each change.
type GateList struct {
	gates atomic.Pointer[[]Node]
}

// NewListed returns the gates of a copy. The copy must be changed as a whole only.
func NewGateList(cp *feed.Copy) *GateList {
	gl := &GateList{}
	gl.gates.Store(&[]Node{})
	cp.Listen(gl.update)
	return gl
}

// Gates returns the gates; the slice must not be changed.
func (gl *GateList) Gates() []Node { return *gl.gates.Load() }

// changed takes the table's rows; entries that can't be read are passed over.
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
