package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the queue of lines to be written.
const maxQueuedLines = 4096

// AsyncWriter queues lines for a slower writer and never blocks the caller. Lines that do not fit into the queue or cannot be written are dropped
// and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu guards closed, so that no line is sent on a closed channel.
	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter starts a goroutine that writes lines to out. The caller must call Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	aw := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go aw.run()
	return aw
}

// Write queues a copy of one line. It never blocks and never fails; lines after Close are discarded.
func (aw *AsyncWriter) Write(line []byte) (int, error) {
	aw.mu.RLock()
	defer aw.mu.RUnlock()
	if aw.closed {
		return len(line), nil
	}
	select {
	case aw.lines <- append([]byte(nil), line...):
	default:
		aw.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedCount returns the number of lines dropped because the queue was full or the writer failed, for example since the log's reader has gone.
func (aw *AsyncWriter) DroppedCount() int64 { return aw.dropped.Load() }

// Done returns a channel that is closed when all lines queued before Close have been written.
func (aw *AsyncWriter) Done() <-chan struct{} { return aw.done }

// Close stops the writer after the queued lines; it does not wait for them.
func (aw *AsyncWriter) Close() {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	if !aw.closed {
		aw.closed = true
		close(aw.lines)
	}
}

// Flush closes the writer and waits until the queued lines have been written, at most for the given duration.
func (aw *AsyncWriter) Flush(limit time.Duration) {
	aw.Close()
	expired := time.NewTimer(limit)
	defer expired.Stop()
	select {
	case <-aw.done:
	case <-expired.C:
	}
}

func (aw *AsyncWriter) run() {
	defer close(aw.done)
	for line := range aw.lines {
		if _, err := aw.out.Write(line); err != nil {
			// There is no other place to report the error; the count is a metric.
			aw.dropped.Add(1)
		}
	}
}
