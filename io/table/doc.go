// Package table is the client of the platform's transactional table service.
//
// A platform with another protocol needs only another implementation of the interface Store. HTTP implements it with JSON
// over HTTP, which package fake serves in tests and local runs.
package table
