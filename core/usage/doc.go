// Package usage defines the usage records of requests and aggregates them into charges, so that each request is charged once.
//
// An entry and an agent each write a record of the same request; one of them is enough to charge it. Package bill writes the
// records to the object store.
package usage
