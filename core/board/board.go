package board

import (
	"sync"
	"sync/atomic"

	"shallotcleat/core/config"
	"shallotcleat/core/member"
)

// Board is the shared state of a process. It is safe for concurrent use.
type Board struct {
	// mu serializes Adopt and Subscribe and guards subscribers. Writes of snapshot hold it; reads do not.
	mu          sync.Mutex
	subscribers []func(*config.Snapshot)
	snapshot    atomic.Pointer[config.Snapshot]
	members     *member.Table
}

// New returns a board without a configuration or servers.
func New() *Board { return &Board{members: member.NewTable()} }

// Snapshot returns the configuration in force, or nil if none was adopted yet.
func (bd *Board) Snapshot() *config.Snapshot { return bd.snapshot.Load() }

// Epoch returns the epoch of the configuration in force, or zero if none was adopted yet.
func (bd *Board) Epoch() uint64 {
	sn := bd.snapshot.Load()
	if sn == nil {
		return 0
	}
	return sn.Epoch()
}

// Members returns the table of known backend servers.
func (bd *Board) Members() *member.Table { return bd.members }

// Adopt puts the configuration in force and notifies the subscribers if its epoch is greater than the one in force. It
// reports whether it did.
func (bd *Board) Adopt(sn *config.Snapshot) bool {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	if sn.Epoch() <= bd.Epoch() {
		return false
	}
	bd.snapshot.Store(sn)
	for _, notify := range bd.subscribers {
		notify(sn)
	}
	return true
}

// Subscribe calls notify with the configuration in force, if there is one, and then with each one that is adopted.
//
// The calls hold the board's lock: notify must return quickly and must not call Adopt or Subscribe.
func (bd *Board) Subscribe(notify func(*config.Snapshot)) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	bd.subscribers = append(bd.subscribers, notify)
	if sn := bd.snapshot.Load(); sn != nil {
		notify(sn)
	}
}
