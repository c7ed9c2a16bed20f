// Package trace records the timeline events, log lines and metrics of a process.
//
// Each event has a hybrid logical timestamp and a request id. A process keeps its latest events in a ring buffer; the timeline
// command fetches and merges the events of all processes.
package trace
