// Package answer defines how a process reports the result of a request that failed: the outcome, an error code, a message
// and the delay before a retry.
//
// It does not depend on HTTP or on the agents' protocol; package entry converts an Error into an HTTP response.
package answer
