package watch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"shallotcleat/core/board"
	"shallotcleat/core/clock"
	"shallotcleat/core/config"
	"shallotcleat/core/stamp"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Periods of the spread. An accepted change is in force everywhere within 8 s, hence several rounds fit into it.
const (
	tablePollPeriod = time.Second
	peerSyncPeriod  = time.Second
	callTimeout     = time.Second
	bootstrapPeers  = 5
	// bootstrapGrace is how long a starting process waits for a later configuration than the first that it was told.
	bootstrapGrace = 200 * time.Millisecond
	// maxPeersPerRound bounds the peers that are asked in one round when messages are lost.
	maxPeersPerRound = 12
	// tableReadsPerPeriod is how many reads of the head all processes together make in a period; with more of them each one
	// reads by chance, and learns the rest from its peers.
	tableReadsPerPeriod = 100
)

// Exchanger is a process that compares configurations: an agent or an entry.
type Exchanger interface {
	Exchange(ctx context.Context, in *wire.ExchangeRequest) (*wire.ExchangeReply, error)
}

// Watcher keeps the configuration of one process up to date.
type Watcher struct {
	board   *board.Board
	store   table.Store
	objects object.Store
	rec     *trace.Recorder
	// rngMu guards rng, since the subscriptions run beside each other.
	rngMu sync.Mutex
	rng   *rand.Rand
	// peers returns the processes that may be asked; it is called for each round.
	peers func() []Exchanger
	// pollsTable tells whether this process reads the head row by itself after it has begun.
	pollsTable bool
	clock      clock.Service
	done       chan struct{}
}

// Options are the parts that a watcher works with.
type Options struct {
	Board      *board.Board
	Store      table.Store
	Objects    object.Store
	Recorder   *trace.Recorder
	Random     *rand.Rand
	Peers      func() []Exchanger
	PollsTable bool
	Clock      clock.Service
}

// New returns a watcher that has not begun.
func New(opts Options) *Watcher {
	return &Watcher{
		board:      opts.Board,
		store:      opts.Store,
		objects:    opts.Objects,
		rec:        opts.Recorder,
		rng:        opts.Random,
		peers:      opts.Peers,
		pollsTable: opts.PollsTable,
		clock:      opts.Clock,
		done:       make(chan struct{}),
	}
}

// Done is closed when Run has ended.
func (wt *Watcher) Done() <-chan struct{} { return wt.done }

// Bootstrap asks the table and several peers at once. It returns when all have answered or failed, or soon after the first
// configuration is in force: a table that hangs must not keep a process from serving that its peers have told.
func (wt *Watcher) Bootstrap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	adopted := make(chan struct{})
	signal := sync.OnceFunc(func() { close(adopted) })
	wt.board.Subscribe(func(*config.Snapshot) { signal() })
	finished := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() { wt.pollTable(ctx) })
	for _, peer := range wt.randomPeers(bootstrapPeers) {
		wg.Go(func() { _ = wt.SyncWith(ctx, peer) })
	}
	go func() {
		defer close(finished)
		wg.Wait()
	}()
	select {
	case <-finished:
		return
	case <-adopted:
	}
	select {
	case <-finished:
	case <-time.After(bootstrapGrace):
	}
}

// Run keeps asking until the context ends.
func (wt *Watcher) Run(ctx context.Context) {
	defer close(wt.done)
	defer wt.Subscribe(ctx)()
	<-ctx.Done()
}

// Subscribe begins to ask at each period and returns what ends it.
func (wt *Watcher) Subscribe(ctx context.Context) (cancel func()) {
	cancelTable := wt.clock.Every(tablePollPeriod, func() {
		if wt.shouldPollTable() || wt.board.Epoch() == 0 {
			wt.pollTable(ctx)
		}
	})
	cancelPeers := wt.clock.Every(peerSyncPeriod, func() { wt.syncWithPeers(ctx) })
	return func() {
		cancelTable()
		cancelPeers()
	}
}

// shouldPollTable tells by chance whether this process reads the table now.
func (wt *Watcher) shouldPollTable() bool {
	if !wt.pollsTable {
		return false
	}
	processes := len(wt.peers()) + 1
	wt.rngMu.Lock()
	defer wt.rngMu.Unlock()
	return wt.rng.IntN(processes) < tableReadsPerPeriod
}

// syncWithPeers compares configurations with one peer; if a message is lost it asks others at once.
func (wt *Watcher) syncWithPeers(ctx context.Context) {
	for _, peer := range wt.randomPeers(maxPeersPerRound) {
		if wt.SyncWith(ctx, peer) == nil {
			return
		}
	}
}

// randomPeers returns some peers by chance, all different.
func (wt *Watcher) randomPeers(count int) []Exchanger {
	peers := wt.peers()
	wt.rngMu.Lock()
	defer wt.rngMu.Unlock()
	wt.rng.Shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	return peers[:min(count, len(peers))]
}

func (wt *Watcher) pollTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hd, _, err := ReadHead(ctx, wt.store)
	if err != nil || hd.Epoch() <= wt.board.Epoch() {
		return
	}
	text, err := wt.declaration(ctx, hd)
	if err != nil {
		wt.rec.Log().WithError(err).Warn("the head's declaration can't be read")
		return
	}
	if err := wt.adopt(hd, text, "table"); err != nil {
		wt.rec.Log().WithError(err).Error("the head can't be put in force")
	}
}

