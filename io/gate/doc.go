// Package gate forwards callers' HTTP requests to backend servers by routes: it authenticates, chooses a server, sends the
// request there, repeats what may be repeated and passes the answer on. Names of headers and rows are left to a Dialect;
// choices and budgets are made in core/pick and core/retry.
package gate
