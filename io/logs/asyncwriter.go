package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLength bounds the lines that wait to be written.
const maxQueuedLines = 4096

// Async passes lines on to a writer without ever making their author wait: when too many wait, new ones are dropped and
// counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu guards closed, so that no line is sent to a closed channel.
	mu     sync.RWMutex
	closed bool
}

// NewAsync returns a writer in front of another one; Close must be called.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	aw := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go aw.run()
	return aw
}

// Write takes a copy of one line; it never blocks and never fails.
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

// Dropped returns how many lines were dropped.
func (aw *AsyncWriter) DroppedCount() int64 { return aw.dropped.Load() }

// Done is closed when all lines taken before Close have been written.
func (aw *AsyncWriter) Done() <-chan struct{} { return aw.done }

// Close ends the writer after the lines that wait.
func (aw *AsyncWriter) Close() {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	if !aw.closed {
		aw.closed = true
		close(aw.lines)
	}
}

func (aw *AsyncWriter) run() {
	defer close(aw.done)
	for line := range aw.lines {
		// A line that can't be written has nowhere else to go.
		_, _ = aw.out.Write(line)
	}
}
