// Package fake implements in-memory fakes of the external services that the program depends on: model engines, plain
// services, the table service, the object store and the list of VMs.
//
// The fakes are HTTP handlers that serve the protocols of the clients in packages server, table, object and vmlist.
// Their methods inject the failures that tests need. Only tests and the demo use this package.
package fake
