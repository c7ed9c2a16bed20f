// Package tend implements the tender, the sidecar process of a model engine. A tender brings its engine to the target version of
// its weights and notifies the gates of the engine's state. It is the engine's holder, the only process whose load orders the
// engine carries out. Requests do not pass through a tender.
package tend
