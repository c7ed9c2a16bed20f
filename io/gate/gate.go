package gate

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/clock"
	"shallotcleat/core/drain"
	"shallotcleat/core/memory"
	"shallotcleat/core/pick"
	"shallotcleat/core/quota"
	"shallotcleat/core/route"
	"shallotcleat/core/runs"
	"shallotcleat/core/share"
	"shallotcleat/core/weight"
	"shallotcleat/core/zone"
	"shallotcleat/io/client"
	"shallotcleat/io/feed"
	"shallotcleat/io/intake"
	"shallotcleat/io/link"
	"shallotcleat/io/probe"
	"shallotcleat/io/table"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Intervals of the periodic work on connections to servers.
const (
	closeExpiredInterval = 500 * time.Millisecond
	probeInterval        = 250 * time.Millisecond
)

// Options are the settings and dependencies of a gate.
type Options struct {
	// Zone is the availability zone of the process.
	Zone string
	// PeerAddress is the address at which other processes reach the gate; SeedPeers are such addresses of other gates.
	PeerAddress string
	SeedPeers   []string
	// Capacity is the processor time of the VM in cores, or zero if unknown. Gates with more of it do more of the work that one gate
	// does for others.
	Capacity float64
	// MemoryBytes is the memory available to the process, or zero if unknown; what callers can make it hold is bounded by it.
	MemoryBytes int64
	// MaxCallers is the number of callers' connections for which there are descriptors, or zero if unknown.
	MaxCallers  int
	Dialect     Dialect
	Source      feed.Source
	Store       table.Committer
	CacheStores CacheStoreClient
	// Moves moves running requests between engines; without it, none are moved.
	Moves    MoveClient
	Links    *link.Pool
	Recorder *trace.Recorder
	Timer    clock.Clock
	// RetryBudget limits the retries for each service.
	RetryBudget RetryBudgetOptions
	// Quota says by how much the limits of workspaces may be exceeded; without a window they are not enforced.
	Quota quota.Bounds
	// OldWeightsGrace is how long after newer weights were announced a request may begin on older ones.
	OldWeightsGrace time.Duration
	// ZonePrice is the cost of paths between zones; the zero value is the default.
	ZonePrice zone.Price
	// FixedZoneCost makes requests leave the zone by the cost of a hop alone, without a share that all gates of the zone apply.
	FixedZoneCost bool
	// RandomSeed seeds the random selection among backend servers.
	RandomSeed uint64
	// Deadlines state within which time the gate must follow the store.
	Deadlines Deadlines
	// StopTimeout is the maximum duration of a graceful stop; BalancerLag is the part of it in which the load balancer may still
	// send new callers.
	StopTimeout time.Duration
	BalancerLag time.Duration
}

// RetryBudgetOptions limit retries to Ratio times the first attempts of a service within Window, plus an Allowance that all
// gates share.
type RetryBudgetOptions struct {
	Window    time.Duration
	Ratio     float64
	Allowance float64
}

