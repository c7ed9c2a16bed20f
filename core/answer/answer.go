package answer

import (
	"fmt"
	"time"
)

// Outcome is what is certain about the execution of a request.
type Outcome string

// The outcomes that an answer may name.
const (
	// Done means that the request ran and the answer carries its result.
	Done Outcome = "done"
	// NotRun means that nothing ran under this request, nor under its idempotency key at the time of the answer.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code names the reason of an error in a form that programs can compare.
type Code string

// The codes of errors that callers and agents see.
const (
	BadRequest             Code = "bad_request"
	Unauthorized           Code = "unauthorized"
	NotFound               Code = "not_found"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	IdempotencyKeyReused   Code = "idempotency_key_reused"
	BodyTooLarge           Code = "body_too_large"
	Overloaded             Code = "overloaded"
	Leaving                Code = "leaving"
	DeadlineExceeded       Code = "deadline_exceeded"
	StaleEpoch             Code = "stale_epoch"
	StaleCache             Code = "stale_cache"
	StaleWeights           Code = "stale_weights"
	NoBackendServer        Code = "no_backend_server"
	TableUnavailable       Code = "table_unavailable"
	ServerUnreachable      Code = "backend_server_unreachable"
	ServerFailed           Code = "backend_server_failed"
	AgentUnreachable       Code = "agent_unreachable"
	StillRunning           Code = "still_running"
	StreamBroken           Code = "stream_broken"
	NotConfigured          Code = "not_configured"
	NotResumable           Code = "not_resumable"
)

// Error is the reason why a request was not answered with a result.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// NewError returns an error; a retryAfter of zero means that coming back does not help.
func NewError(code Code, outcome Outcome, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// Error returns the code and the message.
func (er *Error) Error() string { return string(er.code) + ": " + er.message }

// Code returns the reason as a constant.
func (er *Error) Code() Code { return er.code }

// Outcome returns what is certain about the execution.
func (er *Error) Outcome() Outcome { return er.outcome }

// Message returns the reason in words.
func (er *Error) Message() string { return er.message }

// RetryAfter returns how long the caller should wait before it asks again, or zero if that does not help.
func (er *Error) RetryAfter() time.Duration { return er.retryAfter }
