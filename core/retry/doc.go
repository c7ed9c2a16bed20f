// Package retry bounds the load that a process adds by sending requests again, and the time that it loses to a service
// that is down.
package retry
