package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/admit"
	"shallotcleat/core/board"
	"shallotcleat/core/clock"
	"shallotcleat/core/config"
	"shallotcleat/core/member"
	"shallotcleat/core/memory"
	"shallotcleat/core/order"
	"shallotcleat/core/weight"
	"shallotcleat/io/bill"
	"shallotcleat/io/intake"
	"shallotcleat/io/link"
	"shallotcleat/io/object"
	"shallotcleat/io/server"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/watch"
	"shallotcleat/io/wire"
)

// Intervals and timeouts of an agent.
const (
	// ticketLifetime is the time within which a granted ticket must be redeemed.
	ticketLifetime = 10 * time.Second
	// stateInterval is the interval between reads of the engine's state.
	stateInterval = 250 * time.Millisecond
	// settleInterval is the interval at which the agent settles rows that no entry has settled.
	settleInterval = time.Second
	// settleDelay is the time that an entry has to settle a row before the agent does.
	settleDelay = 2 * time.Second
	// usageInterval is the interval at which the agent writes the usage records that no entry has confirmed within
	// confirmTimeout. That timeout is longer than an entry's round through all agents.
	usageInterval  = 30 * time.Second
	confirmTimeout = 5 * time.Minute
	// drainInterval is the interval between checks whether all work is done.
	drainInterval = 20 * time.Millisecond
)

// Options are the settings and dependencies of an agent. Exactly one of Engine and PlainService is set.
type Options struct {
	// Address is the host and port at which entries reach the agent; it identifies the agent.
	Address string
	// Service is the name of the service that the backend server belongs to.
	Service string
	// Slots is the number of requests that may run at once in the backend server.
	Slots        int
	Engine       server.Engine
	PlainService server.PlainService
	Store        table.Store
	Objects      object.Store
	VMList       vmlist.Lister
	// SeedVMs are the VMs known before the first read of the VM list.
	SeedVMs  []vmlist.VM
	Recorder *trace.Recorder
	Pool     *link.Pool
	// MemoryBytes is the memory available to the process, or zero if unknown; what callers can make it hold is bounded by it.
	MemoryBytes int64
	// Incarnation is a number that is new at each start of the agent.
	Incarnation uint64
	// Fencing is set if the engine refuses load orders with outdated fencing numbers.
	Fencing bool
	// StopTimeout is the maximum time that a stop waits for running work.
	StopTimeout time.Duration
}

// Agent admits and forwards the requests to one backend server.
type Agent struct {
	address      string
	service      string
	incarnation  uint64
	stopTimeout  time.Duration
	engine       server.Engine
	plainService server.PlainService
	store        table.Store
	rec          *trace.Recorder
	pool         *link.Pool
	board        *board.Board
	clock        clock.Clock
	watcher      *watch.Watcher
	vms          *watch.VMPoller
	limiter      *limiter
	streams      *streamRegistry
	pendingUsage *bill.PendingRecords
	usageWriter  *bill.Writer
	memory       *memory.Budget
	reporter     *intake.Reporter

	// ledgerMu guards the ledger.
	ledgerMu sync.Mutex
	ledger   *order.Ledger

	// loaderMu guards the loader.
	loaderMu sync.Mutex
	loader   *weight.Loader

	// stopping is set when the agent begins to stop.
	stopping atomic.Bool
	// retired is set while the configuration retires the server or the VM list marks its VM as leaving.
	retired atomic.Bool
	// engineState is the engine's state at the last successful read.
	engineState atomic.Pointer[server.State]
	done        chan struct{}
}

