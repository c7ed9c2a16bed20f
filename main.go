// Shallotcleat routes language-model requests with long shared prompts, and plain calls that may run at most once.
package main

import (
	"os"

	"shallotcleat/io/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
}
