package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/core/board"
	"shallotcleat/core/clock"
	"shallotcleat/core/config"
	"shallotcleat/core/memory"
	"shallotcleat/core/place"
	"shallotcleat/core/retry"
	"shallotcleat/io/bill"
	"shallotcleat/io/intake"
	"shallotcleat/io/link"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/watch"
	"shallotcleat/io/wire"
)

// Limits of callers' HTTP connections.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// maxHotPrefixes bounds the hot prefixes that an entry sends to a starting peer; each takes 12 bytes.
const maxHotPrefixes = 500

// cutTime is the part of the time to stop, at its end, in which requests that were cut off are answered; it is at most a tenth of that time.
const cutTime = time.Second

// usageFlushPeriod is the time between writes of usage records to the object store.
const usageFlushPeriod = 5 * time.Second

// Options are the settings and dependencies of an entry.
type Options struct {
	// PeerAddress is the host and port at which agents and other entries reach this entry.
	PeerAddress  string
	Zone         string
	PieceTokens  int
	MaxBodyBytes int64
	// MemoryBytes is the memory available to the process, or zero if unknown; what callers can make it hold is bounded by it.
	MemoryBytes int64
	Store       table.Store
	Objects     object.Store
	VMList      vmlist.Lister
	// SeedVMs are used until the VM list has been read.
	SeedVMs  []vmlist.VM
	Recorder *trace.Recorder
	Pool     *link.Pool
	// RandomSeed seeds the process's random numbers. The start of the poll rotation and the names of the usage records are
	// derived from it as well, so it must differ between entries.
	RandomSeed uint64
	// BalancerLag is how long the load balancer may still send requests after the readiness check fails.
	BalancerLag time.Duration
	// StopTimeout bounds the wait for running requests during the graceful stop.
	StopTimeout time.Duration
}

// Entry serves callers' requests.
type Entry struct {
	opts        Options
	rec         *trace.Recorder
	pool        *link.Pool
	store       table.Store
	board       *board.Board
	clock       clock.Clock
	chooser     *place.Chooser
	budget      *retry.Budget
	watcher     *watch.Watcher
	vms         *watch.VMPoller
	usageWriter *bill.Writer
	memory      *memory.Budget
	reporter    *intake.Reporter
	// nextPoll is the round-robin position of the next agent to poll, with a different start in each entry. It is used at startup
	// and then by the poll timer only, so it needs no lock.
	nextPoll uint64
	// nextLeavingPoll is the same among the agents that are leaving.
	nextLeavingPoll uint64
	// stopping is set once the graceful stop has begun.
	stopping atomic.Bool
	// cut is done once the requests that still run at the end of the graceful stop are cut off.
	cut    context.Context
	cutOff context.CancelFunc
	// background runs the notifications that confirm and void tickets; orders do not wait for them.
	background conc.WaitGroup
	done       chan struct{}
}

// New returns an entry; Serve starts it.
func New(opts Options) *Entry {
	en := &Entry{
		opts:        opts,
		rec:         opts.Recorder,
		pool:        opts.Pool,
		store:       opts.Store,
		board:       board.New(),
		clock:       timer.New(),
		nextPoll:    opts.RandomSeed >> 1,
		usageWriter: bill.NewWriter(opts.Objects, opts.Recorder, fmt.Sprintf("entry-%x", opts.RandomSeed)),
		chooser:     place.NewChooser(opts.Zone),
		budget:      retry.NewBudget(),
		memory:      memory.NewBudget(opts.MemoryBytes),
		done:        make(chan struct{}),
	}
	en.cut, en.cutOff = context.WithCancel(context.Background())
	en.reporter = intake.NewReporter(en.memory, opts.Recorder)
	en.vms = watch.NewVMPoller(opts.VMList, opts.SeedVMs, opts.Recorder, en.clock, en.updateMembers)
	en.watcher = watch.New(watch.Options{
		Board:      en.board,
		Store:      opts.Store,
		Objects:    opts.Objects,
		Recorder:   opts.Recorder,
		Random:     rand.New(rand.NewPCG(opts.RandomSeed, 1)),
		Peers:      en.peers,
		PollsTable: true,
		Clock:      en.clock,
	})
	en.board.Subscribe(func(sn *config.Snapshot) { en.updateMembersFrom(sn) })
	return en
}

