// Package bill stores usage records in the object store for billing, in batches, and reads them back.
//
// An entry writes the records of all its requests every few seconds and then confirms them to the agents. An agent
// keeps its own copy until then, and writes the records that no entry has confirmed. While the object store is
// unavailable, a bounded number of records is buffered; dropped records are counted and reported.
package bill
