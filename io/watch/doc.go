// Package watch brings configurations in force: it stores an operator's change, and it spreads the head from the
// table and between processes.
//
// Every process offers what it learns to its board, which never goes back to a lower epoch. A process learns of a
// change from whichever comes first: the table, a peer, polled round robin, or a message of the data path.
package watch
