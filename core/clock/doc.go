// Package clock is the timer service that parts subscribe to, and its virtual form in which time passes only when it
// is told to.
//
// The form for running processes is in package timer.
package clock
