package table

import (
	"context"
	"fmt"
)

// Cell is a stored value with its version, which is at least one and grows with each write.
type Cell struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Write replaces a value if its version is still the expected one; zero expects that there is no value.
type Write struct {
	Key             string `json:"key"`
	Value           []byte `json:"value"`
	ExpectedVersion uint64 `json:"expect"`
}

// Committer makes conditional transactions over several rows.
type Committer interface {
	// Commit makes all writes or none and returns the new versions in their order. It fails with a *ConflictError if
	// a version is not the expected one, and with a *LostError if it is not known whether the writes were made.
	Commit(ctx context.Context, writes []Write) ([]uint64, error)
}

// Store is a table with conditional transactions over several rows.
type Store interface {
	Committer
	// Read returns the values that there are of some keys; it fails with a *LostError if the table does not answer.
	Read(ctx context.Context, keys []string) ([]Cell, error)
	// Scan returns the values whose keys begin with a prefix, sorted by key, at most limit of them.
	Scan(ctx context.Context, prefix string, limit int) ([]Cell, error)
}

// ConflictError says that no write of a transaction was made, since versions were not as expected.
type ConflictError struct {
	cells []Cell
}

// NewConflictError returns the error with the values that the table holds of the transaction's keys.
func NewConflictError(cells []Cell) *ConflictError { return &ConflictError{cells: cells} }

// Error returns the number of rows in conflict.
func (ce *ConflictError) Error() string {
	return fmt.Sprintf("table: versions are not as expected; %d rows are stored", len(ce.cells))
}

// Cell returns the value that the table held of a key; its version is zero if there was none.
func (ce *ConflictError) Cell(key string) Cell {
	for _, cl := range ce.cells {
		if cl.Key == key {
			return cl
		}
	}
	return Cell{Key: key}
}

// LostError says that the table gave no answer; a write may have taken effect.
type UnavailableError struct {
	cause error
}

// NewLostError returns the error with its cause.
func NewUnavailableError(cause error) *UnavailableError { return &UnavailableError{cause: cause} }

// Error returns the cause.
func (ue *UnavailableError) Error() string { return "table: no answer: " + ue.cause.Error() }

// Unwrap returns the cause.
func (ue *UnavailableError) Unwrap() error { return ue.cause }
