package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"shallotcleat/core/fleet"
	"shallotcleat/core/pick"
	"shallotcleat/core/quota"
	"shallotcleat/core/route"
	"shallotcleat/core/runs"
	"shallotcleat/io/feed"
	"shallotcleat/io/wire"
)

// Intervals and timeouts of the table watcher.
const (
	expireInterval = 200 * time.Millisecond
	// forgetInterval is the time between removals of what is known of parts that are no longer used.
	forgetInterval = time.Second
	// expireAttemptsInterval is the time between checks for attempts whose servers' weights have expired.
	expireAttemptsInterval = 50 * time.Millisecond
	pullInterval           = 250 * time.Millisecond
	nodesInterval          = 15 * time.Second
	registerInterval       = time.Second
	storeTimeout           = 2 * time.Second
	// applyMargin is the part of a deadline for a change that is kept for calls to the store and for applying it.
	applyMargin = time.Second
	// rewatchMargin is the part of a deadline that is kept for the age of a connection's last use, and for the call that follows a watch
	// without a response.
	rewatchMargin = 700 * time.Millisecond
	// minWatchWait, maxWatchWait and minServerChangeDelay bound the values where deadlines are short or long.
	minWatchWait         = 250 * time.Millisecond
	maxWatchWait         = 25 * time.Second
	minServerChangeDelay = 200 * time.Millisecond
)

// Deadlines state within which time a process must follow the store.
type Deadlines struct {
	// Settle is how long after a connection was cut or stalled the other deadlines hold again.
	Settle time.Duration
	// Config is the time within which a change of the configuration must be in force.
	Config time.Duration
	// Drain is the time after which a server that is leaving must get no requests.
	Drain time.Duration
}

// watchWait returns how long a watch of a table may wait for a change, given the deadline for changes of the table. The connection may go
// silent right before the call, for a moment only. A change is due at the later of Settle after that and the deadline after the change.
func (dl Deadlines) watchWait(deadline time.Duration) time.Duration {
	wait := max(dl.Settle, deadline) - feed.WatchMargin - rewatchMargin
	return min(max(wait, minWatchWait), maxWatchWait)
}

// maxServersWait bounds the wait of a watch of the servers table, and the delay after a change: complete views of the servers must not be further apart than
// origin.CoverageSpan.
const maxServersWait = 6 * time.Second

// serversWait returns how long a watch of the servers table may wait for a change.
func (dl Deadlines) serversWait() time.Duration { return min(dl.watchWait(dl.Drain), maxServersWait) }

// serverChangeDelay returns the delay that batches changes to servers' entries.
func (dl Deadlines) serverChangeDelay() time.Duration {
	return min(max(dl.Drain-applyMargin, minServerChangeDelay), maxServersWait)
}

// maxServersAge returns the greatest age of the servers known while their watches succeed: a view counts from the beginning of its watch, and serves until the end of
// the next one.
func (dl Deadlines) maxServersAge() time.Duration {
	return 2 * (dl.serversWait() + feed.WatchMargin + dl.serverChangeDelay())
}

// watcher updates the gate's configuration and servers from the store tables.
type watcher struct {
	gate *Gate

	// mu guards the fields below. outageAt is when the servers table last could not be read, or was restored, or zero.
	mu       sync.Mutex
	registry *fleet.Registry
	outageAt time.Time
	// servers follows the servers table; it is set before requests are served.
	servers *feed.Follower
}

func newWatcher(gt *Gate) *watcher {
	wt := &watcher{gate: gt, registry: fleet.NewRegistry()}
	gt.configTable.Subscribe(wt.configChanged)
	gt.serverTable.Subscribe(wt.serversChanged)
	gt.nodeTable.Subscribe(wt.nodesChanged)
	return wt
}

// configChanged applies the configurations and weight versions in a change of the config table; those older than the current
// ones are ignored.
func (wt *watcher) configChanged(ch feed.Change) {
	gt := wt.gate
	atStart := gt.routes.Load() == nil
	announcedAt := time.Now()
	if !ch.Since.IsZero() {
		announcedAt = ch.Since
	}
	for _, rw := range ch.Rows {
		if rw.Deleted() {
			continue
		}
		if model, version, ok, err := gt.opts.Dialect.DecodeWeights(rw); err != nil {
			gt.log.WithError(err).WithField("row", rw.Key()).Warn("cannot decode weight version; skipping row")
		} else if ok {
			if atStart {
				gt.picker.InitTargetVersion(time.Now(), model, version)
			} else {
				gt.picker.SetTargetVersion(announcedAt, model, version)
			}
			gt.log.WithField("model", model).WithField("version", version).Info("target weight version announced")
		}
		sp, ok, err := gt.opts.Dialect.DecodeConfig(rw)
		switch {
		case err != nil:
			gt.log.WithError(err).WithField("row", rw.Key()).Warn("cannot decode configuration; keeping the current one")
		case ok:
			wt.adopt(sp)
		}
	}
}

