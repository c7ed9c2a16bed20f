package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand; its exported fields are flags.
type command interface {
	// run carries the command out; it returns a *SettingsError if the settings are wrong.
	run(ctx context.Context, out io.Writer) error
}

// listing describes a subcommand to the parser.
type listing struct {
	name    string
	short   string
	long    string
	command command
}

// listings returns the subcommands in the order of the help text.
func listings() []listing {
	return []listing{
		{"entry", "Serve callers on an entry VM", entryHelp, &entryCommand{}},
		{"agent", "Serve one backend server from the slot beside it", agentHelp, &agentCommand{}},
		{"gate", "Forward callers' requests by routes", gateHelp, &gateCommand{}},
		{"tender", "Keep the weights of the engine beside it", tenderHelp, &tenderCommand{}},
		{"check", "Check a declarations file", checkHelp, &checkCommand{}},
		{"apply", "Put a declarations file in force", applyHelp, &applyCommand{}},
		{"preset", "Put a preset in force", presetHelp, &presetCommand{}},
		{"server", "Add or retire a backend server", serverHelp, &serverCommand{}},
		{"status", "Show what processes know", statusHelp, &statusCommand{}},
		{"timeline", "Show the events of a request over all processes", timelineHelp, &timelineCommand{}},
		{"bench", "Compare placement with baselines in virtual time", benchHelp, &benchCommand{}},
		{"demo", "Run the whole path on loopback and check every answer", demoHelp, &demoCommand{}},
	}
}

// Run parses the arguments, carries the subcommand out and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser := flags.NewNamedParser("shallotcleat", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "router for language-model traffic with long shared prompts"
	parser.CommandHandler = refuseRest
	chosen := make(map[string]command)
	for _, ls := range listings() {
		if _, err := parser.AddCommand(ls.name, ls.short, ls.short+".\n\n"+ls.long, ls.command); err != nil {
			_, _ = fmt.Fprintln(errOut, "shallotcleat:", err)
			return exitFailure
		}
		chosen[ls.name] = ls.command
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return explain(err, out, errOut)
	}
	return execute(ctx, chosen[parser.Active.Name], out, errOut)
}

func refuseRest(_ flags.Commander, rest []string) error {
	if len(rest) > 0 {
		return fmt.Errorf("unexpected arguments %q", rest)
	}
	return nil
}

// explain prints help where it was asked for, and the parser's error otherwise.
func explain(err error, out, errOut io.Writer) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, err)
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	return exitUsage
}

func execute(ctx context.Context, cm command, out, errOut io.Writer) int {
	err := cm.run(ctx, out)
	var se *SettingsError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &se):
		_, _ = fmt.Fprintln(errOut, se)
		return exitUsage
	}
	_, _ = fmt.Fprintln(errOut, "shallotcleat:", err)
	return exitFailure
}
