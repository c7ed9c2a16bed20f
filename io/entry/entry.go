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
	"shallotcleat/core/place"
	"shallotcleat/core/retry"
	"shallotcleat/io/bill"
	"shallotcleat/io/link"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
	"shallotcleat/io/trace"
	"shallotcleat/io/vmlist"
	"shallotcleat/io/watch"
	"shallotcleat/io/wire"
)

// Limits at the edge.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// maxHeat bounds the hot prefixes that an entry tells a restarted one; each takes 12 bytes.
const maxHeat = 500

// billPeriod is the time between two batches of usage records.
const billPeriod = 5 * time.Second

// Options are the settings and parts of an entry.
type Options struct {
	// PeerAddress is the host and port under which agents and other entries reach this entry.
	PeerAddress  string
	Zone         string
	PieceTokens  int
	MaxBodyBytes int64
	Store        table.Store
	Objects      object.Store
	VMList       vmlist.Lister
	// SeedVMs are the VMs to know before the list has answered.
	SeedVMs  []vmlist.VM
	Recorder *trace.Recorder
	Pool     *link.Pool
	// RandomSeed begins the process's random numbers.
	RandomSeed uint64
	// BalancerLag is how long callers may still arrive after readiness has failed.
	BalancerLag time.Duration
	// StopTimeout bounds the wait for running requests at a stop.
	StopTimeout time.Duration
}

// Entry serves callers.
type Entry struct {
	opts    Options
	rec     *trace.Recorder
	pool    *link.Pool
	store   table.Store
	board   *board.Board
	clock   clock.Service
	chooser *place.Chooser
	budget  *retry.Budget
	watcher *watch.Watcher
	vms     *watch.VMPoller
	bill    *bill.Writer
	// polled is the position of the next agent to poll, round robin; each entry begins at a place of its own. Only the start and then the
	// timer's call use it.
	polled uint64
	// leaving is set when the process has been told to stop.
	leaving atomic.Bool
	// background runs what follows an answer: confirmations and voided tickets.
	background conc.WaitGroup
	done       chan struct{}
}

// New returns an entry that has not begun to serve.
func New(opts Options) *Entry {
	en := &Entry{
		opts:    opts,
		rec:     opts.Recorder,
		pool:    opts.Pool,
		store:   opts.Store,
		board:   board.New(),
		clock:   timer.New(),
		polled:  opts.RandomSeed >> 1,
		bill:    bill.NewWriter(opts.Objects, opts.Recorder, fmt.Sprintf("entry-%x", opts.RandomSeed)),
		chooser: place.NewChooser(opts.Zone),
		budget:  retry.NewBudget(),
		done:    make(chan struct{}),
	}
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
	en.board.Subscribe(func(sn *config.Snapshot) { en.updateMembersOf(sn) })
	return en
}

// Board returns the entry's blackboard.
func (en *Entry) Board() *board.Board { return en.board }

// Done is closed when Serve has ended.
func (en *Entry) Done() <-chan struct{} { return en.done }

// Serve answers callers and peers until the context ends; then it lets all running requests finish.
func (en *Entry) Serve(ctx context.Context, callers, peers net.Listener) error {
	defer close(en.done)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, &peerHandler{entry: en}); err != nil {
		return fmt.Errorf("register peer: %w", err)
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	en.updateMembers()
	en.vms.ReadInitial(background)
	en.watcher.Bootstrap(background)
	en.warm(background)
	en.pollFirst(background)
	en.rec.RecordEvent("", trace.ProcessStarted, "role", "entry", "address", callers.Addr().String())

	var loops conc.WaitGroup
	loops.Go(func() { en.vms.Run(background) })
	loops.Go(func() { en.watcher.Run(background) })
	endBill := en.clock.Every(billPeriod, func() { en.flushBill(background) })
	endPoll := en.clock.Every(pollPeriod, func() { en.pollNext(background) })
	loops.Go(func() {
		srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.ManagerOptions()})
		_ = srv.Serve(background, peers)
	})
	web := &http.Server{
		Handler:           en.routes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	failed := make(chan error, 1)
	loops.Go(func() { failed <- web.Serve(callers) })

	var err error
	select {
	case <-ctx.Done():
		err = en.stop(web)
	case err = <-failed:
		err = fmt.Errorf("serve callers: %w", err)
	}
	en.flushBill(background)
	cancel()
	endBill()
	endPoll()
	loops.Wait()
	en.background.Wait()
	en.rec.RecordEvent("", trace.ProcessStopped)
	return err
}

// stop fails readiness, waits until the balancer has noticed, and lets the running requests finish.
func (en *Entry) stop(web *http.Server) error {
	en.leaving.Store(true)
	en.rec.RecordEvent("", trace.LeavingBegan)
	time.Sleep(en.opts.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), en.opts.StopTimeout)
	defer cancel()
	if err := web.Shutdown(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stop timeout exceeded; requests are cut off: %w", err)
	}
	return nil
}

// flushBill writes the usage records; what can't be written is tried again in the next period.
func (en *Entry) flushBill(ctx context.Context) {
	if err := en.bill.Flush(ctx); err != nil {
		en.rec.Log().WithError(err).Warn("usage records wait for the object store")
	}
}

// peerHandler serves what entries offer to agents and to each other.
type peerHandler struct {
	entry *Entry
}

// Exchange compares configurations.
func (ph *peerHandler) Exchange(_ context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	reply := ph.entry.watcher.HandleExchange(rq, nil)
	if rq.GetWantHeat() {
		reply.Heat = wire.FromHeat(ph.entry.chooser.HotPrefixes(ph.entry.clock.Now(), maxHeat))
	}
	return reply, nil
}
