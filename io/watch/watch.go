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

// Periods and limits of propagation. A committed change must be in force in every process within 8 s, which leaves time for
// several rounds.
const (
	tablePollPeriod = time.Second
	peerSyncPeriod  = time.Second
	callTimeout     = time.Second
	bootstrapPeers  = 5
	// bootstrapGrace is how long a starting process waits for a later configuration after it has adopted the first one.
	bootstrapGrace = 200 * time.Millisecond
	// maxPeersPerRound bounds the peers that are tried in one round when exchanges fail.
	maxPeersPerRound = 12
	// tableReadsPerPeriod bounds the expected number of reads of the head per period by all processes together. With more
	// processes, each reads at random with a lower probability and otherwise learns of changes from its peers.
	tableReadsPerPeriod = 100
)

// Exchanger is a peer (an agent or an entry) with which a process exchanges configurations.
type Exchanger interface {
	Exchange(ctx context.Context, in *wire.ExchangeRequest) (*wire.ExchangeReply, error)
}

// Watcher keeps the configuration of one process up to date.
type Watcher struct {
	board   *board.Board
	store   table.Store
	objects object.Store
	rec     *trace.Recorder
	// rngMu guards rng, since the subscriptions run concurrently.
	rngMu sync.Mutex
	rng   *rand.Rand
	// peers returns the current peers in a new slice, which the watcher shuffles. It is called for each round.
	peers func() []Exchanger
	// pollsTable reports whether this process keeps reading the head from the table after Bootstrap.
	pollsTable bool
	clock      clock.Clock
	done       chan struct{}
}

// Options are the dependencies of a watcher.
type Options struct {
	Board      *board.Board
	Store      table.Store
	Objects    object.Store
	Recorder   *trace.Recorder
	Random     *rand.Rand
	Peers      func() []Exchanger
	PollsTable bool
	Clock      clock.Clock
}

// New returns a watcher that is started by Bootstrap and Run.
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

// Done returns a channel that is closed when Run returns.
func (wt *Watcher) Done() <-chan struct{} { return wt.done }

// Bootstrap queries the table and several peers concurrently. It returns when all queries have finished, or bootstrapGrace
// after the first configuration is in force: an unresponsive table must not delay a process that has received a
// configuration from its peers.
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

// Run keeps the configuration up to date until ctx is canceled.
func (wt *Watcher) Run(ctx context.Context) {
	defer close(wt.done)
	defer wt.Start(ctx)()
	<-ctx.Done()
}

// Start starts the periodic reads of the table and exchanges with peers. A process without a configuration reads the table in
// every period, even if Options.PollsTable is false. The returned function stops both.
func (wt *Watcher) Start(ctx context.Context) (stop func()) {
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

// shouldPollTable decides at random whether this process reads the table in this period.
func (wt *Watcher) shouldPollTable() bool {
	if !wt.pollsTable {
		return false
	}
	processes := len(wt.peers()) + 1
	wt.rngMu.Lock()
	defer wt.rngMu.Unlock()
	return wt.rng.IntN(processes) < tableReadsPerPeriod
}

// syncWithPeers synchronizes with one random peer, and tries others at once if the exchange fails.
func (wt *Watcher) syncWithPeers(ctx context.Context) {
	for _, peer := range wt.randomPeers(maxPeersPerRound) {
		if wt.SyncWith(ctx, peer) == nil {
			return
		}
	}
}

// randomPeers returns up to count distinct peers in random order.
func (wt *Watcher) randomPeers(count int) []Exchanger {
	peers := wt.peers()
	wt.rngMu.Lock()
	defer wt.rngMu.Unlock()
	wt.rng.Shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	return peers[:min(count, len(peers))]
}

// pollTable reads the head and adopts it if its epoch is higher than the one in force.
func (wt *Watcher) pollTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hd, _, err := ReadHead(ctx, wt.store)
	if err != nil || hd.Epoch() <= wt.board.Epoch() {
		return
	}
	text, err := wt.declaration(ctx, hd)
	if err != nil {
		wt.rec.Log().WithError(err).Warn("failed to read the declaration of the head")
		return
	}
	if err := wt.adopt(hd, text, "table"); err != nil {
		wt.rec.Log().WithError(err).Error("failed to adopt the head from the table")
	}
}