// New returns an agent that is not serving yet; Serve starts it.
func New(opts Options) *Agent {
	ag := &Agent{
		address:      opts.Address,
		service:      opts.Service,
		incarnation:  opts.Incarnation,
		stopTimeout:  opts.StopTimeout,
		engine:       opts.Engine,
		plainService: opts.PlainService,
		store:        opts.Store,
		rec:          opts.Recorder,
		pool:         opts.Pool,
		board:        board.New(),
		clock:        timer.New(),
		limiter:      newLimiter(opts.Slots),
		pendingUsage: bill.NewPendingRecords(),
		usageWriter:  bill.NewWriter(opts.Objects, opts.Recorder, fmt.Sprintf("agent-%x", opts.Incarnation)),
		ledger:       order.NewLedger(opts.Address, opts.Incarnation, ticketLifetime, opts.Slots*ticketsPerSlot),
		loader:       weight.NewLoader(opts.Address, opts.Incarnation, opts.Fencing),
		memory:       memory.NewBudget(opts.MemoryBytes),
		done:         make(chan struct{}),
	}
	ag.streams = newStreamRegistry(opts.Incarnation, ag.memory)
	ag.reporter = intake.NewReporter(ag.memory, opts.Recorder)
	ag.engineState.Store(&server.State{})
	ag.vms = watch.NewVMPoller(opts.VMList, opts.SeedVMs, opts.Recorder, ag.clock, ag.updateRetired)
	ag.watcher = watch.New(watch.Options{
		Board:    ag.board,
		Store:    opts.Store,
		Objects:  opts.Objects,
		Recorder: opts.Recorder,
		Random:   rand.New(rand.NewPCG(opts.Incarnation, 0)),
		Peers:    ag.peers,
		Clock:    ag.clock,
	})
	ag.board.Subscribe(ag.applySnapshot)
	return ag
}

// ticketsPerSlot is the maximum number of live tickets for each slot of the backend server.
const ticketsPerSlot = 4

// Done returns a channel that is closed when Serve has returned.
func (ag *Agent) Done() <-chan struct{} { return ag.done }

// Board returns the board with the agent's configuration.
func (ag *Agent) Board() *board.Board { return ag.board }

// EngineIncarnation returns the last known incarnation of the engine, or zero.
func (ag *Agent) EngineIncarnation() uint64 { return ag.engineState.Load().Incarnation }

// WeightVersion returns the last known version of the weights that the engine serves, or the empty string.
func (ag *Agent) WeightVersion() string { return ag.engineState.Load().WeightVersion }

// Serve serves entries on a listener until the context is done. It then refuses new work and waits for accepted work,
// at most for the stop timeout.
func (ag *Agent) Serve(ctx context.Context, lis net.Listener) error {
	defer close(ag.done)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, &handler{agent: ag}); err != nil {
		return fmt.Errorf("register agent service: %w", err)
	}
	// The background context outlives ctx: entries still probe and confirm orders while running work finishes.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ag.readEngineState(background)
	ag.vms.ReadInitial(background)
	ag.watcher.Bootstrap(background)
	ag.rec.RecordEvent("", trace.ProcessStarted, "role", "agent", "address", ag.address, "service", ag.service)

	var loops conc.WaitGroup
	loops.Go(func() { ag.vms.Run(background) })
	loops.Go(func() { ag.watcher.Run(background) })
	cancelState := ag.clock.Every(stateInterval, func() { ag.readEngineState(background) })
	cancelUsage := ag.clock.Every(usageInterval, func() { ag.writeUsage(background, ag.clock.Now().Add(-confirmTimeout)) })
	cancelSettle := ag.clock.Every(settleInterval, func() { ag.settleRows(background) })
	cancelReport := ag.reporter.Start(ag.clock)
	defer cancelReport()
	var serveErr error
	loops.Go(func() {
		srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()})
		serveErr = intake.ServePeers(background, srv, lis, ag.memory)
	})

	<-ctx.Done()
	ag.drain(background)
	ag.writeUsage(background, ag.clock.Now())
	cancel()
	cancelState()
	cancelSettle()
	cancelUsage()
	loops.Wait()
	ag.rec.RecordEvent("", trace.ProcessStopped)
	if serveErr != nil && !errors.Is(serveErr, context.Canceled) {
		return fmt.Errorf("serve agent protocol: %w", serveErr)
	}
	return nil
}

