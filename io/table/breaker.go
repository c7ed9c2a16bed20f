package table

import (
	"context"
	"errors"
	"time"

	"shallotcleat/core/retry"
)

// errOpen is the cause of a call that was not made.
var errBreakerOpen = errors.New("the table has failed several times in a row; it is tried again soon")

// Guarded is a Store that fails at once while the table behind it is down, so that orders are refused without a wait.
type BreakerStore struct {
	store   Store
	breaker retry.Breaker
}

// NewGuarded returns a store that guards calls of another one.
func NewBreakerStore(store Store) *BreakerStore { return &BreakerStore{store: store} }

// Commit implements Store.
func (bs *BreakerStore) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	if !bs.breaker.Allow(time.Now()) {
		return nil, &UnavailableError{cause: errBreakerOpen}
	}
	versions, err := bs.store.Commit(ctx, writes)
	bs.record(ctx, err)
	return versions, err
}

// Read implements Store.
func (bs *BreakerStore) Read(ctx context.Context, keys []string) ([]Cell, error) {
	if !bs.breaker.Allow(time.Now()) {
		return nil, &UnavailableError{cause: errBreakerOpen}
	}
	cells, err := bs.store.Read(ctx, keys)
	bs.record(ctx, err)
	return cells, err
}

// Scan implements Store.
func (bs *BreakerStore) Scan(ctx context.Context, prefix string, limit int) ([]Cell, error) {
	if !bs.breaker.Allow(time.Now()) {
		return nil, &UnavailableError{cause: errBreakerOpen}
	}
	cells, err := bs.store.Scan(ctx, prefix, limit)
	bs.record(ctx, err)
	return cells, err
}

// ended notes a failure of the table, but not one of a caller that has left.
func (bs *BreakerStore) record(ctx context.Context, err error) {
	var unavailable *UnavailableError
	bs.breaker.Record(time.Now(), errors.As(err, &unavailable) && ctx.Err() == nil)
}
