package timer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Service calls subscribers by the process's clock, each subscription in a goroutine of its own.
type Service struct {
	subscriptions conc.WaitGroup
}

// New returns a service without subscriptions.
func New() *Service { return &Service{} }

// Now implements clock.Service.
func (sv *Service) Now() time.Time { return time.Now() }

// Every implements clock.Service. The cancel function does not wait for a call that is under way; Wait does.
func (sv *Service) Every(period time.Duration, fn func()) func() {
	done := make(chan struct{})
	sv.subscriptions.Go(func() {
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

// Wait returns when all subscriptions have been cancelled and their calls have ended.
func (sv *Service) Wait() { sv.subscriptions.Wait() }

// Pause returns after a time, or when the context ends.
func Sleep(ctx context.Context, duration time.Duration) {
	tm := time.NewTimer(duration)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
}
