// Package drain decides which requests a process may still take while it stops. It does not wait, and ends no requests.
package drain
