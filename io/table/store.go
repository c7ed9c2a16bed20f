package table

import (
	"context"
	"fmt"
)

// Cell is a stored value with its version, which is at least 1 and increases with each write.
type Cell struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Write replaces the value of a key if its version is ExpectedVersion; 0 means that the key must not exist.
type Write struct {
	Key             string `json:"key"`
	Value           []byte `json:"value"`
	ExpectedVersion uint64 `json:"expect"`
}

// Committer commits conditional transactions over several keys.
type Committer interface {
	// Commit applies all writes or none and returns the new versions in the order of the writes. It fails with a
	// *ConflictError if a version is not the expected one, and with an *UnavailableError if it is unknown whether the writes
	// were applied.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Store is a table with conditional transactions over several keys.
type Store interface {
	Committer
	// Read returns the cells of those keys that exist. It fails with an *UnavailableError if the table does not respond.
	Read(ctx context.Context, keys []string) ([]Cell, error)
	// Scan returns at most limit cells whose keys begin with prefix, sorted by key. It fails like Read.
	Scan(ctx context.Context, prefix string, limit int) ([]Cell, error)
}

// ConflictError reports that no write of a transaction was applied because a version was not the expected one.
type ConflictError struct {
	cells []Cell
}

// NewConflictError returns an error with the current cells of the transaction's keys.
func NewConflictError(cells []Cell) *ConflictError { return &ConflictError{cells: cells} }

// Error returns the number of cells that the table returned.
func (ce *ConflictError) Error() string {
	return fmt.Sprintf("table: version conflict: %d cells stored", len(ce.cells))
}

// Cell returns the current cell of a key, or one with version 0 if the key does not exist.
func (ce *ConflictError) Cell(key string) Cell {
	for _, cl := range ce.cells {
		if cl.Key == key {
			return cl
		}
	}
	return Cell{Key: key}
}

// UnavailableError reports that the table did not respond with a result; a write may have been applied.
type UnavailableError struct {
	cause error
}

// NewUnavailableError returns an error with the given cause.
func NewUnavailableError(cause error) *UnavailableError { return &UnavailableError{cause: cause} }

// Error returns the message of the cause.
func (ue *UnavailableError) Error() string { return "table: unavailable: " + ue.cause.Error() }

// Unwrap returns the cause.
func (ue *UnavailableError) Unwrap() error { return ue.cause }
