package server

import (
	"errors"
	"fmt"
	"net"
)

// NotSentError means that no byte of the request reached the backend server, so that it cannot have run.
type NotSentError struct {
	cause error
}

// Error returns the message with the cause.
func (nse *NotSentError) Error() string {
	return "send request to backend server: " + nse.cause.Error()
}

// Unwrap returns the cause.
func (nse *NotSentError) Unwrap() error { return nse.cause }

// ExchangeError means that the request may have run, but no complete response arrived.
type ExchangeError struct {
	cause error
}

// Error returns the message with the cause.
func (ee *ExchangeError) Error() string {
	return "incomplete response from backend server: " + ee.cause.Error()
}

// Unwrap returns the cause.
func (ee *ExchangeError) Unwrap() error { return ee.cause }

// StatusError means that the backend server refused the request with an HTTP status.
type StatusError struct {
	status int
	body   string
}

// Error returns the message with the HTTP status.
func (se *StatusError) Error() string {
	return fmt.Sprintf("backend server returned status %d", se.status)
}

// Status returns the HTTP status.
func (se *StatusError) Status() int { return se.status }

// Body returns the start of the response body, which may be empty.
func (se *StatusError) Body() string { return se.body }

// classifyError returns a *NotSentError if the connection was not established, else an *ExchangeError.
func classifyError(err error) error {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return &NotSentError{cause: err}
	}
	return &ExchangeError{cause: err}
}
