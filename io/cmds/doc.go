// Package cmds implements the subcommands of the program and validates their flags.
package cmds
