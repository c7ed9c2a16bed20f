package cmds

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"time"

	"shallotcleat/io/fake"
	"shallotcleat/io/local"
)

const demoHelp = `Starts one entry, several agents and a fake platform on loopback in one
process, sends requests of every kind, prints the result of each, and exits 0
only if all checks passed.

Example:
  shallotcleat demo`

//go:embed demo.yaml
var demoDeclaration []byte

// Parameters of the demo.
const (
	demoEngines       = 2
	demoPlainServices = 2
	demoPieceTokens   = 50
	demoOrderLatency  = 20 * time.Millisecond
	demoReadyTimeout  = 10 * time.Second
)

// API keys of the workspaces; demo.yaml holds their hashes.
const (
	demoMchangaKey = "demo-key-mchanga"
	demoHradekKey  = "demo-key-hradek"
)

// demoCommand runs the demo.
type demoCommand struct {
	Verbose bool `long:"verbose" env:"SHALLOTCLEAT_VERBOSE" description:"also print the log lines of the processes"`
}

// demo is the running system: fakes of the platform and the backend servers, agents, one entry and its callers.
type demo struct {
	platform      *local.Platform
	plainServices []*fake.PlainService
	nodes         []*local.Node
	mchanga       *local.Caller
	hradek        *local.Caller
	out           io.Writer
	failures      int
}

func (cm *demoCommand) run(ctx context.Context, out io.Writer) error {
	var logOut io.Writer
	if cm.Verbose {
		logOut = out
	}
	dm := &demo{out: out}
	defer dm.close()
	if err := dm.start(ctx, logOut); err != nil {
		return fmt.Errorf("start demo: %w", err)
	}
	for _, ck := range demoChecks() {
		dm.check(ctx, ck)
	}
	if dm.failures > 0 {
		return fmt.Errorf("%d checks failed", dm.failures)
	}
	_, err := fmt.Fprintln(out, "all checks passed")
	return err
}

func (dm *demo) start(ctx context.Context, logOut io.Writer) error {
	pf, err := local.NewPlatform()
	if err != nil {
		return err
	}
	dm.platform = pf
	if err := pf.Apply(ctx, demoDeclaration, "ordinary", "demo"); err != nil {
		return err
	}
	for i := range demoEngines {
		engine := fake.NewEngine(fake.EngineSpeed{
			PrefillRate:   100_000,
			TokenInterval: time.Millisecond,
			BlockTokens:   demoPieceTokens,
			CacheBlocks:   1000,
		}, "v1", true)
		url, err := pf.StartServer(engine)
		if err != nil {
			return err
		}
		if err := dm.startAgent(local.NodeOptions{Name: fmt.Sprintf("agent/dispatch-%d", i),
			Service: "dispatch", EngineURL: "http://" + url, Log: logOut}); err != nil {
			return err
		}
	}
	for i := range demoPlainServices {
		service := fake.NewPlainService(demoOrderLatency)
		dm.plainServices = append(dm.plainServices, service)
		url, err := pf.StartServer(service)
		if err != nil {
			return err
		}
		if err := dm.startAgent(local.NodeOptions{Name: fmt.Sprintf("agent/stock-%d", i),
			Service: "stock", PlainServiceURL: "http://" + url, Log: logOut}); err != nil {
			return err
		}
	}
	en, err := pf.StartEntry(local.NodeOptions{Name: "entry/0", Zone: "ruai", Incarnation: 1, PieceTokens: demoPieceTokens, Log: logOut})
	if err != nil {
		return err
	}
	dm.nodes = append(dm.nodes, en)
	dm.mchanga = local.NewCaller(en.Address(), demoMchangaKey)
	dm.hradek = local.NewCaller(en.Address(), demoHradekKey)
	return local.WaitReady(ctx, en.Address(), demoReadyTimeout)
}

func (dm *demo) startAgent(opts local.NodeOptions) error {
	opts.Zone = "ruai"
	opts.Slots = 8
	opts.Incarnation = uint64(len(dm.nodes) + 1)
	nd, err := dm.platform.StartAgent(opts)
	if err != nil {
		return err
	}
	dm.nodes = append(dm.nodes, nd)
	return nil
}

func (dm *demo) close() {
	for _, nd := range dm.nodes {
		nd.Stop()
	}
	if dm.platform != nil {
		dm.platform.Close()
	}
}

// runCount returns how often the plain services, in total, ran the order with the given idempotency key.
func (dm *demo) runCount(key string) int {
	total := 0
	for _, service := range dm.plainServices {
		total += service.RunCount(key)
	}
	return total
}
