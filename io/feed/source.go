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

// NewRow returns a row that was written at the given revision of its store. The caller must not modify value afterwards.
func NewRow(key string, value []byte, revision uint64) Row {
	return Row{key: key, value: value, revision: revision}
}

// NewTombstone returns the tombstone of a row that was deleted at the given revision.
func NewTombstone(key string, revision uint64) Row {
	return Row{key: key, revision: revision, deleted: true}
}

// Key returns the key of the row within its table.
func (rw Row) Key() string { return rw.key }

// Value returns the value of the row; the caller must not modify it.
func (rw Row) Value() []byte { return rw.value }

// Revision returns the revision of the store, as NewRevision makes it, at which the row was last written or deleted.
func (rw Row) Revision() uint64 { return rw.revision }

// Deleted reports whether the row is a tombstone.
func (rw Row) Deleted() bool { return rw.deleted }

// MaxTableBytes bounds the rows of one table, as Size counts them: what a faulty store sends without end ends there. 3,100 servers take 2 MB.
const MaxTableBytes = 8 << 20

// rowBytes is the memory of a row beside its key and value, in the list that it arrives in and in the copy of the table.
const rowBytes = 256

// ErrTableTooLong means that a table has more than MaxTableBytes.
var ErrTableTooLong = errors.New("feed: table exceeds the length limit")

// RowSize returns the bytes for which a row with a key and a value counts towards MaxTableBytes.
func RowSize(key string, value []byte) int { return rowBytes + len(key) + len(value) }

// Size returns the bytes for which the row counts towards MaxTableBytes.
func (rw Row) Size() int { return RowSize(rw.key, rw.value) }

// ErrCompacted is returned by Watch if the store has compacted the changes after the given revision.
var ErrCompacted = errors.New("feed: requested revision has been compacted")

// Source is a store whose tables can be watched.
type Source interface {
	// Read returns all rows of the table and the revision at which they were read. It fails with ErrTableTooLong beyond MaxTableBytes.
	Read(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch returns the rows that changed after revision after, and the revision up to which the changes are complete. It
	// blocks until the first change, but at most for the duration wait. It returns ErrCompacted if the store no longer has
	// all changes after that revision, also because it was restored since.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}
