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
	processFlags
	Listen  string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP and port for entries, as they reach it; it is the agent's name" default:"127.0.0.1:7001"`
	Service string `long:"service" env:"SHALLOTCLEAT_SERVICE" description:"name of the service that the backend server belongs to"`
	Model   string `long:"model" env:"SHALLOTCLEAT_MODEL" description:"base URL of the model engine"`
	Plain   string `long:"plain" env:"SHALLOTCLEAT_PLAIN" description:"base URL of the plain service"`
	Fencing bool   `long:"fencing" env:"SHALLOTCLEAT_FENCING" description:"the engine refuses orders with old fencing numbers"`
	Slots   string `long:"slots" env:"SHALLOTCLEAT_SLOTS" description:"calls in the backend server at once" default:"16"`
}

func (cm *agentCommand) run(ctx context.Context, _ io.Writer) error {
	var st settings
	opts := agent.Options{
		Address:     st.address("listen", cm.Listen),
		Service:     st.word("service", cm.Service),
		Slots:       st.number("slots", cm.Slots, 1, 10_000),
		StopTimeout: st.duration("stop-timeout", cm.StopTime, 0, time.Hour),
		Pool:        link.NewPool(),
		Incarnation: randomNumber(),
		Fencing:     cm.Fencing,
	}
	switch {
	case (cm.Model == "") == (cm.Plain == ""):
		st.wrong("model", cm.Model, "exactly one of --model and --plain")
	case cm.Model != "":
		opts.Engine = server.NewHTTPEngine(st.base("model", cm.Model))
	default:
		opts.PlainService = server.NewHTTPPlainService(st.base("plain", cm.Plain))
	}
	pc, err := cm.check(&st, "agent/"+cm.Listen)
	if err != nil {
		return err
	}
	opts.Store, opts.Objects, opts.VMList, opts.SeedVMs, opts.Recorder = pc.store, pc.objects, pc.list, pc.seeds, pc.rec
	lis, err := net.Listen("tcp", cm.Listen)
	if err != nil {
		return fmt.Errorf("listen for entries: %w", err)
	}
	ag := agent.New(opts)
	return serveWithAdmin(ctx, cm.Admin, ag.Board(), pc.rec, func(ctx context.Context) error {
		return ag.Serve(ctx, lis)
	})
}
