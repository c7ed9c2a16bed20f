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

const presetHelp = `Moves the head row to another preset of the declaration in force. Each request runs under exactly one preset.

Example:
  shallotcleat preset --name peak --table http://10.0.0.5:9001`

// presetCommand holds the settings of a switch of the preset.
type presetCommand struct {
	platformFlags
	Name string `long:"name" env:"SHALLOTCLEAT_PRESET" description:"preset to put in force"`
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
	dc, err := parseDeclaration("in force", text)
	if err != nil {
		return err
	}
	if _, ok := dc.Preset(cm.Name); !ok {
		return undeclaredPresetError(dc, cm.Name)
	}
	return commitHead(ctx, out, store, version, head.Next(uuid.NewString()).WithPreset(cm.Name))
}

// headInForce returns the head and its row's version; there must have been a first change.
func currentHead(ctx context.Context, store table.Store) (config.Head, uint64, error) {
	head, version, err := watch.ReadHead(ctx, store)
	if err != nil {
		return head, 0, err
	}
	if head.Epoch() == 0 {
		return head, 0, fmt.Errorf("nothing is in force yet; use apply first")
	}
	return head, version, nil
}

// moveHead makes a change and says so.
func commitHead(ctx context.Context, out io.Writer, store table.Store, version uint64, next config.Head) error {
	if err := watch.ReplaceHead(ctx, store, version, next); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "epoch %d is accepted: preset %q, change %s\n", next.Epoch(), next.Preset(), next.Change())
	return err
}
