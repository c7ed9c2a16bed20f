package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"shallotcleat/core/board"
	"shallotcleat/core/clock"
	"shallotcleat/core/config"
	"shallotcleat/io/logs"
	"shallotcleat/io/object"
	"shallotcleat/io/table"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// errUnavailable is the error of a call whose message is lost or whose store is down.
var errUnavailable = errors.New("down")

// fakeStore is an in-memory table and object store that can be down or lose replies.
type fakeStore struct {
	mu      sync.Mutex
	cells   map[string]table.Cell
	objects map[string][]byte
	down    bool
	// loseReplyEvery is n if every nth commit loses its reply after its writes were applied; 0 loses none.
	loseReplyEvery int
	commits        int
}

func newFakeStore() *fakeStore {
	return &fakeStore{cells: make(map[string]table.Cell), objects: make(map[string][]byte)}
}

func (fs *fakeStore) setDown(down bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.down = down
}

func (fs *fakeStore) unavailable() error {
	return fmt.Errorf("fake: %w", &table.UnavailableError{})
}

// Commit implements table.Store.
func (fs *fakeStore) Commit(_ context.Context, writes []table.Write) ([]uint64, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return nil, fs.unavailable()
	}
	fs.commits++
	versions := make([]uint64, 0, len(writes))
	for _, wt := range writes {
		if stored := fs.cells[wt.Key]; stored.Version != wt.ExpectedVersion {
			return nil, table.NewConflictError([]table.Cell{stored})
		}
		versions = append(versions, wt.ExpectedVersion+1)
	}
	for i, wt := range writes {
		fs.cells[wt.Key] = table.Cell{Key: wt.Key, Value: wt.Value, Version: versions[i]}
	}
	if fs.loseReplyEvery > 0 && fs.commits%fs.loseReplyEvery == 0 {
		return nil, fs.unavailable()
	}
	return versions, nil
}

// Read implements table.Store.
func (fs *fakeStore) Read(_ context.Context, keys []string) ([]table.Cell, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return nil, fs.unavailable()
	}
	cl, ok := fs.cells[keys[0]]
	if !ok {
		return nil, nil
	}
	return []table.Cell{cl}, nil
}

// Scan implements table.Store.
func (fs *fakeStore) Scan(context.Context, string, int) ([]table.Cell, error) { return nil, nil }

// Put implements object.Store.
func (fs *fakeStore) Put(_ context.Context, name string, value []byte) error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.down {
		return errUnavailable
	}
	fs.objects[name] = value
	return nil
}

// Get implements object.Store.
func (fs *fakeStore) Get(_ context.Context, name string) ([]byte, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	value, ok := fs.objects[name]
	if fs.down {
		return nil, errUnavailable
	}
	if !ok {
		return nil, &object.NotFoundError{}
	}
	return value, nil
}

// List implements object.Store.
func (fs *fakeStore) List(context.Context, string) ([]string, error) { return nil, nil }

// fleet is a set of processes with watchers. It loses lossPercent of the messages between them and of their reads of the table.
type fleet struct {
	clock *clock.Virtual
	store *fakeStore
	nodes []*fleetNode

	mu          sync.Mutex
	rng         *rand.Rand
	lossPercent int
}

// fleetNode is one process. The first nodes of a fleet are entries, which poll the table and are the peers of all nodes.
type fleetNode struct {
	fleet   *fleet
	number  int
	entry   bool
	board   *board.Board
	watcher *Watcher
	cancel  func()

	mu     sync.Mutex
	paused bool
	epochs []uint64
}

func newFleet(entries, agents, lossPercent int) *fleet {
	fl := &fleet{
		clock:       clock.NewVirtual(time.Unix(1_000_000, 0)),
		store:       newFakeStore(),
		rng:         rand.New(rand.NewPCG(1, 2)),
		lossPercent: lossPercent,
	}
	for number := range entries + agents {
		fl.nodes = append(fl.nodes, &fleetNode{fleet: fl, number: number, entry: number < entries})
	}
	return fl
}

