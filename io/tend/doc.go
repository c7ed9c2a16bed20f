// Package tend implements the tender, the sidecar process of a model engine. A tender brings its engine to the newest weights, as the
// only holder that gives the engine orders, and notifies the gates which weights it has. Requests do not pass through a tender.
package tend
