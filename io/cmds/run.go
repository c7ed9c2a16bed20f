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
type subcommand struct {
	name    string
	short   string
	long    string
	command command
}

// listings returns the subcommands in the order of the help text.
func subcommands() []subcommand {
	return []subcommand{
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
	parser.CommandHandler = rejectArguments
	commands := make(map[string]command)
	for _, sc := range subcommands() {
		if _, err := parser.AddCommand(sc.name, sc.short, sc.short+".\n\n"+sc.long, sc.command); err != nil {
			_, _ = fmt.Fprintln(errOut, "shallotcleat:", err)
			return exitFailure
		}
		commands[sc.name] = sc.command
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printParseError(err, out, errOut)
	}
	return execute(ctx, commands[parser.Active.Name], out, errOut)
}

func rejectArguments(_ flags.Commander, arguments []string) error {
	if len(arguments) > 0 {
		return fmt.Errorf("unexpected arguments %q", arguments)
	}
	return nil
}

// explain prints help where it was asked for, and the parser's error otherwise.
func printParseError(err error, out, errOut io.Writer) int {
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
