// Package order implements the protocol that runs an order, a call that must not be repeated, at most once.
//
// Attempt is the state machine of the entry: it handles one request of one caller for one order. Ledger is the state
// machine of the agent: it tracks the tickets that the agent has granted. Both are deterministic and do no I/O: they
// take typed events, or the current time as an argument, and return typed effects or reports. The specification for
// the model checker is in model/order.pml.
//
// Invariants of the protocol:
//
//   - An agent runs an order only against a live ticket, and a ticket is redeemed at most once.
//   - A ticket is redeemed only by the attempt that it was granted to, and only after the intent row that names it
//     is committed.
//   - Another attempt takes over a row only after the agent that granted the row's ticket has voided it, and only if
//     the row still has the version that was read before.
//   - An agent keeps an answer until the row is done.
package order
