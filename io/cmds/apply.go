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

const applyHelp = `Validates a declarations file, stores it and points the head row to it. All
processes switch to it within seconds. If another operator's change commits
first, this one has no effect and the error names the other.

Examples:
  shallotcleat apply --file declarations.yaml --dry-run
  shallotcleat apply --file declarations.yaml --preset ordinary`

// applyCommand puts a declarations file in force.
type applyCommand struct {
	platformFlags
	File   string `long:"file" env:"SHALLOTCLEAT_FILE" description:"path of the declarations file"`
	Preset string `long:"preset" env:"SHALLOTCLEAT_PRESET" description:"preset to switch to; if empty, the preset in force is kept"`
	DryRun bool   `long:"dry-run" env:"SHALLOTCLEAT_DRY_RUN" description:"only print the difference to the configuration in force"`
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

// presetName returns the preset to put in force: --preset, else the preset in force, else the first one declared. It fails
// if dc does not declare the preset.
func (cm *applyCommand) presetName(dc *config.Declaration, head config.Head) (string, error) {
	name := cm.Preset
	if name == "" {
		name = head.Preset()
	}
	if name == "" {
		name = dc.Presets()[0].Name()
	}
	if _, ok := dc.Preset(name); !ok {
		return "", undeclaredPresetError("preset", dc, name)
	}
	return name, nil
}

// undeclaredPresetError returns a *SettingsError for the preset in a flag that lists the declared presets.
func undeclaredPresetError(flag string, dc *config.Declaration, name string) error {
	var vd validator
	declared := ""
	for _, pr := range dc.Presets() {
		declared += pr.Name() + " "
	}
	vd.addProblem(flag, name, "one of the declared presets: "+declared)
	return vd.err()
}

// printDiff prints what differs between the configuration in force and dc with the given preset. It prints the problems of a
// declaration in force that is invalid, which must not keep another one from being applied; all of dc then counts as added.
func printDiff(ctx context.Context, out io.Writer, objects object.Store, head config.Head, dc *config.Declaration, preset string) error {
	var current *config.Declaration
	var lines []string
	if head.Epoch() > 0 {
		text, err := watch.ReadDeclaration(ctx, objects, head.Hash())
		if err != nil {
			return err
		}
		var problems []config.Problem
		current, problems = config.Parse("declaration in force", text)
		for _, pb := range problems {
			lines = append(lines, "! "+pb.Error())
		}
	}
	lines = append(lines, config.Diff(current, dc)...)
	if preset != head.Preset() {
		lines = append(lines, fmt.Sprintf("~ preset in force: %q -> %q", head.Preset(), preset))
	}
	if len(lines) == 0 {
		lines = append(lines, "no difference to the configuration in force")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("print difference: %w", err)
		}
	}
	return nil
}
