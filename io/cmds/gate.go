package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"shallotcleat/io/gate"
	"shallotcleat/io/link"
	"shallotcleat/io/timer"
	"shallotcleat/platform"
)

const gateHelp = `Forwards callers' requests to backend servers by the routes in the platform's store. SIGTERM stops it gracefully.

Example:
  shallotcleat gate --name gate-1 --zone ruai --listen 10.0.0.7:8080 --ready 10.0.0.7:8089 --peer 10.0.0.7:7801 \
    --store 10.0.0.5:8784`

// gateCommand holds the settings of a gate.
type gateCommand struct {
	gateTenderFlags
	Listen         string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP and port for callers"`
	Ready          string `long:"ready" env:"SHALLOTCLEAT_READY" description:"IP and port for the balancer's questions"`
	Peer           string `long:"peer" env:"SHALLOTCLEAT_PEER" description:"IP and port for the system's other processes, as they reach it"`
	StopTimeout    string `long:"stop-timeout" env:"SHALLOTCLEAT_STOP_TIMEOUT" description:"how long a graceful stop may take until the process is killed" default:"8s"`
	RetryWindow    string `long:"retry-span" env:"SHALLOTCLEAT_RETRY_SPAN" description:"time over which repeats are counted" default:"10s"`
	RetryRatio     string `long:"retry-ratio" env:"SHALLOTCLEAT_RETRY_RATIO" description:"repeats for each first try of a service" default:"0.2"`
	RetryAllowance string `long:"retry-allowance" env:"SHALLOTCLEAT_RETRY_ALLOWANCE" description:"repeats beside that, for all gates together" default:"50"`
	OldWeights     string `long:"old-weights" env:"SHALLOTCLEAT_OLD_WEIGHTS" description:"how long after newer weights were named a request may begin on older ones" default:"6s"`
}

// stopSlack is how long before it would be killed a process ends by itself.
const stopMargin = 700 * time.Millisecond

// balancerLag is how long callers may still arrive after readiness has failed: the balancer asks once a second and gives up
// after two misses.
const balancerLag = 3 * time.Second

func (cm *gateCommand) run(ctx context.Context, _ io.Writer) error {
	var vd validator
	opts := gate.Options{
		Zone:        cm.Zone,
		PeerAddress: vd.address("peer", cm.Peer),
		Dialect:     platform.Dialect{},
		Links:       link.NewPool(),
		Timer:       timer.New(),
		RetryBudget: gate.RetryBudgetOptions{
			Window:    vd.duration("retry-span", cm.RetryWindow, time.Second, time.Hour),
			Ratio:     vd.float("retry-ratio", cm.RetryRatio, 0, 10),
			Allowance: vd.float("retry-allowance", cm.RetryAllowance, 0, 1e6),
		},
		OldWeightsGrace: vd.duration("old-weights", cm.OldWeights, time.Second, time.Hour),
		StopTimeout:     vd.duration("stop-timeout", cm.StopTimeout, 2*time.Second, time.Hour) - stopMargin,
		BalancerLag:     balancerLag,
		RandomSeed:      randomNonZero(),
	}
	vd.address("listen", cm.Listen)
	vd.address("ready", cm.Ready)
	deps, err := cm.dependencies(&vd, "gate")
	if err != nil {
		return err
	}
	store := platform.NewStore(cm.Store)
	opts.Source, opts.Store, opts.SeedPeers, opts.Recorder = store, store, deps.seedGates, deps.recorder
	var listeners [3]net.Listener
	for i, address := range []string{cm.Listen, cm.Ready, cm.Peer} {
		if listeners[i], err = net.Listen("tcp", address); err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
	}
	gt := gate.New(opts)
	return deps.serve(ctx, func(ctx context.Context) error {
		return gt.Serve(ctx, listeners[0], listeners[1], listeners[2])
	})
}
