// Package clock defines the Clock interface for time and periodic calls, and a virtual implementation whose time
// advances only on request.
//
// Package timer implements Clock with the system clock.
package clock