// declaration returns the declaration of a head, from memory if only the preset or the servers have changed.
func (wt *Watcher) declaration(ctx context.Context, hd config.Head) ([]byte, error) {
	if sn := wt.board.Snapshot(); sn != nil && sn.Head().Hash() == hd.Hash() {
		return sn.Text(), nil
	}
	return ReadDeclaration(ctx, wt.objects, hd.Hash())
}

func (wt *Watcher) adopt(hd config.Head, text []byte, source string) error {
	if hd.Epoch() <= wt.board.Epoch() {
		return nil
	}
	sn, err := config.NewSnapshot(hd, text)
	if err != nil {
		return fmt.Errorf("adopt: %w", err)
	}
	if wt.board.Adopt(sn) {
		wt.rec.RecordEvent("", trace.EpochAdopted, "epoch", strconv.FormatUint(hd.Epoch(), 10), "preset", hd.Preset(), "source", source)
	}
	return nil
}

// SyncWith compares configurations with a peer; whoever is behind receives the other's. It fails if the peer gives no answer.
// When both have the same, the messages hold little more than an epoch each.
func (wt *Watcher) SyncWith(ctx context.Context, peer Exchanger) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wt.exchange(ctx, peer, &wire.ExchangeRequest{})
	if err != nil {
		return fmt.Errorf("ask peer: %w", err)
	}
	switch theirs, ours := reply.GetStatus().GetEpoch(), wt.board.Epoch(); {
	case theirs < ours:
		err = wt.push(ctx, peer)
	case theirs > ours:
		err = wt.pull(ctx, peer, reply)
	}
	if err != nil {
		return fmt.Errorf("the configuration did not get across: %w", err)
	}
	return nil
}

func (wt *Watcher) exchange(ctx context.Context, peer Exchanger, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	rq.Context = &wire.Context{Stamp: uint64(wt.rec.Stamp()), Epoch: wt.board.Epoch()}
	wt.rec.CountControlBytes(proto.Size(rq))
	reply, err := peer.Exchange(ctx, rq)
	if err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	wt.rec.CountControlBytes(proto.Size(reply))
	wt.rec.Observe(stamp.Stamp(reply.GetStatus().GetStamp()))
	return reply, nil
}

// push sends this process's head to a peer that is behind, and the declaration if the peer lacks it.
func (wt *Watcher) push(ctx context.Context, peer Exchanger) error {
	sn := wt.board.Snapshot()
	reply, err := wt.exchange(ctx, peer, &wire.ExchangeRequest{Head: wire.FromHead(sn.Head())})
	if err != nil || !reply.GetWantText() {
		return err
	}
	_, err = wt.exchange(ctx, peer, &wire.ExchangeRequest{Head: wire.FromHead(sn.Head()), Text: sn.Text()})
	return err
}

// pull takes the head in a peer's reply, and asks for the declaration if it is not at hand.
func (wt *Watcher) pull(ctx context.Context, peer Exchanger, reply *wire.ExchangeReply) error {
	text, ok := wt.localDeclaration(reply.GetHead())
	if !ok {
		var err error
		if reply, err = wt.exchange(ctx, peer, &wire.ExchangeRequest{WantText: true}); err != nil {
			return err
		}
		text = reply.GetText()
	}
	if reply.GetHead() == nil {
		return nil
	}
	return wt.adopt(reply.GetHead().ToHead(), text, "peer")
}

// localDeclaration returns the declaration of a head if it is the one in force: only the preset or the servers have changed.
func (wt *Watcher) localDeclaration(head *wire.Head) ([]byte, bool) {
	sn := wt.board.Snapshot()
	if sn == nil || sn.Head().Hash() != head.GetHash() {
		return nil, false
	}
	return sn.Text(), true
}

// HandleExchange is the other side of Ask; the status is that of the process, or nil for an entry.
func (wt *Watcher) HandleExchange(rq *wire.ExchangeRequest, status *wire.Status) *wire.ExchangeReply {
	wt.rec.Observe(stamp.Stamp(rq.GetContext().GetStamp()))
	reply := &wire.ExchangeReply{}
	if rq.GetHead().GetEpoch() > wt.board.Epoch() {
		reply.WantText = !wt.adoptPushed(rq)
	}
	if status == nil {
		status = &wire.Status{Stamp: uint64(wt.rec.Stamp())}
	}
	status.Epoch = wt.board.Epoch()
	reply.Status = status
	sn := wt.board.Snapshot()
	if sn != nil && rq.GetContext().GetEpoch() < sn.Epoch() {
		reply.Head = wire.FromHead(sn.Head())
		if rq.GetWantText() {
			reply.Text = sn.Text()
		}
	}
	return reply
}

// adoptPushed adopts the configuration in a request and reports whether its declaration is at hand.
func (wt *Watcher) adoptPushed(rq *wire.ExchangeRequest) bool {
	text := rq.GetText()
	if len(text) == 0 {
		var ok bool
		if text, ok = wt.localDeclaration(rq.GetHead()); !ok {
			return false
		}
	}
	if err := wt.adopt(rq.GetHead().ToHead(), text, "push"); err != nil {
		wt.rec.Log().WithError(err).Error("the pushed configuration can't be put in force")
	}
	return true
}
