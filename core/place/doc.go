// Package place chooses the backend servers that a request is sent to.
//
// A Chooser ranks the servers of a service by the expected cost of running the request there: the network, the queueing
// time and the time to compute the part of the prompt that the server has not cached. What a server has cached is a
// hint, learned from replies and from rendezvous hashing, which gives each prefix its home servers; the server's agent
// decides whether it accepts the request.
package place
