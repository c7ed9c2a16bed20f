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
	"google.golang.org/protobuf/proto"

	"shallotcleat/core/weight"
	"shallotcleat/io/feed"
	"shallotcleat/io/gate"
	"shallotcleat/io/link"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
	"shallotcleat/io/trace"
	"shallotcleat/io/wire"
)

// Periods and timeouts of a tender.
const (
	// behindPollPeriod is the delay between observations of the engine while its weights are behind the target version or its speed
	// is being measured, idlePollPeriod otherwise.
	behindPollPeriod = 20 * time.Millisecond
	idlePollPeriod   = 100 * time.Millisecond
	// utilizationNotifyPeriod is the minimum time between two notifications of the engine's utilization, and minCallsChange the
	// minimum change in its number of calls.
	utilizationNotifyPeriod = 100 * time.Millisecond
	minCallsChange          = 4
	// remoteNotifyPeriod is the minimum time between two notifications of the utilization to gates of other zones.
	remoteNotifyPeriod = 120 * time.Millisecond
	// waitingNotifyPeriod is the time after which gates are notified again while calls wait for their first event.
	waitingNotifyPeriod = 400 * time.Millisecond
	// busyNotifyPeriod is the time after which gates are notified again while the engine runs calls: each message shows which run the engine is.
	busyNotifyPeriod = 500 * time.Millisecond
	// cacheNotifyPeriod is the time after which gates are notified of changes of the engine's cache, if no other message has told them.
	cacheNotifyPeriod = 400 * time.Millisecond
	// stateTimeout bounds an observation of the engine, which is on the same VM.
	stateTimeout       = 250 * time.Millisecond
	loadOrderTimeout   = 400 * time.Millisecond
	loadRequestTimeout = 80 * time.Millisecond
	notifyTimeout      = 60 * time.Millisecond
	// notifyPeriod is the time after which all gates are notified of an unchanged state, since a new gate has none of the engine.
	notifyPeriod = 3 * time.Second
	// notifyRetryPeriod is the time between retries of gates that could not be reached, and notifyRetryLimit the time after the first
	// failure at which the retries end.
	notifyRetryPeriod = 80 * time.Millisecond
	notifyRetryLimit  = 5 * time.Second
	// pullWait is how long a gate may wait for changes before it replies to a pull. A connection that has gone silent is noticed after that.
	pullWait       = 3 * time.Second
	pullRetryDelay = 100 * time.Millisecond
	// firstPullTimeout bounds the first pull from a gate, which does not wait for changes.
	firstPullTimeout = 150 * time.Millisecond
	// relayBackoff is how long a gate of another zone that could not be reached is not used to reach its zone.
	relayBackoff    = 2 * time.Second
	storeRetryDelay = 500 * time.Millisecond
	// maxRepairDelay spreads the writes of many tenders after a restore of the store.
	maxRepairDelay = time.Second
	storeTimeout   = 2 * time.Second
)

// Options are the settings and dependencies of a tender.
type Options struct {
	// Name identifies the tender as holder of the engine.
	Name string
	Zone string
	// Service is the engine's service, and Address the address at which the engine takes calls.
	Service string
	Address string
	// AddressReuse is the time after the end of a backend server from which its address may go to a server of another service.
	AddressReuse time.Duration
	// SeedPeers are peer addresses of gates, used in addition to those in the nodes table.
	SeedPeers []string
	Dialect   gate.Dialect
	Source    feed.Source
	Store     table.Committer
	Links     *link.Pool
	Engine    Engine
	// Recorder receives log lines and metrics.
	Recorder *trace.Recorder
}

// Tender is the sidecar of one engine.
type Tender struct {
	opts     Options
	log      *logrus.Entry
	config   *feed.Copy
	nodes    *feed.Copy
	gateList *gate.GateList
	restored *feed.RestoreSignal
	cache    cacheChanges
	done     chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	updater *weight.Updater
	// targets holds the newest announced weight version of each model.
	targets map[string]uint64
	// fence is the fencing number of this tender's orders, or zero while it does not hold the engine.
	fence uint64
}

