// Package link provides the DRPC clients through which the processes of the system call each other, over pooled
// connections.
package link
