// Package head decides whether what a server sent is the head of an answer by RFC 9112: its status line, the names and values of its fields, and
// where it ends. It does no I/O, keeps none of what it scans, and does not interpret fields, but for one that the answer's version of HTTP does not
// have. The lengths and chunks that a valid head states are read by net/http.
package head
