package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"shallotcleat/io/agent"
	"shallotcleat/io/link"
	"shallotcleat/io/server"
)

const agentHelp = `The one path to its backend server: admits requests, keeps the tickets of orders and reports the load.
SIGTERM stops it gracefully: it refuses new work and ends when all accepted work is done.

Examples:
  shallotcleat agent --zone ruai --service dispatch --listen 10.0.1.4:7001 --model http://127.0.0.1:8000
  shallotcleat agent --zone athi --service stock --listen 10.0.1.9:7001 --plain http://127.0.0.1:8000`

// agentCommand holds the settings of an agent.
type agentCommand struct {
	entryAgentFlags
	Listen  string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP and port for entries, as they reach it; it is the agent's name" default:"127.0.0.1:7001"`
	Service string `long:"service" env:"SHALLOTCLEAT_SERVICE" description:"name of the service that the backend server belongs to"`
	Model   string `long:"model" env:"SHALLOTCLEAT_MODEL" description:"base URL of the model engine"`
	Plain   string `long:"plain" env:"SHALLOTCLEAT_PLAIN" description:"base URL of the plain service"`
	Fencing bool   `long:"fencing" env:"SHALLOTCLEAT_FENCING" description:"the engine refuses orders with old fencing numbers"`
	Slots   string `long:"slots" env:"SHALLOTCLEAT_SLOTS" description:"calls in the backend server at once" default:"16"`
}

func (cm *agentCommand) run(ctx context.Context, _ io.Writer) error {
	var vd validator
	opts := agent.Options{
		Address:     vd.address("listen", cm.Listen),
		Service:     vd.name("service", cm.Service),
		Slots:       vd.integer("slots", cm.Slots, 1, 10_000),
		StopTimeout: vd.duration("stop-timeout", cm.StopTimeout, 0, time.Hour),
		Pool:        link.NewPool(),
		Incarnation: randomNonZero(),
		Fencing:     cm.Fencing,
	}
	switch {
	case (cm.Model == "") == (cm.Plain == ""):
		vd.addProblem("model", cm.Model, "exactly one of --model and --plain")
	case cm.Model != "":
		opts.Engine = server.NewHTTPEngine(vd.baseURL("model", cm.Model))
	default:
		opts.PlainService = server.NewHTTPPlainService(vd.baseURL("plain", cm.Plain))
	}
	deps, err := cm.dependencies(&vd, "agent/"+cm.Listen)
	if err != nil {
		return err
	}
	opts.Store, opts.Objects, opts.VMList, opts.SeedVMs, opts.Recorder = deps.store, deps.objects, deps.vmList, deps.seedVMs, deps.recorder
	lis, err := net.Listen("tcp", cm.Listen)
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	ag := agent.New(opts)
	return serveWithAdmin(ctx, cm.Admin, ag.Board(), deps.recorder, func(ctx context.Context) error {
		return ag.Serve(ctx, lis)
	})
}
