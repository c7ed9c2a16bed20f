package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"shallotcleat/io/wire"
)

// A reader that comes at the moment at which the idle timer of a stream fires either finds no stream, or reads it to its end; if it
// leaves at once, the stream is kept for another grace period. The order of the two is left to the scheduler and differs by round.
func TestReaderAtIdleTimeout(t *testing.T) {
	errLeft := errors.New("reader left")
	read, missed := 0, 0
	for round := range 4000 {
		synctest.Test(t, func(t *testing.T) {
			sr := newStreamRegistry(1)
			callCtx, cancel := context.WithCancel(t.Context())
			added := sr.add("north", cancel)
			added.append(&wire.Frame{}, false)
			time.Sleep(resumeGracePeriod)
			st, ok := sr.get(added.id, "north")
			if !ok {
				missed++
				return
			}
			received, leaves := false, round%2 == 0
			readerCtx, cancelReader := context.WithTimeout(t.Context(), resumeGracePeriod/2)
			defer cancelReader()
			_ = st.send(readerCtx, 0, func(*wire.Frame) error {
				received = true
				if leaves {
					return errLeft
				}
				return nil
			})
			synctest.Wait()
			if !received {
				missed++
				return
			}
			read++
			if callCtx.Err() != nil {
				t.Fatalf("round %d: the call was canceled while it had a reader", round)
			}
			time.Sleep(resumeGracePeriod - time.Millisecond)
			if _, ok := sr.get(st.id, "north"); !ok || callCtx.Err() != nil {
				t.Fatalf("round %d: the stream was removed before the grace period after its last reader", round)
			}
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			if _, ok := sr.get(st.id, "north"); ok || callCtx.Err() == nil {
				t.Fatalf("round %d: the stream was kept after the grace period", round)
			}
		})
	}
	t.Logf("%d readers came in time, %d too late", read, missed)
}
