package answer

import (
	"fmt"
	"time"
)

// Outcome reports whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// Done means that the request ran and the response carries its result.
	Done Outcome = "done"
	// NotRun means that the request did not run, and that no request with its idempotency key had run at the time of the response.
	NotRun Outcome = "not_run"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "unknown"
)

// Code is the machine-readable reason of an error.
type Code string

// Error codes, as callers and agents receive them.
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
	NotResumableYet        Code = "not_resumable_yet"
	CrashingRequest        Code = "crashing_request"
	LimitExceeded          Code = "limit_exceeded"
	MemoryShort            Code = "memory_short"
)

// Error is the reason why a request has no result. It is immutable.
type Error struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// NewError returns an error with a formatted message. A retryAfter of zero means that a retry does not help.
func NewError(code Code, outcome Outcome, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, retryAfter: retryAfter, message: fmt.Sprintf(format, args...)}
}

// Error returns the code and the message.
func (er *Error) Error() string { return string(er.code) + ": " + er.message }

// Code returns the machine-readable reason.
func (er *Error) Code() Code { return er.code }

// Outcome reports whether the request ran.
func (er *Error) Outcome() Outcome { return er.outcome }

// Message returns the human-readable reason.
func (er *Error) Message() string { return er.message }

// RetryAfter returns the retry delay, or zero if a retry does not help.
func (er *Error) RetryAfter() time.Duration { return er.retryAfter }
