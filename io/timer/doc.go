// Package timer is the timer service of running processes.
package timer
