// Command standin-2 plays the cases of the second review against the project's own programs. It exits with 1 if a rule was broken, 0 if it held and 2
// if the case could not run. TROUBLE=0 leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by their numbers. Each reports whether the rule held.
var cases = map[string]func(sy *system, trouble bool) bool{
	"parts":       longPartLists,
	"wall":        isolatedTenant,
	"descriptors": manyConnections,
	"models":      manyModels,
	"versions":    softwareVersions,
}

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(sy *system, trouble bool) bool, path string) (code int) {
	var sy *system
	var rc *recorder
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, cause)
			code = 2
		}
		if sy != nil {
			sy.close()
		}
		if rc != nil {
			rc.close()
		}
	}()
	go startCommands()
	rc = newRecorder(path)
	sy = newSystem(rc)
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	held := make(chan bool, 1)
	failed := make(chan any, 1)
	go func() {
		defer func() {
			if cause := recover(); cause != nil {
				failed <- cause
			}
		}()
		held <- run(sy, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case ok := <-held:
		if ok {
			rc.sayf("the rule held")
			return 0
		}
		rc.sayf("the rule was broken")
		return 1
	case cause := <-failed:
		panic(cause)
	case <-interrupts:
		panic("interrupted")
	case <-time.After(maxDuration):
		panic("the case took too long")
	}
}