// drain refuses new work and returns when all accepted work is done and settled, or after the stop timeout.
func (ag *Agent) drain(ctx context.Context) {
	ag.stopping.Store(true)
	ag.rec.RecordEvent("", trace.LeavingBegan)
	timeout := time.After(ag.stopTimeout)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !ag.isDrained() {
		select {
		case <-timeout:
			ag.rec.Log().Warn("stop timeout exceeded; aborting the running requests")
			return
		case <-ticker.C:
			ag.settleRows(ctx)
		}
	}
}

// isDrained reports whether no ticket is live, no request runs or waits, and no stream has a reader.
func (ag *Agent) isDrained() bool {
	ag.ledgerMu.Lock()
	tickets := ag.ledger.LiveCount(time.Now())
	ag.ledgerMu.Unlock()
	return tickets == 0 && ag.limiter.isEmpty() && ag.streams.readerCount() == 0
}

// writeUsage writes the usage records that were added before a time and that no entry has confirmed. Records that
// cannot be written stay buffered for the next call.
func (ag *Agent) writeUsage(ctx context.Context, before time.Time) {
	for _, rc := range ag.pendingUsage.TakeOlder(before) {
		ag.usageWriter.Add(rc)
	}
	if err := ag.usageWriter.Flush(ctx); err != nil {
		ag.rec.Log().WithError(err).Warn("cannot write usage records; they stay buffered")
	}
}

// isLeaving reports whether the agent refuses new work.
func (ag *Agent) isLeaving() bool { return ag.stopping.Load() || ag.retired.Load() }

// updateRetired sets retired from the configuration and the VM list, and records an event when it becomes true.
func (ag *Agent) updateRetired() {
	retired := false
	if sn := ag.board.Snapshot(); sn != nil {
		retired = sn.Head().IsRetired(ag.address)
	}
	leaving := slices.ContainsFunc(ag.vms.Latest(), func(vm vmlist.VM) bool {
		return vm.Address == ag.address && vm.Leaving
	})
	if was := ag.retired.Swap(retired || leaving); !was && (retired || leaving) {
		ag.rec.RecordEvent("", trace.LeavingBegan)
	}
}

// applySnapshot applies a configuration that has come into force: the limits of its preset and its list of retired
// servers.
func (ag *Agent) applySnapshot(sn *config.Snapshot) {
	preset := sn.Preset()
	ag.limiter.setLimits(preset.CheckReserve(), preset.QueueLimit())
	ag.updateRetired()
}

// readEngineState reads the state of a model engine and passes it to the limiter and the loader. If the engine does not
// respond, the last state is kept, since failed calls reveal an outage.
func (ag *Agent) readEngineState(ctx context.Context) {
	if ag.engine == nil {
		return
	}
	st, err := ag.engine.State(ctx)
	if err != nil {
		return
	}
	ag.limiter.setAdvertisedRate(st.PrefillRate)
	ag.engineState.Store(&st)
	ag.updateLoader(ctx, st)
}

// status returns the agent's status, which is part of each reply.
func (ag *Agent) status() *wire.Status {
	st := ag.engineState.Load()
	weightVersion := st.WeightVersion
	if st.Loading {
		weightVersion = member.LoadingWeights
	}
	wait, rate := ag.limiter.expectedWait(admit.ClassLong)
	return wire.FromStatus(member.NewStatus(ag.rec.Stamp(), ag.incarnation, st.Incarnation, ag.board.Epoch(),
		weightVersion, wait, rate, ag.isLeaving()))
}

// peers returns clients of the entries with which the agent compares configurations.
func (ag *Agent) peers() []watch.Exchanger {
	var peers []watch.Exchanger
	for _, vm := range ag.vms.Latest() {
		if vm.Role == vmlist.RoleEntry {
			peers = append(peers, ag.pool.Peer(vm.Address))
		}
	}
	return peers
}
