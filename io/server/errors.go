package server

import (
	"errors"
	"fmt"
	"net"
)

// NotSentError says that no byte of the call reached the backend server.
type NotSentError struct {
	cause error
}

// Error returns the cause.
func (nse *NotSentError) Error() string { return "backend server not reached: " + nse.cause.Error() }

// Unwrap returns the cause.
func (nse *NotSentError) Unwrap() error { return nse.cause }

// ExchangeError says that the backend server may have run the call, but that its answer is incomplete.
type ExchangeError struct {
	cause error
}

// Error returns the cause.
func (ee *ExchangeError) Error() string { return "backend server broke off: " + ee.cause.Error() }

// Unwrap returns the cause.
func (ee *ExchangeError) Unwrap() error { return ee.cause }

// StatusError says that the backend server refused the call.
type StatusError struct {
	status int
	body   string
}

// Error returns the HTTP status.
func (se *StatusError) Error() string { return fmt.Sprintf("backend server answered %d", se.status) }

// Status returns the HTTP status.
func (se *StatusError) Status() int { return se.status }

// Body returns the backend server's text.
func (se *StatusError) Body() string { return se.body }

// callError tells a connection that was never made from one that broke.
func callError(err error) error {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return &NotSentError{cause: err}
	}
	return &ExchangeError{cause: err}
}
