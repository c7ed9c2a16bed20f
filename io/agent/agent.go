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
	"shallotcleat/core/order"
	"shallotcleat/core/weight"
	"shallotcleat/io/bill"
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

// Limits of an agent.
const (
	// ticketLifetime bounds the time between the grant of a ticket and its redemption.
	ticketLifetime = 10 * time.Second
	// statePeriod is the time between two reads of the server's state.
	statePeriod = 250 * time.Millisecond
	// settlePeriod is the time between two rounds of settling rows that no entry has settled.
	settlePeriod = time.Second
	// settleAge is how long an entry has to settle a row before the agent does.
	settleAge = 2 * time.Second
	// billPeriod is the time between two looks for usage records that no entry has confirmed in the confirmTime, which
	// leaves an entry a whole round through all agents.
	billPeriod  = 30 * time.Second
	confirmTime = 5 * time.Minute
	// drainPeriod is the time between two checks whether all work is done.
	drainPeriod = 20 * time.Millisecond
)

// Options are the settings and parts of an agent. Exactly one of Engine and PlainService is set.
type Options struct {
	// Address is the host and port under which entries reach the agent; it is the agent's name.
	Address      string
	Service      string
	Slots        int
	Engine       server.Engine
	PlainService server.PlainService
	Store        table.Store
	Objects      object.Store
	VMList       vmlist.List
	// Seeds are the VMs to know before the list has answered.
	SeedVMs  []vmlist.VM
	Recorder *trace.Recorder
	Pool     *link.Pool
	// Incarnation is a number that no earlier start of this agent had.
	Incarnation uint64
	// Fencing tells whether the engine refuses orders with old fencing numbers.
	Fencing bool
	// StopTimeout bounds the wait for running work at a stop.
	StopTimeout time.Duration
}

// Agent serves one backend server.
type Agent struct {
	address     string
	service     string
	incarnation uint64
	stopTimeout time.Duration
	model       server.Engine
	plain       server.PlainService
	store       table.Store
	rec         *trace.Recorder
	pool        *link.Pool
	board       *board.Board
	clock       clock.Service
	watcher     *watch.Watcher
	vms         *watch.VMs
	gate        *gate
	streams     *streams
	holder      *bill.PendingRecords
	bill        *bill.Writer

	// ledgerMu guards the ledger.
	ledgerMu sync.Mutex
	ledger   *order.Ledger

	// loaderMu guards the loader.
	loaderMu sync.Mutex
	loader   *weight.Loader

	// stopping is set when the process has been told to stop.
	stopping atomic.Bool
	// retired is set while the configuration or the VM list says that the server leaves.
	retired atomic.Bool
	state   atomic.Pointer[server.State]
	done    chan struct{}
}

// New returns an agent that has not begun to serve.
func New(opts Options) *Agent {
	ag := &Agent{
		address:     opts.Address,
		service:     opts.Service,
		incarnation: opts.Incarnation,
		stopTimeout: opts.StopTimeout,
		model:       opts.Engine,
		plain:       opts.PlainService,
		store:       opts.Store,
		rec:         opts.Recorder,
		pool:        opts.Pool,
		board:       board.New(),
		clock:       timer.New(),
		gate:        newGate(opts.Slots),
		streams:     newStreams(opts.Incarnation),
		holder:      bill.NewPendingRecords(),
		bill:        bill.NewWriter(opts.Objects, opts.Recorder, fmt.Sprintf("agent-%x", opts.Incarnation)),
		ledger:      order.NewLedger(opts.Address, opts.Incarnation, ticketLifetime, opts.Slots*ticketsPerSlot),
		loader:      weight.NewLoader(opts.Address, opts.Incarnation, opts.Fencing),
		done:        make(chan struct{}),
	}
	ag.state.Store(&server.State{})
	ag.vms = watch.NewVMs(opts.VMList, opts.SeedVMs, opts.Recorder, ag.clock, ag.updateRetired)
	ag.watcher = watch.New(watch.Options{
		Board:    ag.board,
		Store:    opts.Store,
		Objects:  opts.Objects,
		Recorder: opts.Recorder,
		Random:   rand.New(rand.NewPCG(opts.Incarnation, 0)),
		Peers:    ag.peers,
		Clock:    ag.clock,
	})
	ag.board.Subscribe(ag.applyPreset)
	return ag
}

// ticketsPerSlot is how many tickets may be out for each call that the server runs at once.
const ticketsPerSlot = 4

// Done is closed when Serve has ended.
func (ag *Agent) Done() <-chan struct{} { return ag.done }

// Board returns the agent's blackboard.
func (ag *Agent) Board() *board.Board { return ag.board }

// EngineIncarnation returns the last known incarnation of the backend server.
func (ag *Agent) EngineIncarnation() uint64 { return ag.state.Load().Incarnation }

// Weights returns the last known version of the weights that the engine serves.
func (ag *Agent) Weights() string { return ag.state.Load().Weights }

