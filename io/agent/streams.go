package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"shallotcleat/core/memory"
	"shallotcleat/io/server"
	"shallotcleat/io/wire"
)

// Limits of streams.
const (
	// resumeGracePeriod is the time for which a stream without a reader is kept, whether its call runs or has ended.
	resumeGracePeriod = 10 * time.Second
	// maxStreamBytes bounds the frames of a stream, which are kept so that a reader can resume it: more than 30,000 events of 250 bytes.
	maxStreamBytes = 16 << 20
	// frameBytes is the memory of a frame beside its data and text.
	frameBytes = 256
)

// errStreamTooLong means that an engine sent more than maxStreamBytes.
var errStreamTooLong = errors.New("stream exceeds the length limit")

// stream buffers the output of one call. The sequence numbers of its frames start at 1. It is safe for concurrent use.
type stream struct {
	id        string
	workspace string
	cancel    context.CancelFunc
	registry  *streamRegistry
	// claim is the memory of the frames. It is in use while the call runs or a reader reads.
	claim *memory.Claim

	// mu guards the fields below.
	mu      sync.Mutex
	frames  []*wire.Frame
	ended   bool
	readers int
	// bytes is the memory of the events; broken is set once there was no room for one, which ends the call.
	bytes  int
	broken bool
	// changed is closed and replaced when frames or ended change.
	changed chan struct{}
	// idleTimer ends the current idle period after resumeGracePeriod. idlePeriod is the number of that period, which
	// a reader ends: a timer that has fired may still wait for mu then.
	idleTimer  *time.Timer
	idlePeriod int
	// removed is set once the stream takes no more readers.
	removed bool
}

// errStreamRemoved means that a stream had no reader for resumeGracePeriod.
var errStreamRemoved = errors.New("the stream is no longer available")

// append sets the sequence number of a frame and adds the frame; last is set if the frame ends the stream.
func (st *stream) append(fr *wire.Frame, last bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fr.Seq = uint64(len(st.frames) + 1)
	st.frames = append(st.frames, fr)
	st.ended = st.ended || last
	if last && st.readers == 0 {
		st.claim.Wait(time.Now())
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

// appendEvent adds an event of the engine, or fails with errStreamTooLong or memory.ErrShort if there is no room for it.
func (st *stream) appendEvent(ev server.Event) error {
	size := frameBytes + cap(ev.Data) + len(ev.Text)
	if err := st.claimEvent(size); err != nil {
		return err
	}
	st.append(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: ev.Data, Text: ev.Text}}}, false)
	return nil
}

// claimEvent claims the memory of an event.
func (st *stream) claimEvent(size int) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.broken = true
	if st.bytes+size > maxStreamBytes {
		return fmt.Errorf("%w of %d bytes", errStreamTooLong, maxStreamBytes)
	}
	if err := st.claim.Grow(time.Now(), int64(size)); err != nil {
		return fmt.Errorf("event after %d bytes of the stream: %w", st.bytes, err)
	}
	st.bytes, st.broken = st.bytes+size, false
	return nil
}

// framesAfter returns the frames after a sequence number, whether the stream has ended, and a channel that is closed at
// the next change.
func (st *stream) framesAfter(seq uint64) ([]*wire.Frame, bool, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	seq = min(seq, uint64(len(st.frames)))
	return st.frames[seq:], st.ended, st.changed
}

// send sends the frames after a sequence number in order until the stream ends or the context is done. It returns errStreamRemoved
// if the stream has been removed.
func (st *stream) send(ctx context.Context, seq uint64, send func(*wire.Frame) error) error {
	if !st.addReader() {
		return errStreamRemoved
	}
	defer st.removeReader()
	for {
		frames, ended, changed := st.framesAfter(seq)
		for _, fr := range frames {
			if err := send(fr); err != nil {
				return fmt.Errorf("send frame %d: %w", fr.GetSeq(), err)
			}
			seq = fr.GetSeq()
		}
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addReader ends the idle period, if any. It returns false if the stream has been removed.
func (st *stream) addReader() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.removed || st.claim.Use() != nil {
		return false
	}
	st.readers++
	st.idlePeriod++
	st.idleTimer.Stop()
	return true
}

func (st *stream) removeReader() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.readers--
	if st.readers == 0 {
		st.startIdlePeriod()
	}
}

// startIdlePeriod starts a period without readers; the caller holds mu.
func (st *stream) startIdlePeriod() {
	period, grace := st.idlePeriod, resumeGracePeriod
	if st.ended {
		// The frames are only kept for a reader that may come back.
		st.claim.Wait(time.Now())
	}
	if st.ended && st.broken {
		grace = 0
	}
	st.idleTimer = time.AfterFunc(grace, func() { st.registry.expire(st, period) })
}

// endIdlePeriod marks the stream as removed, or returns false if the given idle period has ended before.
func (st *stream) endIdlePeriod(period int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.idlePeriod != period {
		return false
	}
	st.removed = true
	return true
}

// streamRegistry holds the streams of an agent by id. It is safe for concurrent use.
type streamRegistry struct {
	incarnation uint64
	memory      *memory.Budget

	// mu guards the fields below.
	mu sync.Mutex
	// lastID is the number in the id of the latest stream.
	lastID uint64
	byID   map[string]*stream
}

func newStreamRegistry(incarnation uint64, bg *memory.Budget) *streamRegistry {
	return &streamRegistry{incarnation: incarnation, memory: bg, byID: make(map[string]*stream)}
}

// add adds a new stream of a workspace and returns it. The function cancel cancels the stream's call; expire calls it.
func (sr *streamRegistry) add(workspace string, cancel context.CancelFunc) *stream {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.lastID++
	st := &stream{
		id:        fmt.Sprintf("%x-%d", sr.incarnation, sr.lastID),
		workspace: workspace,
		cancel:    cancel,
		registry:  sr,
		changed:   make(chan struct{}),
	}
	// A stream is evicted only after its call, without a reader; evict must not block.
	st.claim = sr.memory.Open(time.Now(), memory.Response, func() { go sr.evict(st) })
	st.mu.Lock()
	st.startIdlePeriod()
	st.mu.Unlock()
	sr.byID[st.id] = st
	return st
}

// get returns the stream with an id if it belongs to the workspace.
func (sr *streamRegistry) get(id, workspace string) (*stream, bool) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	st, ok := sr.byID[id]
	if !ok || st.workspace != workspace {
		return nil, false
	}
	return st, true
}

// expire removes a stream at the end of an idle period, unless a reader came before, and cancels its call if that is still running.
func (sr *streamRegistry) expire(st *stream, period int) {
	if !st.endIdlePeriod(period) {
		return
	}
	sr.remove(st)
}

// evict removes a stream whose memory is needed. A reader that comes meanwhile finds it removed.
func (sr *streamRegistry) evict(st *stream) {
	st.mu.Lock()
	removed := st.removed || st.readers > 0
	st.removed = st.removed || !removed
	st.mu.Unlock()
	if !removed {
		sr.remove(st)
	}
}

// remove frees a stream that is marked as removed.
func (sr *streamRegistry) remove(st *stream) {
	sr.mu.Lock()
	delete(sr.byID, st.id)
	sr.mu.Unlock()
	st.cancel()
	st.claim.Close()
}

// readerCount returns the number of readers of all streams.
func (sr *streamRegistry) readerCount() int {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	count := 0
	for _, st := range sr.byID {
		st.mu.Lock()
		count += st.readers
		st.mu.Unlock()
	}
	return count
}
