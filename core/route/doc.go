// Package route maps a call to its route, workspace and service in the configuration in force. It does no I/O and does not
// select servers.
package route
