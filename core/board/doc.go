// Package board implements the blackboard of a process: the shared state that its controllers read and update.
//
// A Board holds the configuration in force and the table of known backend servers. It only ensures that the epoch of
// the configuration never decreases; all other decisions are made by the controllers.
package board
