// Package watch distributes configurations: it stores an operator's change in the table, and propagates the head from the
// table to all processes and between them.
//
// Each process passes every configuration that it receives to its board, which never adopts a lower epoch. A process learns
// of a change from the first of these sources: the table, an exchange with a randomly chosen peer, or a message of the data
// path.
package watch