// Board returns the entry's board: its configuration and backend servers.
func (en *Entry) Board() *board.Board { return en.board }

// Done returns a channel that is closed when Serve returns.
func (en *Entry) Done() <-chan struct{} { return en.done }

// Serve serves callers and peers until ctx is done or the listener of callers fails. Once ctx is done, it shuts down, waiting up to
// Options.StopTimeout for running requests, and fails if they take longer.
func (en *Entry) Serve(ctx context.Context, callers, peers net.Listener) error {
	defer close(en.done)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &peerHandler{entry: en}); err != nil {
		return fmt.Errorf("register peer: %w", err)
	}
	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	en.updateMembers()
	en.vms.ReadInitial(background)
	en.watcher.Bootstrap(background)
	en.fetchHotPrefixes(background)
	en.pollAtStart(background)
	en.rec.RecordEvent("", trace.ProcessStarted, "role", "entry", "address", callers.Addr().String())

	var loops conc.WaitGroup
	loops.Go(func() { en.vms.Run(background) })
	loops.Go(func() { en.watcher.Run(background) })
	stopFlush := en.clock.Every(usageFlushPeriod, func() { en.flushUsage(background) })
	stopReport := en.reporter.Start(en.clock)
	defer stopReport()
	stopPoll := en.clock.Every(pollPeriod, func() { en.pollNextBatch(background) })
	loops.Go(func() {
		srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()})
		_ = srv.Serve(background, peers)
	})
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return en.cut },
		Handler:           en.routes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         intake.StateChanged,
	}
	serveErr := make(chan error, 1)
	loops.Go(func() { serveErr <- server.Serve(intake.NewListener(callers, en.memory)) })

	var err error
	select {
	case <-ctx.Done():
		err = en.shutdown(server)
	case err = <-serveErr:
		err = fmt.Errorf("serve callers: %w", err)
	}
	en.flushUsage(background)
	cancelBackground()
	stopFlush()
	stopPoll()
	loops.Wait()
	en.background.Wait()
	en.rec.RecordEvent("", trace.ProcessStopped)
	return err
}

// shutdown stops gracefully: it fails the readiness check, waits for BalancerLag, and then waits up to StopTimeout for running
// requests. Shortly before, it cuts off those that still run, so that they are answered.
func (en *Entry) shutdown(server *http.Server) error {
	en.stopping.Store(true)
	en.rec.RecordEvent("", trace.LeavingBegan)
	time.Sleep(en.opts.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), en.opts.StopTimeout)
	defer cancel()
	cut := time.AfterFunc(en.opts.StopTimeout-min(cutTime, en.opts.StopTimeout/10), func() {
		en.rec.Log().Warn("stop timeout reached; cutting off the running requests")
		en.cutOff()
	})
	defer cut.Stop()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stop timeout exceeded; aborting the running requests: %w", err)
	}
	return nil
}

// flushUsage writes the usage records to the object store; records that cannot be written are kept for the next flush.
func (en *Entry) flushUsage(ctx context.Context) {
	if err := en.usageWriter.Flush(ctx); err != nil {
		en.rec.Log().WithError(err).Warn("failed to write usage records to the object store; they stay buffered")
	}
}

// peerHandler implements the Peer service, which entries offer to agents and to each other.
type peerHandler struct {
	entry *Entry
}

// Exchange compares the peers' configurations and returns hot prefixes if they are requested.
func (ph *peerHandler) Exchange(_ context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply := ph.entry.watcher.HandleExchange(rq, nil)
	if rq.GetWantHeat() {
		reply.Heat = wire.FromHotPrefixes(ph.entry.chooser.HotPrefixes(ph.entry.clock.Now(), maxHotPrefixes))
	}
	return reply, nil
}
