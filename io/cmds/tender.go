package cmds

import (
	"context"
	"time"

	"shallotcleat/io/link"
	"shallotcleat/io/signal"
	"shallotcleat/io/tend"
	"shallotcleat/platform"
)

const tenderHelp = `Loads the newest weights into the model engine on the same VM and notifies the
gates. No request passes through it.

Example:
  shallotcleat tender --name tender-1 --zone ruai --engine 10.0.1.4:8785 --service dispatch --store 10.0.0.5:8784`

// tenderCommand maintains the weights of one model engine as its tender.
type tenderCommand struct {
	gateTenderFlags
	Engine  string `long:"engine" env:"SHALLOTCLEAT_ENGINE" description:"IP address and port of the model engine on this VM"`
	Service string `long:"service" env:"SHALLOTCLEAT_SERVICE" description:"name of the engine's service"`

	AddressReuse string `long:"address-reuse" env:"SHALLOTCLEAT_ADDRESS_REUSE" description:"time after the end of a backend server from which its address may go to a server of another service" default:"2s"`
}

func (cm *tenderCommand) serve(ctx context.Context, ct *signal.Control) error {
	var vd validator
	vd.address("engine", cm.Engine)
	vd.name("service", cm.Service)
	addressReuse := vd.duration("address-reuse", cm.AddressReuse, 0, time.Hour)
	deps, err := cm.dependencies(&vd, "tender")
	if err != nil {
		return err
	}
	store := platform.NewStore(cm.Store)
	td := tend.New(tend.Options{
		Name:      cm.Name,
		Zone:      cm.Zone,
		Service:   cm.Service,
		Address:   cm.Engine,
		SeedPeers: deps.seedGates,

		AddressReuse: addressReuse,
		Dialect:      platform.Dialect{},
		Source:       store,
		Store:        store,
		Links:        link.NewPool(),
		Engine:       platform.NewEngine(cm.Engine),
		Recorder:     deps.recorder,
	})
	return deps.serve(ctx, ct, td.Serve)
}