// adopt applies a configuration unless the current one has the same or a later version. Changes of the config table arrive one
// at a time, under the lock of the table's copy.
func (wt *watcher) adopt(sp route.Spec) {
	old := wt.gate.routes.Load()
	if old != nil && sp.Version <= old.Version() {
		return
	}
	tb := route.Compile(sp)
	wt.gate.releases.setRoutes(tb)
	wt.gate.routes.Store(tb)
	wt.gate.logQuotaProblems(sp)
	if old != nil {
		wt.gate.logIsolation(old, tb)
	}
	wt.gate.picker.SetCacheStores(cacheStores(sp))
	wt.gate.picker.SetTokenBytes(tokenBytes(sp))
	if wt.gate.opts.Moves != nil {
		wt.gate.picker.SetStagedServices(tb.StagedServices())
	}
	wt.gate.log.WithField("event", "epoch_adopted").WithField("version", sp.Version).WithField("routes", len(sp.Routes)).
		Info("configuration adopted")
}

// maxLoggedWorkspaces bounds the names of workspaces in a log entry.
const maxLoggedWorkspaces = 16

// logIsolation logs which workspaces a configuration isolates that the one before did not, and the other way round.
func (gt *Gate) logIsolation(old, tb *route.Table) {
	missingFrom := func(names, other []string) []string {
		var missing []string
		for _, name := range names {
			if _, found := slices.BinarySearch(other, name); !found {
				missing = append(missing, name)
			}
		}
		return missing
	}
	began := missingFrom(tb.IsolatedWorkspaces(), old.IsolatedWorkspaces())
	ended := missingFrom(old.IsolatedWorkspaces(), tb.IsolatedWorkspaces())
	if len(began)+len(ended) == 0 {
		return
	}
	gt.log.WithFields(logrus.Fields{"event": "isolation_changed", "config_version": tb.Version(), "began": began[:min(len(began), maxLoggedWorkspaces)],
		"began_count": len(began), "ended": ended[:min(len(ended), maxLoggedWorkspaces)], "ended_count": len(ended),
		"shared_scope": tb.SharedScope().String(), "previous_scope": old.SharedScope().String()}).
		Info("workspaces became isolated, or are so no longer; the others read their shared parts again under another salt")
}

// cacheStores returns the cache stores of a configuration. Their rates in tokens are those of the engines with the largest tokens.
func cacheStores(sp route.Spec) []pick.CacheStore {
	tokenBytes := 1
	for _, sv := range sp.Services {
		tokenBytes = max(tokenBytes, sv.CacheTokenBytes)
	}
	var stores []pick.CacheStore
	for _, cs := range sp.CacheStores {
		stores = append(stores, pick.NewCacheStore(cs.Address, cs.Zone, cs.LinkBytesPerSecond/float64(tokenBytes)))
	}
	return stores
}

// nodesChanged applies a change of the nodes table.
func (wt *watcher) nodesChanged(ch feed.Change) {
	wt.countSenders()
	wt.gate.crashes.applyRows(ch.Rows)
	wt.gate.releases.applyRows(ch.AsOf, ch.Rows)
}

// countSenders passes two counts to the picker: the gates in this gate's zone, which are as close to the servers of the zone as
// this one, and all gates.
func (wt *watcher) countSenders() {
	inZone := 0
	gates := wt.gate.gateList.Gates()
	for _, nd := range gates {
		if nd.Zone == wt.gate.opts.Zone {
			inZone++
		}
	}
	wt.gate.picker.SetSenders(inZone, len(gates))
}

