package cmds

import (
	"context"
	"fmt"
	"math"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"shallotcleat/core/quota"
	"shallotcleat/core/zone"
	"shallotcleat/io/gate"
	"shallotcleat/io/intake"
	"shallotcleat/io/link"
	"shallotcleat/io/signal"
	"shallotcleat/io/timer"
	"shallotcleat/platform"
)

const gateHelp = `Forwards callers' requests to backend servers by the routes in the platform's
store. SIGTERM starts a graceful stop.

Example:
  shallotcleat gate --name gate-1 --zone ruai --listen 10.0.0.7:8080 --ready 10.0.0.7:8089 --peer 10.0.0.7:7801 \
    --store 10.0.0.5:8784`

// gateCommand forwards requests as a gate.
type gateCommand struct {
	gateTenderFlags
	Listen         string `long:"listen" env:"SHALLOTCLEAT_LISTEN" description:"IP address and port for callers"`
	Ready          string `long:"ready" env:"SHALLOTCLEAT_READY" description:"IP address and port for the load balancer's readiness checks"`
	Peer           string `long:"peer" env:"SHALLOTCLEAT_PEER" description:"IP address and port at which other gates and tenders reach this gate"`
	PeerListen     string `long:"peer-listen" env:"SHALLOTCLEAT_PEER_LISTEN" description:"IP address and port at which this gate listens for other gates and tenders, if they reach it by another one, such as that of a forwarder"`
	CPU            string `long:"cpu" env:"SHALLOTCLEAT_CPU" description:"processor time of this VM in cores; gates with more do more of the work that one gate does for all" default:"1"`
	Descriptors    string `long:"descriptors" env:"SHALLOTCLEAT_DESCRIPTORS" description:"number of descriptors that this process may open, if that is less than the system's limit"`
	StopTimeout    string `long:"stop-timeout" env:"SHALLOTCLEAT_STOP_TIMEOUT" description:"time from the stop signal until the process is killed; the graceful stop ends earlier" default:"8s"`
	RetryWindow    string `long:"retry-span" env:"SHALLOTCLEAT_RETRY_SPAN" description:"period over which retries are counted" default:"10s"`
	RetryRatio     string `long:"retry-ratio" env:"SHALLOTCLEAT_RETRY_RATIO" description:"retries allowed for each first attempt of a service" default:"0.2"`
	RetryAllowance string `long:"retry-allowance" env:"SHALLOTCLEAT_RETRY_ALLOWANCE" description:"retries allowed in addition to the ratio, shared by all gates" default:"50"`
	Settle         string `long:"settle" env:"SHALLOTCLEAT_SETTLE" description:"time after a connection was cut or stalled from which the deadlines for changes hold again" default:"3s"`
	ConfigDeadline string `long:"config-deadline" env:"SHALLOTCLEAT_CONFIG_DEADLINE" description:"time within which a change of the configuration must be in force" default:"2s"`
	DrainDeadline  string `long:"drain-deadline" env:"SHALLOTCLEAT_DRAIN_DEADLINE" description:"time after which a leaving server must get no requests" default:"2s"`
	QuotaWindow    string `long:"quota-window" env:"SHALLOTCLEAT_QUOTA_WINDOW" description:"period over which the limits of workspaces hold; without it they are not enforced"`
	QuotaOverage   string `long:"quota-overage" env:"SHALLOTCLEAT_QUOTA_OVERAGE" description:"part by which all gates together may exceed the limit of a workspace"`
	QuotaSlack     string `long:"quota-slack" env:"SHALLOTCLEAT_QUOTA_SLACK" description:"tokens by which all gates together may exceed the limit of a workspace in addition"`
	ZoneLatency    string `long:"zone-latency" env:"SHALLOTCLEAT_ZONE_LATENCY" description:"one-way latency between availability zones" default:"0s"`
	ZoneMegabyte   string `long:"zone-megabyte-cost" env:"SHALLOTCLEAT_ZONE_MEGABYTE_COST" description:"time that a request must save for each megabyte of 1,000,000 bytes that it sends to another availability zone; a hop costs 12ms at least" default:"0s"`
	ZoneChoice     string `long:"zone-choice" env:"SHALLOTCLEAT_ZONE_CHOICE" description:"how requests leave the availability zone: share (the gates of a zone agree on a share) or cost (each gate adds the cost of a hop)" default:"share"`
	HandOver       string `long:"hand-over" env:"SHALLOTCLEAT_HAND_OVER" description:"whether some engines only run streams that others hand over: on or off" default:"off"`
	OldWeights     string `long:"old-weights" env:"SHALLOTCLEAT_OLD_WEIGHTS" description:"how long after newer weights are announced a request may start on older ones" default:"6s"`
}

// stopMargin is the time between the end of a graceful stop and the kill at --stop-timeout, or a tenth of that time if it is less.
const stopMargin = 700 * time.Millisecond

