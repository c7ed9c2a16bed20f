// Package client is an HTTP/1.1 client with a connection pool for backend servers. Unlike net/http's transport it never retries a
// request, distinguishes requests of which no byte was sent from those that may have run, and skips responses that belong to other
// requests. Server selection and retries are left to its caller.
package client