// New returns a tender; Serve runs it.
func New(opts Options) *Tender {
	tables := opts.Dialect.Tables()
	td := &Tender{
		opts:    opts,
		log:     opts.Recorder.Log(),
		config:  feed.NewVersionedCopy(tables.Config, gate.ContentVersion(opts.Dialect)),
		nodes:   feed.NewCopy(tables.Nodes),
		done:    make(chan struct{}),
		updater: weight.NewUpdater(),
		targets: make(map[string]uint64),
	}
	td.gateList = gate.NewGateList(td.nodes)
	td.config.Subscribe(td.applyConfig)
	td.restored = feed.NewRestoreSignal(td.config, td.nodes)
	return td
}

// Done returns a channel that is closed when Serve returns.
func (td *Tender) Done() <-chan struct{} { return td.done }

// Serve runs the tender until the context ends.
func (td *Tender) Serve(ctx context.Context) error {
	defer close(td.done)
	var wg conc.WaitGroup
	wg.Go(func() { td.claim(ctx) })
	wg.Go(func() { td.pull(ctx) })
	wg.Go(func() { td.repairRestored(ctx) })
	wg.Go(func() { td.runWatcher(ctx) })
	wg.Go(func() { td.followCache(ctx) })
	wg.Wait()
	return nil
}

// applyConfig takes the target versions from changed rows of the config table.
func (td *Tender) applyConfig(ch feed.Change) {
	td.mu.Lock()
	defer td.mu.Unlock()
	for _, rw := range ch.Rows {
		if rw.Deleted() {
			continue
		}
		model, version, ok, err := td.opts.Dialect.DecodeWeights(rw)
		if err != nil {
			td.log.WithError(err).WithField("row", rw.Key()).Warn("cannot decode weight version; skipping row")
			continue
		}
		if ok && version > td.targets[model] {
			td.targets[model] = version
			td.log.WithFields(logrus.Fields{"model": model, "version": version}).Info("new target version of weights")
		}
	}
}

// repairRestored claims the engine again after each restore of the store. The fencing number of the new claim is higher than all those
// of before the restore.
func (td *Tender) repairRestored(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-td.restored.C():
		}
		td.log.WithField("event", "store_restored").Warn("the store was restored from a backup; claiming the engine again")
		timer.Sleep(ctx, rand.N(maxRepairDelay))
		td.claim(ctx)
	}
}

// pull keeps the copies up to date. It pulls from a gate, one of its own zone first, and stays with a gate that replies. If no gate
// replies, it reads the store.
func (td *Tender) pull(ctx context.Context) {
	selectors := []feed.Selector{
		feed.NewSelector(td.config, td.opts.Dialect.Tables().WeightsKeyPrefix),
		feed.NewSelector(td.nodes, ""),
	}
	failures := 0
	current := ""
	for ctx.Err() == nil {
		gates := td.gates()
		if len(gates) == 0 || failures > len(gates) {
			td.readStore(ctx)
			failures = 0
			timer.Sleep(ctx, storeRetryDelay)
			continue
		}
		address := current
		if !slices.Contains(gates, address) {
			address = gates[failures%len(gates)]
		}
		err := td.pullOnce(ctx, address, selectors, address == current)
		if err == nil {
			failures, current = 0, address
			continue
		}
		current = ""
		if ctx.Err() == nil {
			failures++
			td.log.WithError(err).WithField("gate", address).Info("dependency lost: a gate does not answer; trying the next gate")
			timer.Sleep(ctx, pullRetryDelay)
		}
	}
}

// pullOnce pulls newer copies from a gate; reached is set if the previous pull from it succeeded. Any other gate must reply within
// firstPullTimeout.
func (td *Tender) pullOnce(ctx context.Context, address string, selectors []feed.Selector, reached bool) error {
	wait := pullWait
	if !reached {
		wait = 0
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstPullTimeout)
		defer cancel()
	}
	if _, err := feed.Pull(ctx, td.opts.Links, address, selectors, wait); err != nil {
		return fmt.Errorf("pull tables: %w", err)
	}
	return nil
}

