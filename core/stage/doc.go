// Package stage decides which engines of a service read long prompts and which ones run streams whose prompts were read, and when
// handing a stream over from one to another pays. It does no I/O, keeps no locks and does not choose servers.
package stage
