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

// errDown is what a cut call returns.
var errDown = errors.New("down")

// memory is a table and an object store with failure switches.
type memory struct {
	mu        sync.Mutex
	cells     map[string]table.Cell
	objects   map[string][]byte
	down      bool
	loseEvery int
	commits   int
}

func newMemory() *memory {
	return &memory{cells: make(map[string]table.Cell), objects: make(map[string][]byte)}
}

func (mm *memory) setDown(down bool) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	mm.down = down
}

func (mm *memory) lost() error {
	return fmt.Errorf("fake: %w", &table.UnavailableError{})
}

// Commit implements table.Store.
func (mm *memory) Commit(_ context.Context, writes []table.Write) ([]uint64, error) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if mm.down {
		return nil, mm.lost()
	}
	mm.commits++
	versions := make([]uint64, 0, len(writes))
	for _, wt := range writes {
		if stored := mm.cells[wt.Key]; stored.Version != wt.ExpectedVersion {
			return nil, table.NewConflictError([]table.Cell{stored})
		}
		versions = append(versions, wt.ExpectedVersion+1)
	}
	for i, wt := range writes {
		mm.cells[wt.Key] = table.Cell{Key: wt.Key, Value: wt.Value, Version: versions[i]}
	}
	if mm.loseEvery > 0 && mm.commits%mm.loseEvery == 0 {
		return nil, mm.lost()
	}
	return versions, nil
}

// Read implements table.Store.
func (mm *memory) Read(_ context.Context, keys []string) ([]table.Cell, error) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if mm.down {
		return nil, mm.lost()
	}
	cl, ok := mm.cells[keys[0]]
	if !ok {
		return nil, nil
	}
	return []table.Cell{cl}, nil
}

// Scan implements table.Store.
func (mm *memory) Scan(context.Context, string, int) ([]table.Cell, error) { return nil, nil }

// Put implements object.Store.
func (mm *memory) Put(_ context.Context, name string, value []byte) error {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	if mm.down {
		return errDown
	}
	mm.objects[name] = value
	return nil
}

// Get implements object.Store.
func (mm *memory) Get(_ context.Context, name string) ([]byte, error) {
	mm.mu.Lock()
	defer mm.mu.Unlock()
	value, ok := mm.objects[name]
	if mm.down {
		return nil, errDown
	}
	if !ok {
		return nil, &object.NotFoundError{}
	}
	return value, nil
}

// List implements object.Store.
func (mm *memory) List(context.Context, string) ([]string, error) { return nil, nil }

// fleet is a set of watchers that reach each other through calls that get lost.
type fleet struct {
	clock  *clock.Virtual
	memory *memory
	nodes  []*fleetNode

	mu          sync.Mutex
	rng         *rand.Rand
	lossPercent int
}

// fleetNode is one process; the first ones of a fleet are entries, which poll the table and are asked by all.
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
	fl := &fleet{clock: clock.NewVirtual(time.Unix(1_000_000, 0)), memory: newMemory(), rng: rand.New(rand.NewPCG(1, 2)), lossPercent: lossPercent}
	for number := range entries + agents {
		fl.nodes = append(fl.nodes, &fleetNode{fleet: fl, number: number, entry: number < entries})
	}
	return fl
}

// start begins a process anew, as after a restart: it knows nothing.
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
		Store:      &cutStore{memory: nd.fleet.memory, node: nd},
		Objects:    nd.fleet.memory,
		Recorder:   rec,
		Random:     rand.New(rand.NewPCG(uint64(nd.number), 3)),
		Peers:      nd.peers,
		PollsTable: nd.entry,
		Clock:      nd.fleet.clock,
	})
	nd.mu.Unlock()
	nd.watcher.Bootstrap(context.Background())
	nd.mu.Lock()
	nd.cancel = nd.watcher.Subscribe(context.Background())
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
			peers = append(peers, &cutPeer{from: nd, to: other})
		}
	}
	return peers
}

// isLost tells by chance whether a message gets lost.
func (fl *fleet) isLost() bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rng.IntN(100) < fl.lossPercent
}

// cutPeer is the way from one process to another; the request and the reply may get lost.
type cutPeer struct {
	from, to *fleetNode
}

// Exchange implements Exchanger.
func (cp *cutPeer) Exchange(_ context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	if cp.from.isPaused() || cp.to.isPaused() || cp.from.fleet.isLost() {
		return nil, errDown
	}
	cp.to.mu.Lock()
	wt := cp.to.watcher
	cp.to.mu.Unlock()
	if wt == nil {
		return nil, errDown
	}
	reply := wt.HandleExchange(rq, nil)
	if cp.from.fleet.isLost() {
		return nil, errDown
	}
	return reply, nil
}

// cutStore is a process's way to the table; a paused process has none.
type cutStore struct {
	*memory
	node *fleetNode
}

// Read implements table.Store.
func (cs *cutStore) Read(ctx context.Context, keys []string) ([]table.Cell, error) {
	if cs.node.isPaused() || cs.node.fleet.isLost() {
		return nil, cs.lost()
	}
	return cs.memory.Read(ctx, keys)
}

// declarationOf returns a declaration that differs by its number.
func declarationOf(number int) []byte {
	return fmt.Appendf(nil, "presets:\n  - {name: ordinary, queue-limit: %d}\n  - {name: peak, queue-limit: 5}\n", number+1)
}

// apply stores a declaration and moves the head to it, as an operator does.
func (fl *fleet) apply(number int, preset string) (config.Head, error) {
	ctx := context.Background()
	hash, err := StoreDeclaration(ctx, fl.memory, declarationOf(number))
	if err != nil {
		return config.Head{}, err
	}
	hd, version, err := ReadHead(ctx, fl.memory)
	if err != nil {
		return config.Head{}, err
	}
	next := hd.Next(fmt.Sprintf("change-%d", number)).WithDeclaration(hash).WithPreset(preset)
	return next, ReplaceHead(ctx, fl.memory, version, next)
}

// behind returns the processes that do not have an epoch in force.
func (fl *fleet) behind(epoch uint64) []int {
	var numbers []int
	for _, nd := range fl.nodes {
		if !nd.isPaused() && nd.epoch() < epoch {
			numbers = append(numbers, nd.number)
		}
	}
	return numbers
}

// reverted returns the processes whose epoch ever went back.
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

// inForceTime is the time within which an accepted configuration is in force everywhere.
const inForceTime = 8 * time.Second
