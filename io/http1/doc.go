// Package http1 sends HTTP/1.1 calls to backend servers over kept connections. Unlike net/http's transport it never sends a
// call twice by itself, tells whether any byte of a call was taken, and passes over answers that belong to other calls. It
// doesn't choose servers and doesn't decide on repeats.
package http1