// Gate is a reverse proxy that callers connect to.
type Gate struct {
	opts     Options
	log      *logrus.Entry
	picker   *pick.Picker
	connPool *client.Pool
	prober   *probe.Prober
	routes   atomic.Pointer[route.Table]
	// stop is the plan of the graceful stop, or nil before it; closeConnections is set once responses must tell callers to close
	// their connections. cut is done once the requests that still run are cut off.
	stop             atomic.Pointer[drain.Plan]
	closeConnections atomic.Bool
	cut              context.Context
	cutOff           context.CancelFunc
	durations        *drain.Durations
	retryBudgets     *retryBudgets
	bodies           bodies
	memory           *memory.Budget
	memoryReporter   *intake.Reporter
	hints            *hintExchange
	crashes          *crashWatch
	zoneLog          *zoneLog
	moveFailures     logLimit
	limits           *limitSharing
	origins          *origins
	releases         *releases
	originLog        *originLog
	originReader     *originReader
	originLookup     *originLookup
	ledger           *runs.Ledger
	serviceProofs    *serviceProofs
	freshness        freshness
	// delaysMu guards delays, which estimates how long messages of tenders were held up on their way.
	delaysMu sync.Mutex
	delays   *runs.Delays
	// questions are those to servers that no request waits for.
	questions tasks
	// asked has the hashes of the ids of servers to which such a question is in progress.
	asked sync.Map
	// meter measures how much work each workspace causes at each service, flow what the services serve.
	meter *share.Meter
	flow  *share.Flow
	// contentionLoggedAt is when a service was last logged as full, in Unix nanoseconds.
	contentionLoggedAt atomic.Int64
	// badSpeedLoggedAt is when an implausible speed was last logged, in Unix nanoseconds.
	badSpeedLoggedAt atomic.Int64

	configTable   *feed.Copy
	serverTable   *feed.Copy
	nodeTable     *feed.Copy
	gateList      *GateList
	tableServer   *feed.PullServer
	watcher       *watcher
	restored      *feed.RestoreSignal
	loadScheduler loadScheduler
	// pullRequests has an element while a peer's announcement is to be fetched.
	pullRequests chan struct{}
	// nodesOutdated has an element while the nodes table is to be read soon.
	nodesOutdated chan struct{}
	done          chan struct{}
}

// New returns a gate; Serve starts it.
func New(opts Options) *Gate {
	tables := opts.Dialect.Tables()
	connPool := client.NewPool()
	gt := &Gate{
		opts:          opts,
		log:           opts.Recorder.Log(),
		picker:        pick.New(opts.Zone, opts.OldWeightsGrace, opts.RandomSeed),
		connPool:      connPool,
		prober:        probe.New(connPool),
		meter:         share.NewMeter(),
		memory:        memory.NewBudget(opts.MemoryBytes),
		flow:          share.NewFlow(opts.RandomSeed),
		configTable:   feed.NewVersionedCopy(tables.Config, ContentVersion(opts.Dialect)),
		serverTable:   feed.NewCopy(tables.Servers),
		nodeTable:     feed.NewCopy(tables.Nodes),
		loadScheduler: loadScheduler{scheduler: weight.NewScheduler(opts.OldWeightsGrace)},
		pullRequests:  make(chan struct{}, 1),
		nodesOutdated: make(chan struct{}, 1),
		durations:     drain.NewDurations(),
		ledger:        runs.NewLedger(),
		delays:        runs.NewDelays(time.Now()),
		done:          make(chan struct{}),
	}
	gt.cut, gt.cutOff = context.WithCancel(context.Background())
	gt.memoryReporter = intake.NewReporter(gt.memory, opts.Recorder)
	gt.gateList = NewGateList(gt.nodeTable)
	gt.hints = newHintExchange(gt)
	gt.zoneLog = newZoneLog(gt)
	gt.crashes = newCrashWatch(gt)
	gt.picker.SetZonePrice(opts.ZonePrice)
	gt.picker.SetLedger(gt.ledger)
	if opts.FixedZoneCost {
		gt.picker.DisableZoneShares()
	}
	gt.limits = newLimitSharing(gt)
	gt.origins = newOrigins(gt)
	gt.releases = newReleases(gt)
	gt.originLog = newOriginLog(gt)
	gt.originReader = newOriginReader(gt)
	gt.originLookup = newOriginLookup(gt)
	gt.serviceProofs = newServiceProofs(gt)
	gt.retryBudgets = newRetryBudgets(opts.RetryBudget, gt.gateCount)
	gt.tableServer = feed.NewPullServer(gt.configTable, gt.serverTable, gt.nodeTable)
	gt.watcher = newWatcher(gt)
	gt.restored = feed.NewRestoreSignal(gt.configTable, gt.serverTable)
	return gt
}

// Done returns a channel that is closed when Serve returns.
func (gt *Gate) Done() <-chan struct{} { return gt.done }

