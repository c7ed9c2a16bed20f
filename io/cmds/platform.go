package cmds

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime/debug"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/board"
	"shallotcleat/io/admin"
	"shallotcleat/io/object"
	"shallotcleat/io/signal"
	"shallotcleat/io/table"
	"shallotcleat/io/vmlist"
)

// platformFlags are the addresses of the platform's services.
type platformFlags struct {
	Table   string `long:"table" env:"SHALLOTCLEAT_TABLE" description:"base URL of the table service" default:"http://127.0.0.1:9001"`
	Objects string `long:"objects" env:"SHALLOTCLEAT_OBJECTS" description:"base URL of the object store" default:"http://127.0.0.1:9002"`
}

// clients returns clients of the table service and the object store.
func (pf *platformFlags) clients(vd *validator) (table.Store, object.Store) {
	return table.NewHTTP(vd.baseURL("table", pf.Table)), object.NewHTTP(vd.baseURL("objects", pf.Objects))
}

// entryAgentFlags are the common flags of entries and agents.
type entryAgentFlags struct {
	platformFlags
	VMList      string `long:"vm-list" env:"SHALLOTCLEAT_VM_LIST" description:"base URL of the VM list" default:"http://127.0.0.1:9003"`
	SeedVMs     string `long:"seeds" env:"SHALLOTCLEAT_SEEDS" description:"VMs to use until the VM list responds: entry/ZONE@IP:PORT,agent/ZONE/SERVICE@IP:PORT"`
	Zone        string `long:"zone" env:"SHALLOTCLEAT_ZONE" description:"availability zone of this VM"`
	Admin       string `long:"admin" env:"SHALLOTCLEAT_ADMIN" description:"IP address and port of the admin interface: metrics, status, timeline" default:"127.0.0.1:7900"`
	LogLevel    string `long:"log-level" env:"SHALLOTCLEAT_LOG_LEVEL" description:"minimum level of log lines; debug adds the events of each request" default:"info"`
	Memory      string `long:"memory" env:"SHALLOTCLEAT_MEMORY" description:"memory available to this process in MB of 1,000,000 bytes" default:"512"`
	StopTimeout string `long:"stop-timeout" env:"SHALLOTCLEAT_STOP_TIMEOUT" description:"maximum time that a stop waits for running requests" default:"2m"`
}

// entryAgentDeps are the common dependencies of entries and agents.
type entryAgentDeps struct {
	*roleLog
	store   table.Store
	objects object.Store
	vmList  vmlist.Lister
	seedVMs []vmlist.VM
	// memoryBytes is the memory available to the process.
	memoryBytes int64
}

// dependencies validates the common flags, sets the memory limit and creates the dependencies, or returns a *SettingsError with all problems found
// so far; name is the name of the process in logs and events.
func (eaf *entryAgentFlags) dependencies(vd *validator, name string) (*entryAgentDeps, error) {
	deps := &entryAgentDeps{}
	store, objects := eaf.clients(vd)
	deps.store, deps.objects = table.NewBreakerStore(store), objects
	deps.vmList = vmlist.NewHTTP(vd.baseURL("vm-list", eaf.VMList))
	deps.seedVMs = vd.seedVMs("seeds", eaf.SeedVMs)
	vd.name("zone", eaf.Zone)
	vd.address("admin", eaf.Admin)
	vd.logLevel("log-level", eaf.LogLevel)
	memory := vd.integer("memory", eaf.Memory, 16, 1<<20)
	if err := vd.err(); err != nil {
		return nil, err
	}
	deps.memoryBytes = int64(memory) * bytesPerMegabyte
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory) * bytesPerMegabyte))
	var err error
	deps.roleLog, err = newRoleLog(os.Stderr, eaf.LogLevel, name, eaf.Zone)
	if err != nil {
		return nil, err
	}
	return deps, nil
}

// serve runs the process together with the admin interface, which is available until run returns.
func (ead *entryAgentDeps) serve(ctx context.Context, ct *signal.Control, address string, bd *board.Board, run func(context.Context) error) error {
	return ead.roleLog.serve(ctx, ct, func(ctx context.Context) error { return ead.serveAdmin(ctx, address, bd, run) })
}

func (ead *entryAgentDeps) serveAdmin(ctx context.Context, address string, bd *board.Board, run func(context.Context) error) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for admin interface: %w", err)
	}
	adminCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { admin.New(bd, ead.recorder).Serve(adminCtx, lis) })
	err = run(ctx)
	cancel()
	wg.Wait()
	return err
}
