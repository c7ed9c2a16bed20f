package client

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"shallotcleat/core/whole"
)

// socket is a connection whose end counts as one in good order only if neither reading nor writing has met an error. The kernel reports an error of
// a connection once, to whichever call comes first; if that is a write of a long request, reading then ends as if the server had closed the
// connection.
type socket struct {
	net.Conn
	// mu is held during a write, and guards failure, the first error of one.
	mu      sync.Mutex
	failure error
}

// WriteError means that the connection failed while the request was being written, and that reading the answer met its end only because of that.
type WriteError struct{ cause error }

// Error implements error.
func (we *WriteError) Error() string { return "connection failed while writing: " + we.cause.Error() }

// Unwrap returns the cause.
func (we *WriteError) Unwrap() error { return we.cause }

// past is a deadline that ends pending calls.
var past = time.Unix(1, 0)

// Read implements net.Conn. At the end of the connection it fails with a *WriteError if a write has failed.
func (so *socket) Read(buffer []byte) (int, error) {
	count, err := so.Conn.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	// A pending write may have been told already, without having returned. No answer needs the rest of its request.
	if err := so.SetWriteDeadline(past); err != nil {
		return count, fmt.Errorf("end pending write: %w", err)
	}
	so.mu.Lock()
	defer so.mu.Unlock()
	if whole.Combine(whole.Finished{}, EndingOf(so.failure)) != (whole.Finished{}) {
		return count, &WriteError{cause: so.failure}
	}
	return count, io.EOF
}

// Write implements net.Conn.
func (so *socket) Write(text []byte) (int, error) {
	so.mu.Lock()
	defer so.mu.Unlock()
	count, err := so.Conn.Write(text)
	so.recordFailure(err)
	return count, err
}

// writeAll writes all parts with one system call, without a copy of them, unless they are too long for one.
func (so *socket) writeAll(parts net.Buffers) error {
	so.mu.Lock()
	defer so.mu.Unlock()
	if _, err := parts.WriteTo(so.Conn); err != nil {
		so.recordFailure(err)
		return fmt.Errorf("write request: %w", err)
	}
	return nil
}

// recordFailure records the error of a write. The first one counts: later writes fail since the connection is lost, or since Read has ended them.
func (so *socket) recordFailure(err error) {
	if so.failure == nil {
		so.failure = err
	}
}
