package tend

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"shallotcleat/core/weight"
	"shallotcleat/io/feed"
	"shallotcleat/io/gate"
	"shallotcleat/io/link"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Periods and limits of a tender.
const (
	// busyPeriod is the time between looks at the engine while it is behind, idlePeriod otherwise.
	busyPeriod = 20 * time.Millisecond
	idlePeriod = 100 * time.Millisecond
	// loadPeriod is the least time between two words on the engine's load, loadChange the least change in its calls.
	loadPeriod = 100 * time.Millisecond
	loadChange = 4
	// farPeriod is the least time between two words on the load to gates of other zones.
	farPeriod = 120 * time.Millisecond
	// queuePeriod is the time after which gates are told of an engine's queue anew.
	queuePeriod = 400 * time.Millisecond
	// seeLimit bounds a look; the engine is on the same VM.
	seeLimit   = 250 * time.Millisecond
	orderLimit = 400 * time.Millisecond
	askLimit   = 80 * time.Millisecond
	tellLimit  = 60 * time.Millisecond
	// tellPeriod is the time after which the gates are told again, since a new gate knows nothing.
	tellPeriod = 3 * time.Second
	// retellPeriod is the time after which a gate that could not be reached is told again, for as long as retellLimit.
	retellPeriod = 80 * time.Millisecond
	retellLimit  = 5 * time.Second
	pullWait     = 8 * time.Second
	pullPause    = 100 * time.Millisecond
	// firstPullLimit bounds the first pull from a gate, which does not wait for changes.
	firstPullLimit = 150 * time.Millisecond
	claimPause     = 500 * time.Millisecond
	storeLimit     = 2 * time.Second
)

// Options are the settings and dependencies of a tender.
type Options struct {
	// Name is the holder's name in orders.
	Name string
	Zone string
	// Service is that of the engine, Address where callers reach the engine.
	Service string
	Address string
	// Seeds are peer addresses of gates.
	SeedPeers []string
	Dialect   gate.Dialect
	Source    feed.Source
	Store     table.Committer
	Links     *link.Pool
	Engine    Engine
	// Recorder takes the log lines and the counts.
	Recorder *trace.Recorder
}

// Tender is the process beside one engine.
type Tender struct {
	opts      Options
	log       *logrus.Entry
	operators *feed.Copy
	nodes     *feed.Copy
	listed    *gate.GateList
	done      chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	keeper *weight.Updater
	wanted map[string]uint64
	fence  uint64
}

// New returns a tender that has not begun.
func New(opts Options) *Tender {
	tables := opts.Dialect.Tables()
	td := &Tender{
		opts:      opts,
		log:       opts.Recorder.Log(),
		operators: feed.NewCopy(tables.Config),
		nodes:     feed.NewCopy(tables.Nodes),
		done:      make(chan struct{}),
		keeper:    weight.NewUpdater(),
		wanted:    make(map[string]uint64),
	}
	td.listed = gate.NewGateList(td.nodes)
	td.operators.Listen(td.operatorsChanged)
	return td
}

// Done is closed when Serve has ended.
func (td *Tender) Done() <-chan struct{} { return td.done }

// Serve tends the engine until the context ends.
func (td *Tender) Serve(ctx context.Context) error {
	defer close(td.done)
	var wg conc.WaitGroup
	wg.Go(func() { td.register(ctx) })
	wg.Go(func() { td.claim(ctx) })
	wg.Go(func() { td.pull(ctx) })
	wg.Go(func() { td.tend(ctx) })
	wg.Wait()
	return nil
}

// operatorsChanged takes the newest versions of weights.
func (td *Tender) operatorsChanged(ch feed.Change) {
	td.mu.Lock()
	defer td.mu.Unlock()
	for _, rw := range ch.Rows {
		if rw.Gone() {
			continue
		}
		model, version, ok, err := td.opts.Dialect.DecodeWeights(rw)
		if err != nil {
			td.log.WithError(err).WithField("row", rw.Key()).Warn("a version of weights can't be read; it is passed over")
			continue
		}
		if ok && version > td.wanted[model] {
			td.wanted[model] = version
			td.log.WithFields(logrus.Fields{"model": model, "version": version}).Info("weights wanted")
		}
	}
}

// register writes this tender's entry into the nodes' table.
func (td *Tender) register(ctx context.Context) {
	nd := gate.Node{Role: gate.RoleTender, Address: td.opts.Address, Zone: td.opts.Zone, Service: td.opts.Service}
	for ctx.Err() == nil {
		err := gate.WriteNode(ctx, td.opts.Store, td.nodes.Table(), nd)
		if err == nil {
			return
		}
		td.log.WithError(err).Info("the tender's entry can't be written yet")
		timer.Pause(ctx, claimPause)
	}
}

