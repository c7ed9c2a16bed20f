// Package answer defines the outcome of a request, and the error that a process reports for a request without a result: the
// outcome, an error code, a message and the retry delay.
//
// It does not depend on HTTP or on the agents' protocol; packages entry and gate convert an Error into an HTTP response, and
// package wire into a message.
package answer