// serversChanged applies a change of the servers table to the registry. An entry that cannot be decoded counts as missing.
func (wt *watcher) serversChanged(ch feed.Change) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	now := time.Now()
	present := make(map[string]bool)
	if ch.Restored {
		// Servers whose entries the restore lost write them again, and so does this gate.
		wt.outageAt = now
		wt.registry.RecordOutage(now)
		wt.gate.ledger.SetGap(now)
		wt.gate.releases.recordRestore(now)
	}
	listed := make(map[uint64]bool, len(ch.Rows))
	for _, rw := range ch.Rows {
		if rw.Deleted() {
			wt.registry.Remove(now, rw.Key())
			wt.gate.ledger.Unlist(now, fleet.Hash(rw.Key()))
			continue
		}
		sv, err := wt.gate.opts.Dialect.DecodeServer(rw)
		if err != nil {
			wt.gate.log.WithError(err).WithField("row", rw.Key()).Warn("cannot decode backend server; treating the row as deleted")
			wt.registry.Remove(now, rw.Key())
			wt.gate.ledger.Unlist(now, fleet.Hash(rw.Key()))
			continue
		}
		present[rw.Key()] = true
		listed[sv.Hash()] = true
		wt.learn(now, ch.AsOf, sv)
		if ch.Restored {
			wt.registry.PutRestored(now, sv)
		} else {
			wt.registry.Put(sv)
		}
	}
	if ch.Full {
		wt.registry.Retain(now, present)
		wt.gate.ledger.Retain(now, listed)
	}
	wt.publish()
}

// learn records the run that an entry names. asOf is when the store was asked for the entry, or zero if another gate's copy has it.
func (wt *watcher) learn(now, asOf time.Time, sv *fleet.Server) {
	defer wt.gate.ledger.SetVersion(runOf(sv), sv.SoftwareVersion())
	if asOf.IsZero() {
		wt.gate.ledger.Learn(now, asOf, runOf(sv), runs.Copy{})
		return
	}
	wt.gate.ledger.Learn(now, asOf, runOf(sv), runs.Entry{})
}

// recordStart records the id of the current run of an engine, which the servers table may not list yet.
func (wt *watcher) recordStart(now time.Time, ns *wire.EngineNews) {
	wt.gate.proveByTender(now, ns)
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if !wt.registry.RecordStart(now, startOf(ns)) {
		return
	}
	wt.publish()
	wt.gate.log.WithFields(logrus.Fields{"server": ns.GetServerId(), "address": ns.GetAddress(), "start_unix_ms": ns.GetStartUnixMilli(),
		"previous": ns.GetPreviousId()}).Info("engine started again, or responds again")
}

// recordLaterRun records that a server has stated a later start than that of the run which it was taken for.
func (wt *watcher) recordLaterRun(sv *fleet.Server, startUnixMilli int64) {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	now := time.Now()
	wt.gate.ledger.Learn(now, now, runs.NewRun(sv.Hash(), startUnixMilli), runs.Report{})
	if wt.registry.RecordStart(now, fleet.NewStart(sv.ID(), sv.Address(), startUnixMilli, sv.WeightVersions(), sv.ID())) {
		wt.publish()
		wt.gate.log.WithFields(logrus.Fields{"server": sv.ID(), "address": sv.Address(), "start_unix_ms": startUnixMilli}).
			Info("server started again, by its own reply")
	}
}

// isLate reports whether a message of a tender is about a run whose server, or address, has a later run.
func (wt *watcher) isLate(ns *wire.EngineNews) bool {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	return wt.registry.IsLate(startOf(ns))
}

// startOf returns the run that a message of a tender is about.
func startOf(ns *wire.EngineNews) fleet.Start {
	weightVersions := map[string]uint64{ns.GetModel(): ns.GetVersion()}
	return fleet.NewStart(ns.GetServerId(), ns.GetAddress(), ns.GetStartUnixMilli(), weightVersions, ns.GetPreviousId())
}

// recordSilence records that an engine does not respond to its tender.
func (wt *watcher) recordSilence(id string) {
	wt.gate.ledger.Doubt(time.Now(), fleet.Hash(id), runs.Silent{})
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.registry.RecordSilence(id) {
		wt.publish()
	}
}

// publish passes the servers to the picker; the caller holds mu.
func (wt *watcher) publish() {
	view := wt.registry.View()
	wt.gate.suspectEnded(wt.gate.picker.View(), view)
	wt.gate.releases.observeView(view)
	wt.gate.picker.SetView(view)
	wt.gate.releases.notify()
}

// recordCurrent records that the copy of the servers table is complete as of a time. Right after an outage, servers may still be about to write their entries
// again.
func (wt *watcher) recordCurrent(asOf time.Time) {
	gt := wt.gate
	gt.ledger.SetListed(asOf)
	gt.freshness.setServersAsOf(asOf)
	wt.mu.Lock()
	isSettled := wt.outageAt.IsZero() || asOf.Sub(wt.outageAt) >= fleet.ReregisterGrace
	wt.mu.Unlock()
	if isSettled && gt.releases.observeComplete(asOf) {
		gt.rereadNodes()
	}
}

func (wt *watcher) recordOutage() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	wt.outageAt = time.Now()
	wt.registry.RecordOutage(time.Now())
	wt.gate.ledger.SetGap(time.Now())
}

