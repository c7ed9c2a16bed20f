package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/clock"
	"shallotcleat/core/pick"
	"shallotcleat/core/route"
	"shallotcleat/core/share"
	"shallotcleat/core/weight"
	"shallotcleat/io/call"
	"shallotcleat/io/feed"
	"shallotcleat/io/link"
	"shallotcleat/io/table"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Limits of what callers may send, beside those of the configuration.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller stays; callers reuse connections up to the configured limit.
	idleTimeout = 2 * time.Minute
	// bodyLimit bounds a body while the configuration says nothing.
	defaultMaxBodyBytes = 4 << 20
)

// Periods of a gate's own work.
const (
	sweepInterval = 500 * time.Millisecond
	probeInterval = 250 * time.Millisecond
)

// Options are the settings and dependencies of a gate.
type Options struct {
	// Zone is the process's availability zone.
	Zone string
	// PeerAddress is where other processes reach the gate; Seeds are such addresses of other gates.
	PeerAddress string
	SeedPeers   []string
	Dialect     Dialect
	Source      feed.Source
	Store       table.Committer
	Links       *link.Pool
	Recorder    *trace.Recorder
	Timer       clock.Service
	// Budget bounds repeats: a part of the first tries of a service within a span, and an allowance that all gates share.
	RetryBudget RetryBudgetOptions
	// OldWeights is how long after newer weights were named a request may begin on older ones.
	OldWeightsGrace time.Duration
	// Seed is that of the random choices among backend servers.
	RandomSeed uint64
	// Stop is how long a graceful stop may take, and BalancerLag how much of it callers may still arrive.
	StopTimeout time.Duration
	BalancerLag time.Duration
}

// BudgetOptions are the settings of the budget of repeats.
type RetryBudgetOptions struct {
	Window    time.Duration
	Ratio     float64
	Allowance float64
}

// Gate is one process that callers connect to.
type Gate struct {
	opts     Options
	log      *logrus.Entry
	picker   *pick.Picker
	callPool *call.Pool
	routes   atomic.Pointer[route.Table]
	// leaving is set when the stop has begun, lastCalls when answers ask callers to close their connection.
	shuttingDown     atomic.Bool
	closeConnections atomic.Bool
	retryBudgets     *retryBudgets
	// meter measures the work of workspaces at engines.
	meter *share.Meter

	configTable   *feed.Copy
	serverTable   *feed.Copy
	nodeTable     *feed.Copy
	gateList      *GateList
	tableServer   *feed.Shelf
	watcher       *watcher
	loadScheduler loadScheduler
	done          chan struct{}
}

// New returns a gate that has not begun.
func New(opts Options) *Gate {
	tables := opts.Dialect.Tables()
	gt := &Gate{
		opts:          opts,
		log:           opts.Recorder.Log(),
		picker:        pick.New(opts.Zone, opts.OldWeightsGrace, opts.RandomSeed),
		callPool:      call.NewPool(),
		meter:         share.NewMeter(),
		configTable:   feed.NewCopy(tables.Config),
		serverTable:   feed.NewCopy(tables.Servers),
		nodeTable:     feed.NewCopy(tables.Nodes),
		loadScheduler: loadScheduler{scheduler: weight.NewScheduler(opts.OldWeightsGrace)},
		done:          make(chan struct{}),
	}
	gt.gateList = NewGateList(gt.nodeTable)
	gt.retryBudgets = newRetryBudgets(opts.RetryBudget, gt.gateCount)
	gt.tableServer = feed.NewShelf(gt.configTable, gt.serverTable, gt.nodeTable)
	gt.watcher = newWatcher(gt)
	return gt
}

// Done is closed when Serve has ended.
func (gt *Gate) Done() <-chan struct{} { return gt.done }

// Knows reports whether a backend server is listed.
func (gt *Gate) HasServer(id string) bool { return gt.picker.View().Server(id) != nil }

// Serve answers callers, the balancer's questions and peers until the context ends, and then stops gracefully.
func (gt *Gate) Serve(ctx context.Context, callers, ready, peers net.Listener) error {
	defer close(gt.done)
	// The work goes on through the graceful stop.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	gt.followTables(workCtx, &wg)
	wg.Go(func() { gt.servePeers(workCtx, peers) })
	readiness := &http.Server{Handler: http.HandlerFunc(gt.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	wg.Go(func() { gt.serveHTTP(readiness, ready) })
	srv := &http.Server{
		Handler:           http.HandlerFunc(gt.handle),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          nil,
	}
	wg.Go(func() { gt.serveHTTP(srv, callers) })
	cancelSweep := gt.opts.Timer.Every(sweepInterval, func() { gt.callPool.Sweep(time.Now()) })
	defer cancelSweep()
	cancelProbe := gt.opts.Timer.Every(probeInterval, func() { gt.probeUnreachable(workCtx) })
	defer cancelProbe()
	<-ctx.Done()
	gt.shutDown(srv)
	_ = readiness.Close()
	return nil
}

func (gt *Gate) serveHTTP(srv *http.Server, lis net.Listener) {
	if err := srv.Serve(lis); err != nil && !errors.Is(err, http.ErrServerClosed) {
		gt.log.WithError(err).Error("serving ended")
	}
}

// stop ends the service without cutting off a request: the balancer is told first, then callers are asked to close their
// connections, and at last what still runs is waited for.
func (gt *Gate) shutDown(srv *http.Server) {
	gt.shuttingDown.Store(true)
	gt.log.WithField("event", string(trace.LeavingBegan)).Info("graceful stop began")
	end := time.Now().Add(gt.opts.StopTimeout)
	time.Sleep(gt.opts.BalancerLag / 3)
	gt.closeConnections.Store(true)
	time.Sleep(gt.opts.BalancerLag - gt.opts.BalancerLag/3)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		gt.log.WithError(err).Warn("requests were still running at the end of the stop")
		_ = srv.Close()
	}
}

func (gt *Gate) serveReady(wr http.ResponseWriter, _ *http.Request) {
	switch {
	case gt.shuttingDown.Load():
		http.Error(wr, "leaving", http.StatusServiceUnavailable)
	case gt.routes.Load() == nil:
		http.Error(wr, "no configuration yet", http.StatusServiceUnavailable)
	}
}

// servePeers serves what gates offer to other processes of the system.
func (gt *Gate) servePeers(ctx context.Context, lis net.Listener) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNode(mux, &nodeHandler{gate: gt}); err != nil {
		gt.log.WithError(err).Error("peers can't be served")
		return
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()})
	if err := srv.Serve(ctx, lis); err != nil && ctx.Err() == nil {
		gt.log.WithError(err).Error("serving peers ended")
	}
}

// probePaused looks whether servers that did not answer can be reached again.
func (gt *Gate) probeUnreachable(ctx context.Context) {
	var wg conc.WaitGroup
	for id, address := range gt.picker.Paused(time.Now().Add(probeInterval)) {
		wg.Go(func() {
			if !call.Probe(ctx, address) && ctx.Err() == nil {
				gt.picker.Unreached(time.Now(), id)
			}
		})
	}
	wg.Wait()
}
