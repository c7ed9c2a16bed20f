package cmds

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/board"
	"shallotcleat/io/admin"
	"shallotcleat/io/logs"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
)

// platformFlags say where the platform's services are.
type platformFlags struct {
	Table   string `long:"table" env:"SHALLOTCLEAT_TABLE" description:"base URL of the table service" default:"http://127.0.0.1:9001"`
	Objects string `long:"objects" env:"SHALLOTCLEAT_OBJECTS" description:"base URL of the object store" default:"http://127.0.0.1:9002"`
}

// stores returns the clients of the platform's table service and object store.
func (pf *platformFlags) clients(vd *validator) (table.Store, object.Store) {
	return table.NewHTTP(vd.baseURL("table", pf.Table)), object.NewHTTP(vd.baseURL("objects", pf.Objects))
}

// processFlags are the settings that entries and agents have in common.
type entryAgentFlags struct {
	platformFlags
	VMList      string `long:"vm-list" env:"SHALLOTCLEAT_VM_LIST" description:"base URL of the list of VMs" default:"http://127.0.0.1:9003"`
	SeedVMs     string `long:"seeds" env:"SHALLOTCLEAT_SEEDS" description:"VMs to know before the list answers: entry/ZONE@IP:PORT,agent/ZONE/SERVICE@IP:PORT"`
	Zone        string `long:"zone" env:"SHALLOTCLEAT_ZONE" description:"availability zone of this VM"`
	Admin       string `long:"admin" env:"SHALLOTCLEAT_ADMIN" description:"IP and port of the operators' interface: metrics, status, timeline" default:"127.0.0.1:7900"`
	LogLevel    string `long:"log-level" env:"SHALLOTCLEAT_LOG_LEVEL" description:"least level of log lines; debug adds each request's events" default:"info"`
	StopTimeout string `long:"stop-timeout" env:"SHALLOTCLEAT_STOP_TIMEOUT" description:"how long a stop waits for running requests" default:"2m"`
}

// process is what entries and agents are made of.
type entryAgentDeps struct {
	store    table.Store
	objects  object.Store
	vmList   vmlist.Lister
	seedVMs  []vmlist.VM
	recorder *trace.Recorder
}

// check checks the common settings; name is the process's name in logs and events.
func (eaf *entryAgentFlags) dependencies(vd *validator, name string) (*entryAgentDeps, error) {
	deps := &entryAgentDeps{}
	store, objects := eaf.clients(vd)
	deps.store, deps.objects = table.NewBreakerStore(store), objects
	deps.vmList = vmlist.NewHTTP(vd.baseURL("vm-list", eaf.VMList))
	deps.seedVMs = vd.seedVMs("seeds", eaf.SeedVMs)
	vd.name("zone", eaf.Zone)
	vd.address("admin", eaf.Admin)
	vd.logLevel("log-level", eaf.LogLevel)
	if err := vd.err(); err != nil {
		return nil, err
	}
	lg, err := logs.New(os.Stderr, eaf.LogLevel, name)
	if err != nil {
		return nil, fmt.Errorf("set up logs: %w", err)
	}
	deps.recorder, err = trace.New(name, lg.WithField("zone", eaf.Zone))
	if err != nil {
		return nil, fmt.Errorf("set up metrics: %w", err)
	}
	return deps, nil
}

// serveWithAdmin runs a process beside its operators' interface, which stays until the process has ended.
func serveWithAdmin(ctx context.Context, address string, bd *board.Board, rec *trace.Recorder, serve func(context.Context) error) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	adminCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { admin.New(bd, rec).Serve(adminCtx, lis) })
	err = serve(ctx)
	cancel()
	wg.Wait()
	return err
}
