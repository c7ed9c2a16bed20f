package table

import (
	"context"
	"errors"
	"time"

	"shallotcleat/core/retry"
)

// errOpen is the cause of a call that was not made.
var errOpen = errors.New("the table has failed several times in a row; it is tried again soon")

// Guarded is a Store that fails at once while the table behind it is down, so that orders are refused without a wait.
type BreakerStore struct {
	inner   Store
	breaker retry.Breaker
}

// NewGuarded returns a store that guards calls of another one.
func NewBreakerStore(inner Store) *BreakerStore { return &BreakerStore{inner: inner} }

// Commit implements Store.
func (gd *BreakerStore) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	if !gd.breaker.Allow(time.Now()) {
		return nil, &UnavailableError{cause: errOpen}
	}
	versions, err := gd.inner.Commit(ctx, writes)
	gd.ended(ctx, err)
	return versions, err
}

// Read implements Store.
func (gd *BreakerStore) Read(ctx context.Context, keys []string) ([]Cell, error) {
	if !gd.breaker.Allow(time.Now()) {
		return nil, &UnavailableError{cause: errOpen}
	}
	cells, err := gd.inner.Read(ctx, keys)
	gd.ended(ctx, err)
	return cells, err
}

// Scan implements Store.
func (gd *BreakerStore) Scan(ctx context.Context, prefix string, limit int) ([]Cell, error) {
	if !gd.breaker.Allow(time.Now()) {
		return nil, &UnavailableError{cause: errOpen}
	}
	cells, err := gd.inner.Scan(ctx, prefix, limit)
	gd.ended(ctx, err)
	return cells, err
}

// ended notes a failure of the table, but not one of a caller that has left.
func (gd *BreakerStore) ended(ctx context.Context, err error) {
	var lost *UnavailableError
	gd.breaker.Record(time.Now(), errors.As(err, &lost) && ctx.Err() == nil)
}
