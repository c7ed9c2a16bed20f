package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/google/uuid"

	"shallotcleat/core/config"
	"shallotcleat/io/table"
	"shallotcleat/io/watch"
)

const presetHelp = `Switches the head row to another preset of the declaration in force. Each
request uses one preset from start to end.

Example:
  shallotcleat preset --name peak --table http://10.0.0.5:9001`

// presetCommand switches the preset.
type presetCommand struct {
	platformFlags
	Name string `long:"name" env:"SHALLOTCLEAT_PRESET" description:"preset to switch to"`
}

func (cm *presetCommand) run(ctx context.Context, out io.Writer) error {
	var vd validator
	store, objects := cm.clients(&vd)
	vd.name("name", cm.Name)
	if err := vd.err(); err != nil {
		return err
	}
	head, version, err := currentHead(ctx, store)
	if err != nil {
		return err
	}
	text, err := watch.ReadDeclaration(ctx, objects, head.Hash())
	if err != nil {
		return err
	}
	dc, err := parseDeclaration("declaration in force", text)
	if err != nil {
		return err
	}
	if _, ok := dc.Preset(cm.Name); !ok {
		return undeclaredPresetError("name", dc, cm.Name)
	}
	return commitHead(ctx, out, store, version, head.Next(uuid.NewString()).WithPreset(cm.Name))
}

// currentHead returns the head and the version of its row. It fails if no configuration was ever applied.
func currentHead(ctx context.Context, store table.Store) (config.Head, uint64, error) {
	head, version, err := watch.ReadHead(ctx, store)
	if err != nil {
		return head, 0, err
	}
	if head.Epoch() == 0 {
		return head, 0, fmt.Errorf("no configuration in force; run apply first")
	}
	return head, version, nil
}

// commitHead replaces the head, whose row must still have the given version, and prints the new epoch.
func commitHead(ctx context.Context, out io.Writer, store table.Store, version uint64, next config.Head) error {
	if err := watch.ReplaceHead(ctx, store, version, next); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "epoch %d accepted: preset %q, change %s\n", next.Epoch(), next.Preset(), next.Change())
	return err
}
