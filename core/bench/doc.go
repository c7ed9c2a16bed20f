// Package bench compares the placement policy with baselines in a discrete-event simulation.
//
// A run generates requests from a seed and sends them to simulated engines in virtual time, either through the real
// chooser of package place or through a baseline policy. Every policy gets the same requests.
//
// An engine prefills one prompt at a time and generates any number of outputs concurrently. It caches prompt pieces in
// an LRU cache of limited size and reports its expected queueing time and its prefill rate with each reply. The network
// is a constant delay. The simulation compares policies; it does not test protocols.
package bench
