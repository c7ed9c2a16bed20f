// Package tend is the process beside a model engine: it brings the engine to the newest weights, as the one holder that gives
// it orders, and tells the gates which weights it has. No request passes through it.
package tend
