package feed

import (
	"strings"
	"sync"
)

// Change describes one update of a copy.
type Change struct {
	// Rows holds the new and changed rows, and a tombstone for each deleted row.
	Rows []Row
	// Full reports that Rows holds all rows of the copy and no tombstones.
	Full bool
}

// Copy is a local copy of one table. Its methods are safe for concurrent use.
type Copy struct {
	table string

	// mu guards the fields below. It is held while listeners run, so that they receive changes in order.
	mu        sync.Mutex
	rows      map[string]Row
	revision  uint64
	changed   chan struct{}
	listeners []func(Change)
}

// NewCopy returns an empty copy of the table at revision 0.
func NewCopy(table string) *Copy {
	return &Copy{table: table, rows: make(map[string]Row), changed: make(chan struct{})}
}

// Table returns the name of the table.
func (cp *Copy) Table() string { return cp.table }

// Subscribe registers a function that is called with each change. It runs with the copy's mutex held, so it must not block
// or call methods of the copy.
func (cp *Copy) Subscribe(listener func(Change)) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.listeners = append(cp.listeners, listener)
}

// Revision returns the revision up to which the copy is complete, or 0 if the copy has no data yet.
func (cp *Copy) Revision() uint64 {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.revision
}

// Changed returns a channel that is closed on the next change.
func (cp *Copy) Changed() <-chan struct{} {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.changed
}

// Rows returns the rows whose keys begin with prefix, in unspecified order, and the revision of the copy.
func (cp *Copy) Rows(prefix string) ([]Row, uint64) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	var rows []Row
	for key, rw := range cp.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, rw)
		}
	}
	return rows, cp.revision
}

// Replace sets all rows to those of the given revision and reports whether it did. It does nothing if the copy has a later
// revision or if revision is 0.
func (cp *Copy) Replace(rows []Row, revision uint64) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if revision < cp.revision || revision == 0 {
		return false
	}
	cp.revision = revision
	cp.rows = make(map[string]Row, len(rows))
	for _, rw := range rows {
		cp.rows[rw.key] = rw
	}
	cp.notify(Change{Rows: rows, Full: true})
	return true
}

// Apply applies the changes that follow revision after, up to the given revision. It skips rows that a concurrent Replace has
// already covered, and does nothing if the copy is older than after or not older than revision.
func (cp *Copy) Apply(rows []Row, after, revision uint64) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if cp.revision < after || revision <= cp.revision {
		return
	}
	var newer []Row
	for _, rw := range rows {
		if rw.revision <= cp.revision {
			continue
		}
		newer = append(newer, rw)
		if rw.deleted {
			delete(cp.rows, rw.key)
		} else {
			cp.rows[rw.key] = rw
		}
	}
	cp.revision = revision
	if len(newer) > 0 {
		cp.notify(Change{Rows: newer})
	}
}

// notify calls the listeners and closes the channel that Changed returned. The caller holds mu.
func (cp *Copy) notify(ch Change) {
	for _, listener := range cp.listeners {
		listener(ch)
	}
	close(cp.changed)
	cp.changed = make(chan struct{})
}
