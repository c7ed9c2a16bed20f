package logs

import (
	"errors"
	"testing"
	"time"
)

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no reader") }

// Guards against lines that are lost without a trace: those that cannot be written, for example since the log's reader has gone, count as dropped.
func TestFailedWritesCountAsDropped(t *testing.T) {
	aw := NewAsyncWriter(failingWriter{})
	for range 5 {
		if n, err := aw.Write([]byte("line\n")); n != 5 || err != nil {
			t.Errorf("got %d, %v", n, err)
		}
	}
	aw.Close()
	<-aw.Done()
	if got := aw.DroppedCount(); got != 5 {
		t.Errorf("%d lines count as dropped, want 5", got)
	}
}

type stuckWriter chan struct{}

func (sw stuckWriter) Write(line []byte) (int, error) {
	<-sw
	return len(line), nil
}

// Guards against a process that does not end since the reader of its log has stopped reading.
func TestFlushIsBounded(t *testing.T) {
	stuck := make(stuckWriter)
	aw := NewAsyncWriter(stuck)
	_, _ = aw.Write([]byte("line\n"))
	aw.Flush(time.Millisecond)
	select {
	case <-aw.Done():
		t.Error("the line was written")
	default:
	}
	close(stuck)
	<-aw.Done()
}
