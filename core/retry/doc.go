// Package retry limits the load that a process adds by retrying requests, and the time that it spends on calls to a
// service that is down.
package retry
