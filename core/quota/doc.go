// Package quota divides the limit that a server names, in requests per second of all processes together, into slots. A Dispenser in one
// process gives the slots of a server out in a schedule, and a Stock in each process holds the slots that it has got, asks for more as the
// process wants to use the server, and lets one request pass for each. It
// also divides the limits of workspaces, in tokens or requests per second with a burst: a Dispenser keeps the balance, and a Stock holds an allowance and
// asks for more ahead of need. It sends no messages.
package quota
