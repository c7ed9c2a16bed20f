// Package zone decides which share of a service's calls leaves the availability zone, and to which zones it goes. A Decider follows the
// loads of the zones as the servers' reports describe them; a Price is the cost of a hop. All gates of a zone get the same reports and
// decide alike without messages. The package does not choose servers and sends nothing.
package zone
