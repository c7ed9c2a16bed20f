// Package member holds an entry process's view of the backend servers: their addresses and zones, and the load,
// incarnations and leaving flag that their agents last reported.
//
// A View is immutable. A Table publishes successive views and is their only writer. Package place decides which server
// a request goes to.
package member
