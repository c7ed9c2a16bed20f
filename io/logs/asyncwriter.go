package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLength bounds the lines that wait to be written.
const queueLength = 4096

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
	as := &AsyncWriter{out: out, lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go as.run()
	return as
}

// Write takes a copy of one line; it never blocks and never fails.
func (as *AsyncWriter) Write(line []byte) (int, error) {
	as.mu.RLock()
	defer as.mu.RUnlock()
	if as.closed {
		return len(line), nil
	}
	select {
	case as.lines <- append([]byte(nil), line...):
	default:
		as.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (as *AsyncWriter) DroppedCount() int64 { return as.dropped.Load() }

// Done is closed when all lines taken before Close have been written.
func (as *AsyncWriter) Done() <-chan struct{} { return as.done }

// Close ends the writer after the lines that wait.
func (as *AsyncWriter) Close() {
	as.mu.Lock()
	defer as.mu.Unlock()
	if !as.closed {
		as.closed = true
		close(as.lines)
	}
}

func (as *AsyncWriter) run() {
	defer close(as.done)
	for line := range as.lines {
		// A line that can't be written has nowhere else to go.
		_, _ = as.out.Write(line)
	}
}
