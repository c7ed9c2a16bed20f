// Package origin records at which software versions streams began, for a while: only servers of that version may continue a stream. A Table holds
// the records of single streams. A History states which versions streams can have begun at, which is enough where there is only one; a Tracker
// keeps it up to date.
//
// It does not send messages; package gate shares records among gates, and keeps the History in the store.
package origin
