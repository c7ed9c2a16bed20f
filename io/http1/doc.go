// Package http1 is an HTTP/1.1 client with a connection pool for backend servers. Unlike net/http's transport it never retries a
// request, reports whether any byte of a request was sent, and skips responses that belong to other requests. Server selection
// and retries are left to its caller.
package http1
