// Package probe finds out whether a server still runs after it closed a connection. What follows from that for an answer is decided in core/whole.
package probe
