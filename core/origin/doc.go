// Package origin records at which software version streams began, for a while: only servers of that version may continue a stream.
//
// It does not send messages; package gate shares records among gates.
package origin
