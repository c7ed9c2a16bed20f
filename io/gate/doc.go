// Package gate is an HTTP reverse proxy: it routes and authenticates callers' requests, sends them to a backend server, retries
// failed attempts where that is safe, and relays the response. A Dialect defines the platform's header names and row formats;
// server selection and retry budgets are implemented in core/pick and core/retry.
package gate