// readStore replaces the copies by the tables in the store.
func (td *Tender) readStore(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	for _, cp := range []*feed.Copy{td.config, td.nodes} {
		rows, revision, err := td.opts.Source.Read(ctx, cp.Table())
		if err != nil {
			td.log.WithError(err).Info("neither a gate nor the store replies")
			return
		}
		cp.Replace(rows, revision)
	}
}

// gates returns the peer addresses of the listed gates, those of the tender's own zone first, and then those in SeedPeers.
func (td *Tender) gates() []string {
	local, remote := td.gatesByZone()
	gates := append(local, remote...)
	for _, seed := range td.opts.SeedPeers {
		if seed != "" && !slices.Contains(gates, seed) {
			gates = append(gates, seed)
		}
	}
	return gates
}

// gatesByZone returns the peer addresses of the listed gates of the tender's own zone and of other zones, each in an order that
// differs between tenders.
func (td *Tender) gatesByZone() (local, remote []string) {
	for _, nd := range td.gateList.Gates() {
		if nd.Zone == td.opts.Zone {
			local = append(local, nd.Address)
		} else {
			remote = append(remote, nd.Address)
		}
	}
	compare := func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+td.opts.Address), xxhash.Sum64String(b+td.opts.Address))
	}
	slices.SortFunc(local, compare)
	slices.SortFunc(remote, compare)
	return local, remote
}

// jitter returns the span plus up to a quarter of it at random, so that many tenders do not act at the same time.
func jitter(span time.Duration) time.Duration {
	return span + time.Duration(rand.Int64N(int64(span)/4+1))
}

// notify notifies gates concurrently, waits for at most notifyTimeout and returns those that were not reached.
func (td *Tender) notify(ctx context.Context, rc recipients, ns *wire.EngineNews) (unreached []string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var wg conc.WaitGroup
	// mu guards unreached.
	var mu sync.Mutex
	tell := func(address string, ns *wire.EngineNews) {
		wg.Go(func() {
			if _, err := td.opts.Links.Node(address).Tell(ctx, ns); err != nil {
				td.log.WithError(err).WithField("gate", address).Debug("cannot notify a gate; retrying soon")
				mu.Lock()
				defer mu.Unlock()
				unreached = append(unreached, address)
			}
		})
	}
	for _, address := range rc.direct {
		tell(address, ns)
	}
	if len(rc.relays) > 0 {
		relayed := proto.CloneOf(ns)
		relayed.Relay = true
		for _, address := range rc.relays {
			tell(address, relayed)
		}
	}
	wg.Wait()
	return unreached
}

// requestLoad asks a gate whether the engine may load now. All tenders of a service ask the same gate, unless it does not reply; gates with
// more processor time are more likely to be that gate.
// If no gate replies, the engine may load, since no gate sends it requests.
//
// It also returns the time after which the request is to be repeated.
func (td *Tender) requestLoad(ctx context.Context, ns *wire.EngineNews) (weight.Grant, time.Duration) {
	gates := td.gateList.Ranked(td.opts.Service)
	if len(gates) == 0 {
		gates = td.gates()
	}
	for _, address := range gates {
		reply, err := td.requestLoadFrom(ctx, address, ns)
		if err == nil {
			return weight.Grant(reply.GetGrant()), time.Duration(reply.GetRepeatMs()) * time.Millisecond
		}
		td.log.WithError(err).WithField("gate", address).Info("dependency lost: a gate does not answer; trying the next gate")
	}
	return weight.Load, 0
}

func (td *Tender) requestLoadFrom(parent context.Context, address string, ns *wire.EngineNews) (*wire.Received, error) {
	ctx, cancel := context.WithTimeout(parent, loadRequestTimeout)
	defer cancel()
	reply, err := td.opts.Links.Node(address).Tell(ctx, ns)
	if err != nil {
		return nil, fmt.Errorf("request load from gate %s: %w", address, err)
	}
	return reply, nil
}
