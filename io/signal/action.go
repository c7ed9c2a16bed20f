package signal

import (
	"os"
	"syscall"
)

// Action is what a signal does to a serving process: Stop, Ignore or Discard.
type Action interface{ isAction() }

// Stop begins the graceful stop; it does nothing once that has begun.
type Stop struct{}

// Ignore reports the signal and changes nothing.
type Ignore struct{}

// Discard drops the signal without a report: the error of the write that raised SIGPIPE is the report.
type Discard struct{}

func (Stop) isAction()    {}
func (Ignore) isAction()  {}
func (Discard) isAction() {}

// actions has the signals that would otherwise end a process that nothing asked to end, and those that ask it to. All others are left alone.
var actions = map[os.Signal]Action{
	syscall.SIGTERM: Stop{},
	syscall.SIGINT:  Stop{},
	syscall.SIGHUP:  Ignore{},
	syscall.SIGPIPE: Discard{},
}

// serving has the subcommands that serve until they are told to stop.
var serving = map[string]bool{"entry": true, "agent": true, "gate": true, "tender": true}

// IsServing reports whether a subcommand serves until it is told to stop.
func IsServing(subcommand string) bool { return serving[subcommand] }
