// Package feed keeps read-only copies of small tables: it follows them at their source, takes later copies from peers while
// the source does not answer, and hands its own copies on. What the rows say is decoded elsewhere.
package feed