// declaration returns the declaration of a head. It reads the object store only if the declaration differs from the one in
// force.
func (wt *Watcher) declaration(ctx context.Context, hd config.Head) ([]byte, error) {
	if sn := wt.board.Snapshot(); sn != nil && sn.Head().Hash() == hd.Hash() {
		return sn.Text(), nil
	}
	return ReadDeclaration(ctx, wt.objects, hd.Hash())
}

// adopt puts a configuration in force if its epoch is higher than the current one. The event names the source.
func (wt *Watcher) adopt(hd config.Head, text []byte, source string) error {
	if hd.Epoch() <= wt.board.Epoch() {
		return nil
	}
	sn, err := config.NewSnapshot(hd, text)
	if err != nil {
		return fmt.Errorf("adopt configuration: %w", err)
	}
	if wt.board.Adopt(sn) {
		wt.rec.RecordEvent("", trace.EpochAdopted, "epoch", strconv.FormatUint(hd.Epoch(), 10),
			"preset", hd.Preset(), "source", source)
	}
	return nil
}

// SyncWith exchanges epochs with a peer and transfers the configuration to the side with the lower epoch. It fails if the
// peer does not reply. If the epochs are equal, the messages contain little more than the epoch.
func (wt *Watcher) SyncWith(ctx context.Context, peer Exchanger) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := wt.exchange(ctx, peer, &wire.ExchangeRequest{})
	if err != nil {
		return fmt.Errorf("exchange epochs: %w", err)
	}
	switch theirs, ours := reply.GetStatus().GetEpoch(), wt.board.Epoch(); {
	case theirs < ours:
		err = wt.push(ctx, peer)
	case theirs > ours:
		err = wt.pull(ctx, peer, reply)
	}
	if err != nil {
		return fmt.Errorf("transfer configuration: %w", err)
	}
	return nil
}

// exchange sends a request with the current epoch and timestamp to a peer, and counts the bytes of both messages.
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

// push sends the head in force to a peer with a lower epoch, and the declaration if the peer requests it.
func (wt *Watcher) push(ctx context.Context, peer Exchanger) error {
	sn := wt.board.Snapshot()
	reply, err := wt.exchange(ctx, peer, &wire.ExchangeRequest{Head: wire.FromHead(sn.Head())})
	if err != nil || !reply.GetWantText() {
		return err
	}
	_, err = wt.exchange(ctx, peer, &wire.ExchangeRequest{Head: wire.FromHead(sn.Head()), Text: sn.Text()})
	return err
}

// pull adopts the head in a peer's reply, and first requests the declaration if it differs from the one in force.
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

// localDeclaration returns the declaration of a head if it is the one in force, which is so if only the preset or the servers
// have changed.
func (wt *Watcher) localDeclaration(head *wire.Head) ([]byte, bool) {
	sn := wt.board.Snapshot()
	if sn == nil || sn.Head().Hash() != head.GetHash() {
		return nil, false
	}
	return sn.Text(), true
}

// HandleExchange handles a request that a peer's SyncWith sends. It sets the epoch of status to the current one and returns
// status in the reply. For an entry, whose status is nil, the reply has one with only the epoch and a timestamp.
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

// adoptPushed adopts the configuration in a request. It returns false if the declaration is neither in the request nor in
// force here. It returns true also if the configuration is invalid.
func (wt *Watcher) adoptPushed(rq *wire.ExchangeRequest) bool {
	text := rq.GetText()
	if len(text) == 0 {
		var ok bool
		if text, ok = wt.localDeclaration(rq.GetHead()); !ok {
			return false
		}
	}
	if err := wt.adopt(rq.GetHead().ToHead(), text, "push"); err != nil {
		wt.rec.Log().WithError(err).Error("failed to adopt the configuration from a peer")
	}
	return true
}
