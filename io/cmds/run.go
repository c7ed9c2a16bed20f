package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	ossignal "os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"shallotcleat/io/signal"
	"shallotcleat/platform"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is the implementation of a subcommand, a tool or a role; its exported fields are flags.
type command any

// tool is a command that runs for a moment. The default actions of signals end it, but SIGINT and SIGTERM cancel its context.
type tool interface {
	// run executes the subcommand and prints its results to out. It returns a *SettingsError if a flag or a
	// declarations file is invalid.
	run(ctx context.Context, out io.Writer) error
}

// role is a command that serves until it is told to stop. Package signal decides what signals do to it; signal.IsServing has its name.
type role interface {
	// serve serves until ctx is done, then stops gracefully. It returns a *SettingsError if a flag is invalid.
	serve(ctx context.Context, ct *signal.Control) error
}

// subcommand describes a subcommand to the flag parser.
type subcommand struct {
	name    string
	short   string
	long    string
	command command
}

// subcommands returns all subcommands. The help text lists them in alphabetical order.
func subcommands() []subcommand {
	return []subcommand{
		{"entry", "Serve callers on an entry VM", entryHelp, &entryCommand{}},
		{"agent", "Admit requests to one backend server", agentHelp, &agentCommand{}},
		{"gate", "Forward callers' requests to backend servers by route", gateHelp, &gateCommand{}},
		{"tender", "Keep the weights of one model engine up to date", tenderHelp, &tenderCommand{}},
		{"check", "Validate a declarations file", checkHelp, &checkCommand{}},
		{"apply", "Apply a declarations file", applyHelp, &applyCommand{}},
		{"preset", "Switch to another preset", presetHelp, &presetCommand{}},
		{"server", "Add or retire a backend server", serverHelp, &serverCommand{}},
		{"status", "Show the configuration and servers that processes know", statusHelp, &statusCommand{}},
		{"timeline", "Show the events of a request across processes", timelineHelp, &timelineCommand{}},
		{"explain", "Say where a gate would send a request and why", explainHelp, &explainCommand{}},
		{"bench", "Compare the placement policy with baselines in virtual time", benchHelp, &benchCommand{}},
		{"demo", "Run the whole system on loopback and check every response", demoHelp, &demoCommand{}},
	}
}

// Run parses the arguments, executes the subcommand and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
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
	if err := loadSettingsFile(os.Getenv(platform.SettingsFileVariable)); err != nil {
		_, _ = fmt.Fprintln(errOut, "shallotcleat:", err)
		return exitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printParseError(err, out, errOut)
	}
	return execute(commands[parser.Active.Name], out, errOut)
}

// rejectArguments is the parser's command handler. It does not execute the subcommand; it only rejects positional
// arguments, which no subcommand takes.
func rejectArguments(_ flags.Commander, arguments []string) error {
	if len(arguments) > 0 {
		return fmt.Errorf("unexpected arguments %q", arguments)
	}
	return nil
}

// printParseError prints the help text if it was requested, and the parser's error otherwise. It returns the exit code.
func printParseError(err error, out, errOut io.Writer) int {
	var fe *flags.Error
	if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, err)
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	return exitUsage
}

func execute(cm command, out, errOut io.Writer) int {
	err := runCommand(cm, out)
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

// errUnknownCommand means that a subcommand is neither a tool nor a role.
var errUnknownCommand = errors.New("the subcommand is neither a tool nor a role")

func runCommand(cm command, out io.Writer) error {
	switch cm := cm.(type) {
	case role:
		ct := signal.Start()
		defer ct.Close()
		return cm.serve(ct.Context(), ct)
	case tool:
		ctx, stop := ossignal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return cm.run(ctx, out)
	}
	return errUnknownCommand
}
