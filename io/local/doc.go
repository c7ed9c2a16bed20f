// Package local runs entries, agents and the fakes of package fake on loopback in one process, for the demo and for
// end-to-end tests.
package local
