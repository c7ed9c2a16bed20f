// Package object is the client of the platform's object store, which keeps immutable objects by name.
//
// A platform with another protocol needs only another implementation of the interface Store.
package object
