// Package timer implements clock.Service with the system clock.
package timer
