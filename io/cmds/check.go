package cmds

import (
	"context"
	"fmt"
	"io"

	"shallotcleat/core/config"
)

const checkHelp = `Validates a declarations file and prints each problem with its file and line.

Example:
  shallotcleat check --file declarations.yaml`

// checkCommand validates a declarations file.
type checkCommand struct {
	File string `long:"file" env:"SHALLOTCLEAT_FILE" description:"path of the declarations file"`
}

func (cm *checkCommand) run(_ context.Context, out io.Writer) error {
	var vd validator
	text := vd.readFile("file", cm.File)
	if err := vd.err(); err != nil {
		return err
	}
	dc, err := parseDeclaration(cm.File, text)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s is valid: %d workspaces, %d services, %d presets\n",
		cm.File, len(dc.Workspaces()), len(dc.Services()), len(dc.Presets()))
	return err
}

// parseDeclaration returns the declaration in text, or a *SettingsError with all its problems; fileName is used in their
// messages.
func parseDeclaration(fileName string, text []byte) (*config.Declaration, error) {
	dc, problems := config.Parse(fileName, text)
	if len(problems) == 0 {
		return dc, nil
	}
	se := &SettingsError{}
	for _, pb := range problems {
		se.problems = append(se.problems, pb.Error())
	}
	return nil, se
}
