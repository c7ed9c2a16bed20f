package feed

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Change describes one update of a copy.
type Change struct {
	// Rows holds the new and changed rows, and a tombstone for each deleted row.
	Rows []Row
	// Full reports that Rows holds all rows of the copy and no tombstones.
	Full bool
	// Restored reports that the store was restored from a backup since the last change: rows that were written shortly before are
	// missing or old, and rows that were deleted shortly before are back.
	Restored bool
	// Since is when the copy was last known to be current, if that was uncertain before the change; otherwise it is zero, and the change has
	// just been made.
	Since time.Time
	// AsOf is a time at or before which the store was asked for the change; it is zero if another process's copy brought it.
	AsOf time.Time
}

// ContentVersion returns the version that the writer of a row gave its content, which the writer never lowers; ok is false if the row
// has none.
type ContentVersion func(rw Row) (version uint64, ok bool)

// Copy is a local copy of one table. Its methods are safe for concurrent use.
type Copy struct {
	table string
	// contentVersion is nil if the rows have no versions of their own.
	contentVersion ContentVersion

	// mu guards the fields below. It is held while listeners run, so that they receive changes in order.
	mu        sync.Mutex
	rows      map[string]Row
	revision  uint64
	listeners []func(Change)
	// uncertainSince is the Since of the changes that are made now.
	uncertainSince time.Time
}

// NewCopy returns an empty copy of the table at revision 0.
func NewCopy(table string) *Copy {
	return &Copy{table: table, rows: make(map[string]Row)}
}

// NewVersionedCopy returns an empty copy of a table whose rows have content versions. Across a restore of the store, it keeps a row with
// a later content version than the restored one until the row is written again.
func NewVersionedCopy(table string, version ContentVersion) *Copy {
	cp := NewCopy(table)
	cp.contentVersion = version
	return cp
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
	return cp.replace(rows, revision, time.Time{})
}

// ReplaceAsOf is Replace for rows that the store was asked for at a time.
func (cp *Copy) ReplaceAsOf(rows []Row, revision uint64, asOf time.Time) bool {
	return cp.replace(rows, revision, asOf)
}

// replace is Replace for rows that the store was asked for at asOf, unless that is zero.
func (cp *Copy) replace(rows []Row, revision uint64, asOf time.Time) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if revision < cp.revision || revision == 0 {
		return false
	}
	restored := cp.revision > 0 && Generation(revision) > Generation(cp.revision)
	old := cp.rows
	cp.revision = revision
	cp.rows = make(map[string]Row, len(rows))
	for _, rw := range rows {
		cp.rows[rw.key] = rw
	}
	for _, rw := range old {
		if cp.isKept(rw) && cp.hasNewerContent(rw, cp.rows[rw.key]) {
			cp.rows[rw.key] = rw
		}
	}
	cp.notify(Change{Rows: slices.Collect(maps.Values(cp.rows)), Full: true, Restored: restored, AsOf: asOf})
	return true
}

// Keep adds those rows of a peer's copy that the peer has kept from before the last restore and whose content is newer, and reports
// whether there were any.
func (cp *Copy) Keep(rows []Row) bool {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	var newer []Row
	for _, rw := range rows {
		if cp.isKept(rw) && cp.hasNewerContent(rw, cp.rows[rw.key]) {
			cp.rows[rw.key] = rw
			newer = append(newer, rw)
		}
	}
	if len(newer) > 0 {
		cp.notify(Change{Rows: newer})
	}
	return len(newer) > 0
}

// KeptVersions returns the sum of the content versions of the rows whose keys begin with prefix and that were kept from before the last
// restore. Of two copies, the one with the lower sum lacks content.
func (cp *Copy) KeptVersions(prefix string) uint64 {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	var sum uint64
	for key, rw := range cp.rows {
		if cp.contentVersion == nil || !cp.isKept(rw) || !strings.HasPrefix(key, prefix) {
			continue
		}
		if version, ok := cp.contentVersion(rw); ok {
			sum += version
		}
	}
	return sum
}

// isKept reports whether a row was written before the last restore of the store. The caller holds mu.
func (cp *Copy) isKept(rw Row) bool { return Generation(rw.revision) < Generation(cp.revision) }

// hasNewerContent reports whether a row has a later content version than another, which may be the zero row. The caller holds mu.
func (cp *Copy) hasNewerContent(rw, other Row) bool {
	if cp.contentVersion == nil || other.deleted {
		return false
	}
	version, ok := cp.contentVersion(rw)
	if !ok {
		return false
	}
	otherVersion, ok := cp.contentVersion(other)
	return !ok || version > otherVersion
}

// Apply applies the changes that follow revision after, up to the given revision. It skips rows that a concurrent Replace has
// already covered, and does nothing if the copy is older than after or not older than revision. It fails with ErrTableTooLong, and changes nothing,
// if the rows would make the copy longer than MaxTableBytes.
func (cp *Copy) Apply(rows []Row, after, revision uint64) error {
	return cp.apply(rows, after, revision, time.Time{})
}

// apply is Apply for changes that the store was asked for at asOf, unless that is zero.
func (cp *Copy) apply(rows []Row, after, revision uint64, asOf time.Time) error {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	if cp.revision < after || revision <= cp.revision {
		return nil
	}
	if !cp.fits(rows) {
		return ErrTableTooLong
	}
	var newer []Row
	for _, rw := range rows {
		if rw.revision <= cp.revision {
			continue
		}
		if old, ok := cp.rows[rw.key]; ok && cp.isKept(old) && cp.hasNewerContent(old, rw) {
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
		cp.notify(Change{Rows: newer, AsOf: asOf})
	}
	return nil
}

// fits reports whether the copy stays within MaxTableBytes with further rows. The caller holds mu.
func (cp *Copy) fits(rows []Row) bool {
	grows, size := false, 0
	for _, rw := range rows {
		if rw.deleted {
			continue
		}
		old, known := cp.rows[rw.key]
		size += rw.Size()
		if known {
			size -= old.Size()
		}
		grows = grows || !known || rw.Size() > old.Size()
	}
	if !grows {
		return true
	}
	for _, rw := range cp.rows {
		size += rw.Size()
	}
	return size <= MaxTableBytes
}

// setUncertainSince sets the Since of the following changes.
func (cp *Copy) setUncertainSince(since time.Time) {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	cp.uncertainSince = since
}

// notify calls the listeners. The caller holds mu.
func (cp *Copy) notify(ch Change) {
	ch.Since = cp.uncertainSince
	for _, listener := range cp.listeners {
		listener(ch)
	}
}
