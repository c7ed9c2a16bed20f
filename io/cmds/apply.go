package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"

	"shallotcleat/core/config"
	"shallotcleat/io/object"
	"shallotcleat/io/watch"
)

const applyHelp = `Checks a declarations file, stores it and moves the head row to it. All processes have it in force within
seconds. If another operator's change comes first, this one has no effect and the other is named.

Examples:
  shallotcleat apply --file declarations.yaml --dry-run
  shallotcleat apply --file declarations.yaml --preset ordinary`

// applyCommand holds the settings of a change of the declaration.
type applyCommand struct {
	platformFlags
	File   string `long:"file" env:"SHALLOTCLEAT_FILE" description:"the declarations file"`
	Preset string `long:"preset" env:"SHALLOTCLEAT_PRESET" description:"preset to put in force; without it the present one stays"`
	DryRun bool   `long:"dry-run" env:"SHALLOTCLEAT_DRY_RUN" description:"only show the difference to what is in force"`
}

func (cm *applyCommand) run(ctx context.Context, out io.Writer) error {
	var vd validator
	store, objects := cm.clients(&vd)
	text := vd.readFile("file", cm.File)
	if err := vd.err(); err != nil {
		return err
	}
	dc, err := parseDeclaration(cm.File, text)
	if err != nil {
		return err
	}
	head, version, err := watch.ReadHead(ctx, store)
	if err != nil {
		return err
	}
	preset, err := cm.presetName(dc, head)
	if err != nil {
		return err
	}
	if err := printDiff(ctx, out, objects, head, dc, preset); err != nil || cm.DryRun {
		return err
	}
	hash, err := watch.StoreDeclaration(ctx, objects, text)
	if err != nil {
		return err
	}
	next := head.Next(uuid.NewString()).WithDeclaration(hash).WithPreset(preset)
	return commitHead(ctx, out, store, version, next)
}

// presetName returns the preset that will be in force, which must be declared.
func (cm *applyCommand) presetName(dc *config.Declaration, head config.Head) (string, error) {
	name := cm.Preset
	if name == "" {
		name = head.Preset()
	}
	if name == "" {
		name = dc.Presets()[0].Name()
	}
	if _, ok := dc.Preset(name); !ok {
		return "", undeclaredPresetError(dc, name)
	}
	return name, nil
}

func undeclaredPresetError(dc *config.Declaration, name string) error {
	var vd validator
	declared := ""
	for _, pr := range dc.Presets() {
		declared += pr.Name() + " "
	}
	vd.addProblem("preset", name, "the declared presets: "+declared)
	return vd.err()
}

func printDiff(ctx context.Context, out io.Writer, objects object.Store, head config.Head, dc *config.Declaration, preset string) error {
	var current *config.Declaration
	if head.Epoch() > 0 {
		text, err := watch.ReadDeclaration(ctx, objects, head.Hash())
		if err != nil {
			return err
		}
		current, _ = config.Parse("in force", text)
	}
	lines := config.Diff(current, dc)
	if preset != head.Preset() {
		lines = append(lines, fmt.Sprintf("~ preset in force: %q -> %q", head.Preset(), preset))
	}
	if len(lines) == 0 {
		lines = append(lines, "no difference to what is in force")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("print difference: %w", err)
		}
	}
	return nil
}