// start starts or restarts the process with an empty board.
func (nd *fleetNode) start() {
	lg, err := logs.New(io.Discard, "error", "test")
	if err != nil {
		panic(err)
	}
	rec, err := trace.New("test", lg)
	if err != nil {
		panic(err)
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.epochs = nil
	nd.board = board.New()
	nd.board.Subscribe(func(sn *config.Snapshot) { nd.epochs = append(nd.epochs, sn.Epoch()) })
	nd.watcher = New(Options{
		Board:      nd.board,
		Store:      &lossyStore{fakeStore: nd.fleet.store, node: nd},
		Objects:    nd.fleet.store,
		Recorder:   rec,
		Random:     rand.New(rand.NewPCG(uint64(nd.number), 3)),
		Peers:      nd.peers,
		PollsTable: nd.entry,
		Clock:      nd.fleet.clock,
	})
	nd.mu.Unlock()
	nd.watcher.Bootstrap(context.Background())
	nd.mu.Lock()
	nd.cancel = nd.watcher.Start(context.Background())
}

func (nd *fleetNode) stop() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.cancel()
}

func (nd *fleetNode) setPaused(paused bool) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.paused = paused
}

func (nd *fleetNode) isPaused() bool {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.paused
}

func (nd *fleetNode) epoch() uint64 {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return nd.board.Epoch()
}

func (nd *fleetNode) peers() []Exchanger {
	var peers []Exchanger
	for _, other := range nd.fleet.nodes {
		if other.entry && other != nd {
			peers = append(peers, &lossyPeer{from: nd, to: other})
		}
	}
	return peers
}

// losesMessage decides at random whether a message is lost.
func (fl *fleet) losesMessage() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rng.IntN(100) < fl.lossPercent
}

// lossyPeer is an Exchanger that loses requests and replies between two nodes.
type lossyPeer struct {
	from, to *fleetNode
}

// Exchange implements Exchanger.
func (lp *lossyPeer) Exchange(_ context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if lp.from.isPaused() || lp.to.isPaused() || lp.from.fleet.losesMessage() {
		return nil, errUnavailable
	}
	lp.to.mu.Lock()
	wt := lp.to.watcher
	lp.to.mu.Unlock()
	if wt == nil {
		return nil, errUnavailable
	}
	reply := wt.HandleExchange(rq, nil)
	if lp.from.fleet.losesMessage() {
		return nil, errUnavailable
	}
	return reply, nil
}

// lossyStore is the table client of a node. Its reads fail at random, and always while the node is paused.
type lossyStore struct {
	*fakeStore
	node *fleetNode
}

// Read implements table.Store.
func (ls *lossyStore) Read(ctx context.Context, keys []string) ([]table.Cell, error) {
	if ls.node.isPaused() || ls.node.fleet.losesMessage() {
		return nil, ls.unavailable()
	}
	return ls.fakeStore.Read(ctx, keys)
}

// declarationOf returns a declaration whose text depends on number.
func declarationOf(number int) []byte {
	return fmt.Appendf(nil, "presets:\n  - {name: ordinary, queue-limit: %d}\n  - {name: peak, queue-limit: 5}\n", number+1)
}

// apply stores a declaration and replaces the head, as the command apply does for an operator.
func (fl *fleet) apply(number int, preset string) (config.Head, error) {
	ctx := context.Background()
	hash, err := StoreDeclaration(ctx, fl.store, declarationOf(number))
	if err != nil {
		return config.Head{}, err
	}
	hd, version, err := ReadHead(ctx, fl.store)
	if err != nil {
		return config.Head{}, err
	}
	next := hd.Next(fmt.Sprintf("change-%d", number)).WithDeclaration(hash).WithPreset(preset)
	return next, ReplaceHead(ctx, fl.store, version, next)
}

// lagging returns the numbers of the running nodes whose epoch is lower than the given one.
func (fl *fleet) lagging(epoch uint64) []int {
	var numbers []int
	for _, nd := range fl.nodes {
		if !nd.isPaused() && nd.epoch() < epoch {
			numbers = append(numbers, nd.number)
		}
	}
	return numbers
}

// reverted returns the numbers of the nodes that adopted an epoch not higher than their previous one.
func (fl *fleet) reverted() []int {
	var numbers []int
	for _, nd := range fl.nodes {
		nd.mu.Lock()
		for i := 1; i < len(nd.epochs); i++ {
			if nd.epochs[i] <= nd.epochs[i-1] {
				numbers = append(numbers, nd.number)
			}
		}
		nd.mu.Unlock()
	}
	return numbers
}

// propagationLimit is the time within which a committed configuration must be in force in every process.
const propagationLimit = 8 * time.Second
