package client

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"

	"shallotcleat/core/head"
	"shallotcleat/core/whole"
)

// EndingOf returns how reading an answer ended with err, which is nil or io.EOF at the end of its body, or how writing a request did.
func EndingOf(err error) whole.Ending {
	var errno syscall.Errno
	var he *head.Error
	switch {
	case err == nil || err == io.EOF:
		return whole.Finished{}
	case errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH):
		return whole.Silent{}
	case errors.As(err, &he):
		return whole.InvalidHead{}
	case errors.As(err, &errno):
		return whole.Reset{}
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return whole.Interrupted{}
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return whole.Cut{}
	}
	return whole.Malformed{}
}
