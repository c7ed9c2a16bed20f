// Package runs keeps what a process knows of the run of each backend server, that is of one start of the server's process: which run is the current one,
// when it was last certain to be running, by which evidence, and which event came after that which may have ended it. A server may start again under its id
// and at its address with other software, so that neither identifies a run. The package asks nobody; what follows from doubt is decided elsewhere.
package runs
