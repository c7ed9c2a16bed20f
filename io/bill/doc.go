// Package bill brings usage records to the object store, in batches, and reads them back.
//
// An entry writes the records of all its answers every few seconds and then confirms them to the agents. An agent keeps
// its own copy until then, and writes what no entry has confirmed. During an outage records wait within a bound; those
// that had to be dropped are counted and reported.
package bill
