// Package stamp implements hybrid logical clocks, which order events of all processes consistently with causality even
// if the wall clocks of their VMs differ.
//
// Callers pass in the wall time; the package does not read a clock.
package stamp