// departures returns the servers that have left lately or are draining.
func (wt *watcher) departures() []*wire.DepartedServer {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	var departed []*wire.DepartedServer
	for _, dp := range wt.registry.Departures() {
		departed = append(departed, &wire.DepartedServer{Id: dp.ID(), StartUnixMilli: dp.StartUnixMilli(), Sequence: dp.Sequence()})
	}
	return departed
}

// addDepartures records servers that a peer has seen leave.
func (wt *watcher) addDepartures(departed []*wire.DepartedServer) {
	departures := make([]fleet.Departure, 0, len(departed))
	for _, ds := range departed {
		departures = append(departures, fleet.NewDeparture(ds.GetId(), ds.GetStartUnixMilli(), ds.GetSequence()))
	}
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.registry.AddDepartures(time.Now(), departures) {
		wt.publish()
	}
}

func (wt *watcher) expire() {
	wt.mu.Lock()
	defer wt.mu.Unlock()
	if wt.registry.Expire(time.Now()) {
		wt.publish()
	}
}

// followTables starts the goroutines that keep the tables up to date.
func (gt *Gate) followTables(ctx context.Context, wg *conc.WaitGroup) {
	noop := func() {}
	dl := gt.opts.Deadlines
	config := feed.NewFollower(gt.configTable, gt.opts.Source, gt.log, dl.watchWait(dl.Config), 0, noop)
	servers := feed.NewFollower(gt.serverTable, gt.opts.Source, gt.log, dl.serversWait(), dl.serverChangeDelay(),
		gt.watcher.recordOutage)
	servers.OnCurrent(gt.watcher.recordCurrent)
	gt.watcher.servers = servers
	// The views of the servers of a gate that is not listed show nothing about other releases.
	isListed := gt.registerOnce(ctx, firstReadTimeout)
	// A gate takes no requests before it has a configuration, and no configuration before it has read the rules about crashes.
	gt.readNodesOnce(ctx, firstReadTimeout)
	gt.originLog.load(ctx, firstReadTimeout)
	wg.Go(func() { config.Run(ctx) })
	wg.Go(func() { servers.Run(ctx) })
	wg.Go(func() { gt.readNodes(ctx) })
	wg.Go(func() {
		if isListed {
			gt.hints.introduce(ctx)
			return
		}
		gt.register(ctx)
	})
	wg.Go(func() { gt.exchangeKept(ctx) })
	wg.Go(func() { gt.pullAnnounced(ctx) })
	wg.Go(func() { gt.repairRestored(ctx) })
	wg.Go(func() { gt.watchCacheStores(ctx) })
	wg.Go(func() { gt.limits.run(ctx) })
	wg.Go(func() { gt.releases.run(ctx) })
	wg.Go(func() { gt.originLog.run(ctx) })
	wg.Go(func() { <-ctx.Done(); gt.crashes.calls.close() })
	wg.Go(func() { <-ctx.Done(); gt.origins.calls.close() })
	wg.Go(func() { <-ctx.Done(); gt.questions.close() })
	wg.Go(func() { <-ctx.Done(); gt.releases.opener.calls.close() })
	wg.Go(func() { <-ctx.Done(); gt.originLookup.rounds.close() })
	wg.Go(func() { <-ctx.Done(); gt.originReader.reads.close() })
	wg.Go(func() { <-ctx.Done(); gt.prober.Close() })
	every := func(interval time.Duration, fn func()) {
		cancel := gt.opts.Timer.Every(interval, fn)
		wg.Go(func() { <-ctx.Done(); cancel() })
	}
	every(expireInterval, gt.watcher.expire)
	every(forgetRunsInterval, gt.forgetRuns)
	every(forgetInterval, func() { gt.picker.ForgetUnused(time.Now()) })
	every(expireAttemptsInterval, func() { gt.picker.ExpireAttempts(time.Now()) })
	wg.Go(func() { <-ctx.Done(); gt.hints.calls.close() })
	every(quota.TickInterval, gt.tickQuotas)
	every(hintInterval, func() { gt.hints.send(ctx) })
	every(logSharesInterval, gt.zoneLog.check)
	every(refreshRulesInterval, gt.crashes.refresh)
	every(checkReleasesInterval, gt.releases.notify)
	every(originCopyIdle/2, gt.originReader.dropIdle)
	every(saveRulesInterval, func() { gt.crashes.saveRules(ctx) })
	every(pullInterval, func() {
		if config.Stale() || servers.Stale() || gt.configTable.Revision() == 0 {
			gt.pullFromPeer(ctx)
		}
	})
}
