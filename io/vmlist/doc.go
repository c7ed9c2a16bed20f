// Package vmlist is the client of the platform's list of running and leaving VMs. The list lags behind the actual state.
//
// A platform with another protocol needs only another implementation of the interface Lister.
package vmlist