// balancerLag is how long the load balancer may still send requests after the readiness check fails: it checks once a second
// and removes a gate after two failures.
const balancerLag = 3 * time.Second

// quotaBounds returns the bounds of workspaces' limits. The platform renders settings that it lacks as nothing, which leaves a bare unit.
func (cm *gateCommand) quotaBounds(vd *validator) quota.Bounds {
	var bd quota.Bounds
	if cm.QuotaWindow != "" && cm.QuotaWindow != "s" {
		bd.Window = vd.duration("quota-window", cm.QuotaWindow, time.Second, time.Hour)
	}
	if cm.QuotaOverage != "" {
		bd.Overage = vd.float("quota-overage", cm.QuotaOverage, 0, 10)
	}
	if cm.QuotaSlack != "" {
		bd.Slack = vd.float("quota-slack", cm.QuotaSlack, 0, 1e12)
	}
	return bd
}

// minDescriptors is the least number of descriptors with which a gate can work.
const minDescriptors = 64

// maxCallers returns the number of callers' connections for which there are descriptors, or zero if that is unknown. most is the number of
// descriptors that the settings allow, or zero.
func maxCallers(lg *logrus.Entry, most int) int {
	limit, err := intake.DescriptorLimit()
	if err != nil {
		lg.WithError(err).Warn("the system's limit of descriptors is unknown")
		limit = most
	}
	if most > 0 {
		limit = min(limit, most)
	}
	callers := intake.MaxConnections(limit)
	lg.WithFields(logrus.Fields{"event": "descriptors", "limit": limit, "callers": callers}).Info("descriptors are shared between callers and others")
	return callers
}

func (cm *gateCommand) serve(ctx context.Context, ct *signal.Control) error {
	var vd validator
	stopTimeout := vd.duration("stop-timeout", cm.StopTimeout, 2*time.Second, time.Hour)
	opts := gate.Options{
		Zone:        cm.Zone,
		PeerAddress: vd.address("peer", cm.Peer),
		Capacity:    vd.float("cpu", cm.CPU, 0.001, 1024),
		Dialect:     platform.Dialect{},
		Links:       link.NewPool(),
		Timer:       timer.New(),
		RetryBudget: gate.RetryBudgetOptions{
			Window:    vd.duration("retry-span", cm.RetryWindow, time.Second, time.Hour),
			Ratio:     vd.float("retry-ratio", cm.RetryRatio, 0, 10),
			Allowance: vd.float("retry-allowance", cm.RetryAllowance, 0, 1e6),
		},
		Deadlines: gate.Deadlines{
			Settle: vd.duration("settle", cm.Settle, 0, time.Minute),
			Config: vd.duration("config-deadline", cm.ConfigDeadline, 100*time.Millisecond, time.Minute),
			Drain:  vd.duration("drain-deadline", cm.DrainDeadline, 100*time.Millisecond, time.Minute),
		},
		OldWeightsGrace: vd.duration("old-weights", cm.OldWeights, time.Second, time.Hour),
		Quota:           cm.quotaBounds(&vd),
		ZonePrice: zone.NewPrice(vd.duration("zone-latency", cm.ZoneLatency, 0, time.Second),
			vd.duration("zone-megabyte-cost", cm.ZoneMegabyte, 0, time.Minute)),
		FixedZoneCost: vd.oneOf("zone-choice", cm.ZoneChoice, "share", "cost") == "cost",
		StopTimeout:   stopTimeout - min(stopMargin, stopTimeout/10),
		BalancerLag:   balancerLag,
		RandomSeed:    randomNonZero(),
	}
	handOver := vd.oneOf("hand-over", cm.HandOver, "on", "off") == "on"
	descriptors := 0
	if cm.Descriptors != "" {
		descriptors = vd.integer("descriptors", cm.Descriptors, minDescriptors, math.MaxInt32)
	}
	vd.address("listen", cm.Listen)
	vd.address("ready", cm.Ready)
	peerListen := cm.Peer
	if cm.PeerListen != "" {
		peerListen = vd.address("peer-listen", cm.PeerListen)
	}
	deps, err := cm.dependencies(&vd, "gate")
	if err != nil {
		return err
	}
	store := platform.NewStore(cm.Store)
	opts.CacheStores = platform.NewCacheStores()
	if handOver {
		opts.Moves = platform.NewMoves()
	}
	opts.MemoryBytes = deps.memoryBytes
	opts.MaxCallers = maxCallers(deps.recorder.Log(), descriptors)
	opts.Source, opts.Store, opts.SeedPeers, opts.Recorder = store, store, deps.seedGates, deps.recorder
	var listeners [3]net.Listener
	for i, address := range []string{cm.Listen, cm.Ready, peerListen} {
		if listeners[i], err = net.Listen("tcp", address); err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
	}
	gt := gate.New(opts)
	return deps.serve(ctx, ct, func(ctx context.Context) error {
		return gt.Serve(ctx, listeners[0], listeners[1], listeners[2])
	})
}
