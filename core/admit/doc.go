// Package admit implements admission control for a backend server: which requests start, in which order, and which are
// refused.
//
// Each agent runs one queue for its backend server, since that is where requests contend. The queue reserves slots for
// short requests, shares the remaining slots fairly between workspaces, and refuses a request at once if it cannot
// start before its deadline. It performs no I/O: the owner acts on its decisions.
package admit
