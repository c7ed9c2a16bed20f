package cmds

import (
	"context"
	"fmt"
	"net"
	"time"

	"shallotcleat/io/agent"
	"shallotcleat/io/link"
	"shallotcleat/io/server"
	"shallotcleat/io/signal"
)

const agentHelp = `Admits requests to its backend server, keeps the tickets of orders and reports
the server's load. All requests to the server pass through its agent. On SIGTERM
it refuses new work and exits when all accepted work is done, or after
--stop-timeout.

Examples:
  shallotcleat agent --zone ruai --service dispatch --listen 10.0.1.4:7001 --model http://127.0.0.1:8000
  shallotcleat agent --zone athi --service stock --listen 10.0.1.9:7001 --plain http://127.0.0.1:8000`

// agentCommand serves as the agent of one backend server.
type agentCommand struct {
	entryAgentFlags
	Listen  string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP address and port at which entries reach the agent; it identifies the agent" default:"127.0.0.1:7001"`
	Service string `long:"service" env:"SHALLOTCLEAT_SERVICE" description:"name of the backend server's service"`
	Model   string `long:"model" env:"SHALLOTCLEAT_MODEL" description:"base URL of the model engine"`
	Plain   string `long:"plain" env:"SHALLOTCLEAT_PLAIN" description:"base URL of the plain service"`
	Fencing bool   `long:"fencing" env:"SHALLOTCLEAT_FENCING" description:"the engine refuses load orders with outdated fencing numbers"`
	Slots   string `long:"slots" env:"SHALLOTCLEAT_SLOTS" description:"maximum number of concurrent requests to the backend server" default:"16"`
}

func (cm *agentCommand) serve(ctx context.Context, ct *signal.Control) error {
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
	opts.MemoryBytes = deps.memoryBytes
	opts.Store, opts.Objects, opts.VMList, opts.SeedVMs, opts.Recorder = deps.store, deps.objects, deps.vmList, deps.seedVMs, deps.recorder
	lis, err := net.Listen("tcp", cm.Listen)
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	ag := agent.New(opts)
	return deps.serve(ctx, ct, cm.Admin, ag.Board(), func(ctx context.Context) error {
		return ag.Serve(ctx, lis)
	})
}
