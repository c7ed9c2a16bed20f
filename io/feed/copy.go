package feed

import (
	"strings"
	"sync"
)

// Change is what an update did to a copy.
type Change struct {
	// Rows are the rows that are new or changed, and the marks of those that were dropped.
	Rows []Row
	// Whole says that Rows is the whole table, without marks.
	Full bool
}

// Copy is the copy of one table; its methods may be called from any goroutine.
type Copy struct {
	table string

	// mu guards the fields below. Listeners are called under it, so that they see the changes in order.
	mu        sync.Mutex
	rows      map[string]Row
	revision  uint64
	changed   chan struct{}
	listeners []func(Change)
}

// NewCopy returns an empty copy of a table at revision zero.
func NewCopy(table string) *Copy {
	return &Copy{table: table, rows: make(map[string]Row), changed: make(chan struct{})}
}

// Table returns the name of the table.
func (cp *Copy) Table() string { return cp.table }

// Listen calls a function with each change; it must return soon and not call the copy.
func (cp *Copy) Subscribe(listener func(Change)) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.listeners = append(cp.listeners, listener)
}

// Revision returns the revision up to which the copy is complete; zero means that nothing is known.
func (cp *Copy) Revision() uint64 {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.revision
}

// Changed returns a channel that is closed at the next change.
func (cp *Copy) Changed() <-chan struct{} {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	return cp.changed
}

// Rows returns the rows whose keys begin with a prefix, in no order, and the revision of the copy.
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

// Replace takes all rows as of a revision, unless the copy has a later one.
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

// Apply takes the changes from a revision up to another one. They are left out if the copy has been replaced meanwhile by
// one that is not as old as after.
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

// tell calls the listeners and wakes those who wait; the caller holds mu.
func (cp *Copy) notify(ch Change) {
	for _, listener := range cp.listeners {
		listener(ch)
	}
	close(cp.changed)
	cp.changed = make(chan struct{})
}
