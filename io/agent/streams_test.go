package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"shallotcleat/core/memory"
	"shallotcleat/io/server"
	"shallotcleat/io/wire"
)

// A reader that comes at the moment at which the idle timer of a stream fires either finds no stream, or reads it to its end; if it
// leaves at once, the stream is kept for another grace period. The order of the two is left to the scheduler and differs by round.
func TestReaderAtIdleTimeout(t *testing.T) {
	errLeft := errors.New("reader left")
	read, missed := 0, 0
	for round := range 4000 {
		synctest.Test(t, func(t *testing.T) {
			sr := newStreamRegistry(1, memory.NewBudget(0))
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

// Guards against an engine that streams without end: its stream ends at the limit, and is freed as soon as its last reader leaves. A stream that is
// kept after its call is freed when memory is needed, and takes no reader then; one that runs is not.
func TestStreamsAreBounded(t *testing.T) {
	const mb = 1 << 20
	bg := memory.NewBudget(100 * mb)
	sr := newStreamRegistry(1, bg)
	event := server.Event{Data: make([]byte, mb)}
	long := sr.add("north", func() {})
	var err error
	count := 0
	for ; err == nil; count++ {
		err = long.appendEvent(event)
	}
	if !errors.Is(err, errStreamTooLong) || count != maxStreamBytes/mb {
		t.Errorf("event %d: got error %v", count, err)
	}
	long.append(&wire.Frame{}, true)
	if err := long.send(t.Context(), 0, func(*wire.Frame) error { return nil }); err != nil {
		t.Error(err)
	}
	for deadline := time.Now().Add(5 * time.Second); bg.Held(memory.Response) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes of a stream that is too long are kept", bg.Held(memory.Response))
		}
	}

	kept, running := sr.add("north", func() {}), sr.add("north", func() {})
	for range 10 {
		if err := errors.Join(kept.appendEvent(event), running.appendEvent(event)); err != nil {
			t.Fatal(err)
		}
	}
	kept.append(&wire.Frame{}, true)
	// A claim without progress is evicted after half a second.
	time.Sleep(600 * time.Millisecond)
	for range 5 {
		if err := running.appendEvent(event); err != nil {
			t.Errorf("a stream that is kept leaves no memory: %v", err)
		}
	}
	if err := kept.send(t.Context(), 0, func(*wire.Frame) error { return nil }); !errors.Is(err, errStreamRemoved) {
		t.Errorf("got error %v of a stream that was removed", err)
	}
	if _, ok := sr.get(running.id, "north"); !ok {
		t.Error("a stream that runs was removed")
	}
}
