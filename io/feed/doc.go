// Package feed keeps read-only copies of small tables. A Follower updates a copy from the table's source, Pull fetches newer
// copies from peers while the source is unavailable, and a PullServer serves copies to peers. The package does not decode
// the values of rows.
package feed
