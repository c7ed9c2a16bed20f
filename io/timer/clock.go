package timer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Clock is a clock.Clock that uses the system clock. Each subscription has its own goroutine.
type Clock struct {
	subscriptions conc.WaitGroup
}

// New returns a clock without subscriptions.
func New() *Clock { return &Clock{} }

// Now implements clock.Clock.
func (ck *Clock) Now() time.Time { return time.Now() }

// Every implements clock.Clock. The returned cancel function does not wait for a call in progress; Wait does.
func (ck *Clock) Every(period time.Duration, fn func()) func() {
	done := make(chan struct{})
	ck.subscriptions.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				fn()
			}
		}
	})
	return sync.OnceFunc(func() { close(done) })
}

// Wait blocks until all subscriptions are canceled and their calls have returned.
func (ck *Clock) Wait() { ck.subscriptions.Wait() }

// Sleep blocks for the given duration or until ctx is canceled.
func Sleep(ctx context.Context, duration time.Duration) {
	tm := time.NewTimer(duration)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
}
