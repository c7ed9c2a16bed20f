package cmds

import (
	"context"
	"io"
	"slices"

	"github.com/google/uuid"

	"shallotcleat/core/config"
)

const serverHelp = `Adds a backend server that is not in the VM list, retires one, or reinstates a
retired one. Within seconds, a retired server no longer gets new requests; it
finishes its running ones.

Examples:
  shallotcleat server --retire 10.0.1.4:7001
  shallotcleat server --add 10.0.1.4:7001 --zone ruai --service dispatch`

// serverCommand adds, retires or reinstates a backend server.
type serverCommand struct {
	platformFlags
	Add     string `long:"add" env:"SHALLOTCLEAT_ADD" description:"address of the agent to add or reinstate"`
	Retire  string `long:"retire" env:"SHALLOTCLEAT_RETIRE" description:"address of the agent to retire"`
	Zone    string `long:"zone" env:"SHALLOTCLEAT_ZONE" description:"availability zone of an added server that is not in the VM list"`
	Service string `long:"service" env:"SHALLOTCLEAT_SERVICE" description:"service of an added server that is not in the VM list"`
}

func (cm *serverCommand) run(ctx context.Context, out io.Writer) error {
	var vd validator
	store, _ := cm.clients(&vd)
	switch {
	case (cm.Add == "") == (cm.Retire == ""):
		vd.addProblem("add", cm.Add, "exactly one of --add and --retire")
	case cm.Add != "":
		vd.address("add", cm.Add)
	default:
		vd.address("retire", cm.Retire)
	}
	if (cm.Zone == "") != (cm.Service == "") {
		vd.addProblem("zone", cm.Zone, "--zone and --service together, or neither")
	}
	if err := vd.err(); err != nil {
		return err
	}
	head, version, err := currentHead(ctx, store)
	if err != nil {
		return err
	}
	return commitHead(ctx, out, store, version, cm.change(head.Next(uuid.NewString())))
}

// change returns the head with the server added, reinstated or retired.
func (cm *serverCommand) change(head config.Head) config.Head {
	retired := slices.Clone(head.Retired())
	added := slices.Clone(head.Added())
	if cm.Retire != "" {
		if !slices.Contains(retired, cm.Retire) {
			retired = append(retired, cm.Retire)
		}
		return head.WithServers(retired, added)
	}
	retired = slices.DeleteFunc(retired, func(address string) bool { return address == cm.Add })
	if cm.Service != "" {
		added = slices.DeleteFunc(added, func(sv config.AddedServer) bool { return sv.Address() == cm.Add })
		added = append(added, config.NewAddedServer(cm.Add, cm.Zone, cm.Service))
	}
	return head.WithServers(retired, added)
}