// Serve answers entries on a listener until the context ends; then it lets all accepted work finish.
func (ag *Agent) Serve(ctx context.Context, lis net.Listener) error {
	defer close(ag.done)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, &handler{agent: ag}); err != nil {
		return fmt.Errorf("register agent: %w", err)
	}
	// The background outlives ctx: while work finishes, entries still probe and confirm.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ag.readState(background)
	ag.vms.First(background)
	ag.watcher.Boot(background)
	ag.rec.Note("", trace.Started, "role", "agent", "address", ag.address, "service", ag.service)

	var loops conc.WaitGroup
	loops.Go(func() { ag.vms.Run(background) })
	loops.Go(func() { ag.watcher.Run(background) })
	endState := ag.clock.Every(statePeriod, func() { ag.readState(background) })
	endBill := ag.clock.Every(billPeriod, func() { ag.writeBill(background, ag.clock.Now().Add(-confirmTime)) })
	endSettle := ag.clock.Every(settlePeriod, func() { ag.settle(background) })
	var serveErr error
	loops.Go(func() {
		srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()})
		serveErr = srv.Serve(background, lis)
	})

	<-ctx.Done()
	ag.stop(background)
	ag.writeBill(background, ag.clock.Now())
	cancel()
	endState()
	endSettle()
	endBill()
	loops.Wait()
	ag.rec.Note("", trace.Stopped)
	if serveErr != nil && !errors.Is(serveErr, context.Canceled) {
		return fmt.Errorf("serve agents' protocol: %w", serveErr)
	}
	return nil
}

// stop refuses new work and returns when all accepted work is done and settled, or the stop's timeout has passed.
func (ag *Agent) stop(ctx context.Context) {
	ag.stopping.Store(true)
	ag.rec.Note("", trace.LeavingBegan)
	limit := time.After(ag.stopTimeout)
	tick := time.NewTicker(drainPeriod)
	defer tick.Stop()
	for !ag.isIdle() {
		select {
		case <-limit:
			ag.rec.Log().Warn("stop timeout exceeded; requests are cut off")
			return
		case <-tick.C:
			ag.settle(ctx)
		}
	}
}

func (ag *Agent) isIdle() bool {
	ag.ledgerMu.Lock()
	tickets := ag.ledger.LiveCount(time.Now())
	ag.ledgerMu.Unlock()
	return tickets == 0 && ag.gate.isEmpty() && ag.streams.readers() == 0
}

// writeBill writes the usage records that were kept before a time and that no entry has confirmed.
func (ag *Agent) writeBill(ctx context.Context, before time.Time) {
	for _, rc := range ag.holder.TakeOlder(before) {
		ag.bill.Add(rc)
	}
	if err := ag.bill.Flush(ctx); err != nil {
		ag.rec.Log().WithError(err).Warn("usage records wait for the object store")
	}
}

// isLeaving reports whether new work is refused.
func (ag *Agent) isLeaving() bool { return ag.stopping.Load() || ag.retired.Load() }

// updateRetired compares the configuration and the VM list with the agent's own address.
func (ag *Agent) updateRetired() {
	retired := false
	if sn := ag.board.Snapshot(); sn != nil {
		retired = sn.Head().IsRetired(ag.address)
	}
	leaving := slices.ContainsFunc(ag.vms.Latest(), func(vm vmlist.VM) bool {
		return vm.Address == ag.address && vm.Leaving
	})
	if was := ag.retired.Swap(retired || leaving); !was && (retired || leaving) {
		ag.rec.Note("", trace.LeavingBegan)
	}
}

func (ag *Agent) applyPreset(sn *config.Snapshot) {
	preset := sn.Preset()
	ag.gate.setLimits(preset.CheckReserve(), preset.QueueLimit())
	ag.updateRetired()
}

// readState asks the backend server for its state. A server that does not answer keeps the last one; calls tell.
func (ag *Agent) readState(ctx context.Context) {
	if ag.model == nil {
		return
	}
	st, err := ag.model.State(ctx)
	if err != nil {
		return
	}
	ag.gate.setClaimedRate(st.PrefillRate)
	ag.state.Store(&st)
	ag.steerWeights(ctx, st)
}

// status returns what goes with each reply.
func (ag *Agent) status() *wire.Status {
	st := ag.state.Load()
	weights := st.Weights
	if st.Loading {
		weights = member.LoadingWeights
	}
	wait, rate := ag.gate.load(admit.ClassLong)
	return wire.FromStatus(member.NewStatus(ag.rec.Stamp(), ag.incarnation, st.Incarnation, ag.board.Epoch(),
		weights, wait, rate, ag.isLeaving()))
}

// peers returns the entries that the agent compares configurations with.
func (ag *Agent) peers() []watch.Exchanger {
	var peers []watch.Exchanger
	for _, vm := range ag.vms.Latest() {
		if vm.Role == vmlist.Entry {
			peers = append(peers, ag.pool.Peer(vm.Address))
		}
	}
	return peers
}
