// Package fake holds small stand-ins for what the platform and the users bring: a model engine, a plain service, the
// table service, the object store and the list of VMs.
//
// They serve the same protocols as the real ones towards the clients of packages server, table, object and vmlist, and
// they have switches for the failures that tests provoke. They are for tests and for the demo only.
package fake
