// Package reply reads the responses that net/http receives, for clients of the platform and of backend servers. Whether a body is complete is decided
// in core/whole.
package reply
