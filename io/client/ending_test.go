package client

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"testing"

	"shallotcleat/core/head"
	"shallotcleat/core/whole"
)

// endings are errors of a connection and how reading or writing ended with them.
var endings = []struct {
	err  error
	want whole.Ending
}{
	{nil, whole.Finished{}},
	{io.EOF, whole.Finished{}},
	{io.ErrUnexpectedEOF, whole.Cut{}},
	{fmt.Errorf("read header: %w", io.EOF), whole.Cut{}},
	{os.ErrDeadlineExceeded, whole.Interrupted{}},
	{context.DeadlineExceeded, whole.Interrupted{}},
	{context.Canceled, whole.Interrupted{}},
	{syscall.ECONNRESET, whole.Reset{}},
	{syscall.EPIPE, whole.Reset{}},
	{syscall.ECONNABORTED, whole.Reset{}},
	{syscall.ENOTCONN, whole.Reset{}},
	{syscall.ETIMEDOUT, whole.Silent{}},
	{syscall.EHOSTUNREACH, whole.Silent{}},
	{syscall.ENETUNREACH, whole.Silent{}},
	{fmt.Errorf("read header: %w (%w)", new(head.Error), syscall.ECONNRESET), whole.InvalidHead{}},
	{errHeadTooLong, whole.Malformed{}},
}

// errorOf returns an error of a write that ended so.
func errorOf(ending whole.Ending) error {
	for _, en := range endings {
		if en.want == ending {
			return en.err
		}
	}
	return nil
}

// Guards against an error of a connection that passes for a malformed answer, or for an end in good order.
func TestEndingOf(t *testing.T) {
	for _, en := range endings {
		for _, err := range []error{en.err, &ExchangeError{cause: en.err}} {
			if err != en.err && (en.err == nil || en.err == io.EOF) {
				continue
			}
			if got := EndingOf(err); got != en.want {
				t.Errorf("%v: got %s, want %s", err, got, en.want)
			}
		}
	}
}
