// Package route maps a call to its route, workspace and service in the current configuration. It does no I/O and does not
// select servers.
package route
