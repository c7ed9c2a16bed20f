// Package signal decides what each signal does to a process of the program that serves until it is told to stop: entries, agents, gates and
// tenders. It takes over the signals as the package is initialized, before main, and never gives them back, so that none of them gets its default
// action back while the process still runs:
//
//   - SIGTERM and SIGINT stop the process gracefully; further ones change nothing.
//   - SIGHUP changes nothing, since settings are read at the start of the process only.
//   - SIGPIPE changes nothing: whoever reads the log may go away.
//   - SIGQUIT, SIGABRT and signals that report a fault of the process end it with a stack dump; they keep the action of the Go runtime, as does
//     SIGKILL that of the system.
//   - Others change nothing, by the Go runtime.
//
// Commands that only run for a moment keep the default actions: they end with their terminal or with the reader of their output.
package signal