// HasServer reports whether a backend server is in use.
func (gt *Gate) HasServer(id string) bool { return gt.picker.View().Server(id) != nil }

// ConfigVersion returns the version of the configuration in force, or zero if there is none.
func (gt *Gate) ConfigVersion() uint64 {
	tb := gt.routes.Load()
	if tb == nil {
		return 0
	}
	return tb.Version()
}

// HasPeer reports whether the gate with a peer address is known.
func (gt *Gate) HasPeer(address string) bool { return slices.Contains(gt.peers(), address) }

// Serve serves callers, the load balancer's readiness checks and peers until ctx is done, then stops gracefully.
func (gt *Gate) Serve(ctx context.Context, callers, ready, peers net.Listener) error {
	defer close(gt.done)
	// Background work continues during the graceful stop.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	gt.followTables(workCtx, &wg)
	wg.Go(func() { gt.servePeers(workCtx, peers) })
	readiness := &http.Server{Handler: http.HandlerFunc(gt.serveReady), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	wg.Go(func() { gt.serveHTTP(readiness, ready) })
	conns := newCallerConns(func() route.Limits { return callerLimits(gt.routes.Load()) }, gt.memory, gt.opts.MaxCallers, gt.opts.Timer.Now, gt.log)
	// The limits of callers are applied by conns.
	srv := &http.Server{Handler: http.HandlerFunc(gt.handle), ConnState: conns.stateChanged, ConnContext: withConn, MaxHeaderBytes: math.MaxInt32}
	wg.Go(func() { gt.serveHTTP(srv, conns.listener(callers)) })
	cancelEnforce := gt.opts.Timer.Every(enforceInterval, conns.enforce)
	defer cancelEnforce()
	cancelReport := gt.memoryReporter.Start(gt.opts.Timer)
	defer cancelReport()
	cancelCloseExpired := gt.opts.Timer.Every(closeExpiredInterval, func() { gt.connPool.CloseExpired(time.Now()) })
	defer cancelCloseExpired()
	cancelProbe := gt.opts.Timer.Every(probeInterval, func() { gt.probeUnreachable(workCtx) })
	defer cancelProbe()
	<-ctx.Done()
	gt.shutdown(srv, conns, callers)
	_ = readiness.Close()
	return nil
}

func (gt *Gate) serveHTTP(srv *http.Server, lis net.Listener) {
	// The stop closes the listener of callers itself.
	if err := srv.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		gt.log.WithError(err).Error("HTTP server failed")
	}
}

func (gt *Gate) serveReady(wr http.ResponseWriter, _ *http.Request) {
	switch {
	case gt.stop.Load() != nil:
		http.Error(wr, "leaving", http.StatusServiceUnavailable)
	case gt.routes.Load() == nil:
		http.Error(wr, "no configuration yet", http.StatusServiceUnavailable)
	case gt.serverTable.Revision() == 0:
		// That no server is known says nothing before the servers were read.
		http.Error(wr, "no servers read yet", http.StatusServiceUnavailable)
	}
}

// servePeers serves the RPCs that gates offer to other processes.
func (gt *Gate) servePeers(ctx context.Context, lis net.Listener) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNode(mux, &nodeHandler{gate: gt}); err != nil {
		gt.log.WithError(err).Error("cannot register the peer RPC service")
		return
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()})
	if err := srv.Serve(ctx, lis); err != nil && ctx.Err() == nil {
		gt.log.WithError(err).Error("peer RPC server failed")
	}
}

// probeUnreachable probes the servers that did not respond and whose backoff ends soon. Those that still cannot be reached are
// marked unreachable again.
func (gt *Gate) probeUnreachable(ctx context.Context) {
	var wg conc.WaitGroup
	for id, address := range gt.picker.ProbeTargets(time.Now().Add(probeInterval)) {
		wg.Go(func() {
			if !client.Probe(ctx, address) && ctx.Err() == nil {
				gt.picker.MarkProbeFailed(time.Now(), id)
			}
		})
	}
	wg.Wait()
}
