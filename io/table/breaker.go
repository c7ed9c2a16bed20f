package table

import (
	"context"
	"errors"
	"time"

	"shallotcleat/core/retry"
)

// errBreakerOpen is the cause of the error of a call that the open circuit breaker rejected.
var errBreakerOpen = errors.New("circuit breaker is open after consecutive failures of the table; retry later")

// BreakerStore is a Store with a circuit breaker: calls fail at once while the underlying table is down, so that orders are
// refused without delay.
type BreakerStore struct {
	store   Store
	breaker retry.Breaker
}

// NewBreakerStore returns a store that adds a circuit breaker to store.
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

// record reports the result of a call to the breaker. An error after ctx has ended does not count as a failure of the table.
func (bs *BreakerStore) record(ctx context.Context, err error) {
	var unavailable *UnavailableError
	bs.breaker.Record(time.Now(), errors.As(err, &unavailable) && ctx.Err() == nil)
}
