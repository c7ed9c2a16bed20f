// Package intake reads what callers and servers send into memory that a memory.Budget accounts for, in pieces that are allocated as
// bytes arrive. It also limits the connections and headers of an HTTP server to the budget. What is refused, and how callers are told,
// is decided by its users.
package intake
