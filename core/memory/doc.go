// Package memory divides the memory that callers can make a process hold: their connections, headers and bodies, and the responses
// that they read. A Budget counts what is held, by claims that grow as bytes arrive, and decides which claims are refused or evicted
// when memory is short. It holds no buffers itself, reads no sockets and takes the time as an argument.
package memory
