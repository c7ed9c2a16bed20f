package feed

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"shallotcleat/io/timer"
)

// Timeouts and delays of calls to the source.
const (
	// WatchMargin is added to the wait of a Watch call for its timeout. A stalled connection is noticed after both.
	WatchMargin = 700 * time.Millisecond
	// callTimeout bounds a read of a whole table, and a watch that does not wait.
	callTimeout = 2 * time.Second
	// readInterval and probeInterval are the times after which a read, or a watch after a failure, is repeated while it has no response.
	readInterval  = time.Second
	probeInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the time from the beginning of a failed call to that of the next one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Follower keeps a copy up to date with its source.
type Follower struct {
	copy   *Copy
	source Source
	log    *logrus.Entry
	// wait is how long one Watch call waits for a change.
	wait time.Duration
	// batchDelay is the pause after a change, so that the next Watch call returns several changes at once.
	batchDelay time.Duration
	// onError is called after each failed call to the source, except for ErrCompacted.
	onError func()
	// onCurrent is called after each successful call to the source, with the time at which that began, or is nil.
	onCurrent func(asOf time.Time)
	// stale is set while calls to the source fail.
	stale atomic.Bool
	// currentAt is when the copy was last known to be current; Run owns it.
	currentAt time.Time
	done      chan struct{}
}

// NewFollower returns a follower that is started by Run. One Watch call waits for a change up to wait. After each change the follower
// pauses for batchDelay, so that the next call returns several changes at once. It calls onError after each failed call to the source,
// except for ErrCompacted.
func NewFollower(cp *Copy, src Source, lg *logrus.Entry, wait, batchDelay time.Duration, onError func()) *Follower {
	return &Follower{
		copy:       cp,
		source:     src,
		log:        lg.WithField("table", cp.table),
		wait:       wait,
		batchDelay: batchDelay,
		onError:    onError,
		done:       make(chan struct{}),
	}
}

// OnCurrent sets a function that is called after each successful call to the source, with a time as of which the copy is complete. It must be set before Run.
func (fw *Follower) OnCurrent(fn func(asOf time.Time)) { fw.onCurrent = fn }

// Stale reports whether calls to the source fail at present.
func (fw *Follower) Stale() bool { return fw.stale.Load() }

// Done returns a channel that is closed when Run returns.
func (fw *Follower) Done() <-chan struct{} { return fw.done }

// Run follows the table until ctx is canceled.
func (fw *Follower) Run(ctx context.Context) {
	defer close(fw.done)
	backoff := minBackoff
	full := true
	// reads counts the reads of the whole table since the last successful watch, failures the failed calls since the last successful one.
	reads, failures := 0, 0
	for ctx.Err() == nil {
		began := time.Now()
		err := fw.update(ctx, full)
		switch {
		case err == nil:
			if full {
				reads++
			} else {
				reads = 0
			}
			full = false
			backoff = minBackoff
			if fw.stale.Swap(false) {
				fw.log.WithFields(logrus.Fields{"revision": fw.copy.Revision(), "failures": failures, "call_ms": time.Since(began).Milliseconds()}).
					Info("dependency regained: the store answers again")
			}
			failures = 0
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrCompacted):
			full = true
			fw.log.WithField("revision", fw.copy.Revision()).
				Info("the store no longer has the watched revision; reading the whole table")
			if reads > 1 {
				timer.Sleep(ctx, maxBackoff)
			}
			continue
		}
		failures++
		log := fw.log.WithError(err).WithFields(logrus.Fields{"revision": fw.copy.Revision(), "call_ms": time.Since(began).Milliseconds()})
		if !fw.stale.Swap(true) {
			log.Warn("dependency lost: the store does not answer")
		} else {
			log.WithField("failures", failures).Info("the store still does not answer")
		}
		fw.onError()
		timer.Sleep(ctx, backoff-time.Since(began))
		backoff = min(2*backoff, maxBackoff)
	}
}

// update reads the whole table if full is set; otherwise it waits for the next changes and applies them. A change that it finds after calls
// have failed may have been made any time since the last successful one.
func (fw *Follower) update(ctx context.Context, full bool) error {
	began := time.Now()
	wait := fw.wait
	if fw.Stale() {
		// Changes may be overdue already, and the response of a call that waits may be lost.
		wait = 0
		fw.copy.setUncertainSince(fw.currentAt)
		defer fw.copy.setUncertainSince(time.Time{})
	}
	if err := fw.fetch(ctx, began, full, wait); err != nil {
		return err
	}
	if fw.onCurrent != nil {
		fw.onCurrent(began)
	}
	// A response that was held up is as old as the longest wait allows.
	if fw.currentAt = time.Now(); !full && fw.currentAt.After(began.Add(wait)) {
		fw.currentAt = began.Add(wait)
	}
	return nil
}

// fetch reads the whole table, or watches it for the duration wait, and applies the response.
func (fw *Follower) fetch(ctx context.Context, began time.Time, full bool, wait time.Duration) error {
	if full {
		rs := hedge(ctx, readInterval, func(ctx context.Context) response {
			return newResponse(fw.source.Read(ctx, fw.copy.table))
		})
		if rs.err != nil {
			return fmt.Errorf("read source: %w", rs.err)
		}
		fw.copy.replace(rs.rows, rs.revision, began)
		return nil
	}
	after := fw.copy.Revision()
	watch := func(ctx context.Context) response {
		return newResponse(fw.source.Watch(ctx, fw.copy.table, after, wait))
	}
	var rs response
	if wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, wait+WatchMargin)
		defer cancel()
		rs = watch(ctx)
	} else {
		rs = hedge(ctx, probeInterval, watch)
	}
	if rs.err != nil {
		return fmt.Errorf("watch source: %w", rs.err)
	}
	if err := fw.copy.apply(rs.rows, after, rs.revision, began); err != nil {
		return fmt.Errorf("apply changes: %w", err)
	}
	if len(rs.rows) > 0 {
		timer.Sleep(ctx, fw.batchDelay)
	}
	return nil
}

// response is the result of a call to a source.
type response struct {
	rows     []Row
	revision uint64
	err      error
}

func newResponse(rows []Row, revision uint64, err error) response {
	return response{rows: rows, revision: revision, err: err}
}

// hedge makes a call, repeats it after each interval without a response, and returns the first response: a call that was made just before the
// source came back may never get one. All calls end with the first response, or after callTimeout.
func hedge(ctx context.Context, interval time.Duration, call func(ctx context.Context) response) response {
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	responses := make(chan response, callTimeout/interval+1)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		wg.Go(func() { responses <- call(ctx) })
		select {
		case rs := <-responses:
			return rs
		case <-ctx.Done():
			return response{err: ctx.Err()}
		case <-ticker.C:
		}
	}
}
