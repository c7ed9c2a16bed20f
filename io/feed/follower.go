package feed

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/io/timer"
)

// Limits of following a table.
const (
	// watchWait bounds one watch. A connection that went silent is noticed when it has passed.
	watchWait = 3 * time.Second
	// answerLimit bounds what a call may take beside the wait.
	watchMargin = 700 * time.Millisecond
	// readLimit bounds the reading of a whole table.
	readTimeout = 2 * time.Second
	// firstPause and longPause bound the time between calls that fail.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Follower keeps a copy up to date.
type Follower struct {
	copy   *Copy
	source Source
	log    *logrus.Entry
	// settle is how long further changes are awaited after a change, so that one call returns many.
	batchDelay time.Duration
	// outage is called at each call that fails.
	onError func()
	// stale is set while the source does not answer.
	stale atomic.Bool
	done  chan struct{}
}

// NewFollower returns a follower that has not begun. After a change it waits for the time settle, so that one call returns the
// changes that follow; outage is called at each call of the source that fails.
func NewFollower(cp *Copy, src Source, lg *logrus.Entry, batchDelay time.Duration, onError func()) *Follower {
	return &Follower{
		copy:       cp,
		source:     src,
		log:        lg.WithField("table", cp.table),
		batchDelay: batchDelay,
		onError:    onError,
		done:       make(chan struct{}),
	}
}

// Stale reports whether the source does not answer at present.
func (fw *Follower) Stale() bool { return fw.stale.Load() }

// Done is closed when Run has ended.
func (fw *Follower) Done() <-chan struct{} { return fw.done }

// Run follows the table until the context ends.
func (fw *Follower) Run(ctx context.Context) {
	defer close(fw.done)
	backoff := minBackoff
	full := true
	for ctx.Err() == nil {
		err := fw.update(ctx, full)
		switch {
		case err == nil:
			full = false
			backoff = minBackoff
			if fw.stale.Swap(false) {
				fw.log.WithField("revision", fw.copy.Revision()).Info("dependency regained: the store answers again")
			}
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			full = true
			fw.log.WithField("revision", fw.copy.Revision()).Info("the store has dropped its history; the table is read anew")
			continue
		}
		if !fw.stale.Swap(true) {
			fw.log.WithError(err).WithField("revision", fw.copy.Revision()).Warn("dependency lost: the store does not answer")
		}
		fw.onError()
		timer.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (fw *Follower) update(ctx context.Context, full bool) error {
	if full {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		rows, revision, err := fw.source.Read(ctx, fw.copy.table)
		if err != nil {
			return fmt.Errorf("read the source: %w", err)
		}
		fw.copy.Replace(rows, revision)
		return nil
	}
	after := fw.copy.Revision()
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	rows, revision, err := fw.source.Watch(ctx, fw.copy.table, after, watchWait)
	if err != nil {
		return fmt.Errorf("watch the source: %w", err)
	}
	fw.copy.Apply(rows, after, revision)
	if len(rows) > 0 {
		timer.Sleep(ctx, fw.batchDelay)
	}
	return nil
}
