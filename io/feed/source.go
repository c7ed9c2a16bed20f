package feed

import (
	"context"
	"errors"
	"time"
)

// Row is one row of a table.
type Row struct {
	key      string
	value    []byte
	revision uint64
	deleted  bool
}

// NewRow returns a row that was written at a revision of its store; the value must not be changed later.
func NewRow(key string, value []byte, revision uint64) Row {
	return Row{key: key, value: value, revision: revision}
}

// NewGone returns the mark of a row that was dropped at a revision.
func NewTombstone(key string, revision uint64) Row {
	return Row{key: key, revision: revision, deleted: true}
}

// Key returns the row's key within its table.
func (rw Row) Key() string { return rw.key }

// Value returns the row's value; it must not be changed.
func (rw Row) Value() []byte { return rw.value }

// Revision returns the revision of the store at which the row was written.
func (rw Row) Revision() uint64 { return rw.revision }

// Gone reports whether the row was dropped.
func (rw Row) Deleted() bool { return rw.deleted }

// ErrCompacted is returned by Watch if the changes after the given revision are no longer known.
var ErrCompacted = errors.New("feed: the history asked for is gone")

// Source is a store whose tables can be followed.
type Source interface {
	// Read returns all rows of a table and the revision that they belong to.
	Read(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch returns the rows that changed after a revision, and the revision up to which that is known. It waits for the
	// first change, but not longer than given; it fails with ErrCompacted if it can't tell.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}
