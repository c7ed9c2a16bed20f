// Package timer implements clock.Clock with the system clock.
package timer
