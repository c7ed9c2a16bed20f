// Package share measures how much of the work each workspace causes, so that one that floods the system is the first to be
// rejected under load. It rejects nothing by itself.
package share