// pull keeps the copies up to date from a gate, one of the own zone first; it stays with one that answers. The store is read if no gate
// does.
func (td *Tender) pull(ctx context.Context) {
	wants := []feed.Interest{
		feed.NewInterest(td.operators, td.opts.Dialect.Tables().WeightsKeyPrefix),
		feed.NewInterest(td.nodes, ""),
	}
	failures := 0
	reached := ""
	for ctx.Err() == nil {
		gates := td.gates()
		if len(gates) == 0 || failures > len(gates) {
			td.readStore(ctx)
			failures = 0
			timer.Pause(ctx, claimPause)
			continue
		}
		address := reached
		if !slices.Contains(gates, address) {
			address = gates[failures%len(gates)]
		}
		err := td.pullOnce(ctx, address, wants, address == reached)
		if err == nil {
			failures, reached = 0, address
			continue
		}
		reached = ""
		if ctx.Err() == nil {
			failures++
			td.log.WithError(err).WithField("gate", address).Info("dependency lost: a gate does not answer; another one is asked")
			timer.Pause(ctx, pullPause)
		}
	}
}

// pullOnce takes later copies from a gate. One that was not reached before must answer at once.
func (td *Tender) pullOnce(ctx context.Context, address string, wants []feed.Interest, reached bool) error {
	wait := pullWait
	if !reached {
		wait = 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstPullLimit)
		defer cancel()
	}
	if _, err := feed.Pull(ctx, td.opts.Links, address, wants, wait); err != nil {
		return fmt.Errorf("pull tables: %w", err)
	}
	return nil
}

func (td *Tender) readStore(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, storeLimit)
	defer cancel()
	for _, cp := range []*feed.Copy{td.operators, td.nodes} {
		rows, revision, err := td.opts.Source.Read(ctx, cp.Table())
		if err != nil {
			td.log.WithError(err).Info("neither a gate nor the store answers")
			return
		}
		cp.Replace(rows, revision)
	}
}

// gates returns the peer addresses of the gates, those of the own zone first, each group in an order of this tender's own.
func (td *Tender) gates() []string {
	near, far := td.gatesByZone()
	gates := append(near, far...)
	for _, seed := range td.opts.SeedPeers {
		if seed != "" && !slices.Contains(gates, seed) {
			gates = append(gates, seed)
		}
	}
	return gates
}

// gatesByZone returns the listed gates of the own zone and the others.
func (td *Tender) gatesByZone() (near, far []string) {
	for _, nd := range td.listed.Gates() {
		if nd.Zone == td.opts.Zone {
			near = append(near, nd.Address)
		} else {
			far = append(far, nd.Address)
		}
	}
	order := func(one, other string) int {
		return cmp.Compare(xxhash.Sum64String(one+td.opts.Address), xxhash.Sum64String(other+td.opts.Address))
	}
	slices.SortFunc(near, order)
	slices.SortFunc(far, order)
	return near, far
}

// jitter spreads periodic work of many tenders.
func jitter(span time.Duration) time.Duration {
	return span + time.Duration(rand.Int64N(int64(span)/4+1))
}

// tell tells gates at once, waits a short time for them and returns those that were not reached.
func (td *Tender) tell(ctx context.Context, gates []string, ns *wire.EngineNews) (missed []string) {
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	var wg conc.WaitGroup
	// mu guards missed.
	var mu sync.Mutex
	for _, address := range gates {
		wg.Go(func() {
			if _, err := td.opts.Links.Node(address).Tell(ctx, ns); err != nil {
				td.log.WithError(err).WithField("gate", address).Debug("a gate was not told; it is told again soon")
				mu.Lock()
				defer mu.Unlock()
				missed = append(missed, address)
			}
		})
	}
	wg.Wait()
	return missed
}

// ask asks a gate whether the engine may load now. All tenders of a service ask the same one, unless it does not answer. If no
// gate answers at all, the engine may load: nobody sends it requests then.
func (td *Tender) ask(ctx context.Context, ns *wire.EngineNews) weight.Grant {
	gates := td.gates()
	slices.SortFunc(gates, func(one, other string) int {
		return cmp.Compare(xxhash.Sum64String(one+td.opts.Service), xxhash.Sum64String(other+td.opts.Service))
	})
	for _, address := range gates {
		reply, err := td.askOne(ctx, address, ns)
		if err == nil {
			return weight.Grant(reply.GetGrant())
		}
		td.log.WithError(err).WithField("gate", address).Info("dependency lost: a gate does not answer; another one is asked")
	}
	return weight.Load
}

func (td *Tender) askOne(parent context.Context, address string, ns *wire.EngineNews) (*wire.Received, error) {
	ctx, cancel := context.WithTimeout(parent, askLimit)
	defer cancel()
	reply, err := td.opts.Links.Node(address).Tell(ctx, ns)
	if err != nil {
		return nil, fmt.Errorf("ask gate %s: %w", address, err)
	}
	return reply, nil
}
