package gate

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"shallotcleat/core/fleet"
	"shallotcleat/core/route"
	"shallotcleat/io/feed"
	"shallotcleat/io/wire"
)

// Periods of the directory's work.
const (
	expirePeriod   = 200 * time.Millisecond
	pullPeriod     = 250 * time.Millisecond
	nodesPeriod    = 15 * time.Second
	registerPeriod = time.Second
	storeLimit     = 2 * time.Second
	// serversSettle delays the changes of servers' entries; a leaving server may get requests for two seconds.
	serversSettle = time.Second
)

// directory turns the followed tables into the gate's configuration and servers.
type directory struct {
	gate *Gate

	// mu guards the list.
	mu   sync.Mutex
	list *fleet.Registry
}

func newDirectory(gt *Gate) *directory {
	dr := &directory{gate: gt, list: fleet.NewRegistry()}
	gt.operators.Listen(dr.operatorsChanged)
	gt.servers.Listen(dr.serversChanged)
	gt.nodes.Listen(dr.nodesChanged)
	return dr
}

// operatorsChanged takes configurations and versions of weights. Older ones than those in force are passed over.
func (dr *directory) operatorsChanged(ch feed.Change) {
	gt := dr.gate
	atStart := gt.table.Load() == nil
	for _, rw := range ch.Rows {
		if rw.Gone() {
			continue
		}
		if model, version, ok, err := gt.opts.Dialect.DecodeWeights(rw); err != nil {
			gt.log.WithError(err).WithField("row", rw.Key()).Warn("a version of weights can't be read; it is passed over")
		} else if ok {
			if atStart {
				gt.picker.WantOld(time.Now(), model, version)
			} else {
				gt.picker.Want(time.Now(), model, version)
			}
			gt.log.WithField("model", model).WithField("version", version).Info("weights wanted")
		}
		sp, ok, err := gt.opts.Dialect.DecodeConfig(rw)
		switch {
		case err != nil:
			gt.log.WithError(err).WithField("row", rw.Key()).Warn("a configuration can't be read; the last good one stays in force")
		case ok:
			dr.adopt(sp)
		}
	}
}

// adopt puts a configuration in force unless one with the same or a later version is. Operators' changes come one at a time,
// under the lock of their table's copy.
func (dr *directory) adopt(sp route.Spec) {
	old := dr.gate.table.Load()
	if old != nil && sp.Version <= old.Version() {
		return
	}
	dr.gate.table.Store(route.Compile(sp))
	dr.gate.log.WithField("event", "epoch_adopted").WithField("version", sp.Version).WithField("routes", len(sp.Routes)).Info("configuration in force")
}

// nodesChanged counts the gates whose callers are as near to the servers of a zone as those of this one.
func (dr *directory) nodesChanged(feed.Change) {
	zone := 0
	gates := dr.gate.listed.Gates()
	for _, nd := range gates {
		if nd.Zone == dr.gate.opts.Zone {
			zone++
		}
	}
	dr.gate.picker.SetSenders(zone, len(gates))
}

func (dr *directory) serversChanged(ch feed.Change) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	present := make(map[string]bool)
	for _, rw := range ch.Rows {
		if rw.Gone() {
			dr.list.Remove(now, rw.Key())
			continue
		}
		sv, err := dr.gate.opts.Dialect.DecodeServer(rw)
		if err != nil {
			dr.gate.log.WithError(err).WithField("row", rw.Key()).Warn("an entry names no usable backend server; it is passed over")
			dr.list.Remove(now, rw.Key())
			continue
		}
		present[rw.Key()] = true
		dr.list.Put(sv)
	}
	if ch.Whole {
		dr.list.Retain(now, present)
	}
	dr.publish()
}

// found takes the id that an engine has since its last start, which may not be listed yet.
func (dr *directory) found(now time.Time, ns *wire.EngineNews) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	weights := map[string]uint64{ns.GetModel(): ns.GetVersion()}
	if !dr.list.RecordStart(now, ns.GetServerId(), ns.GetAddress(), weights) {
		return
	}
	dr.publish()
	dr.gate.log.WithFields(logrus.Fields{"server": ns.GetServerId(), "address": ns.GetAddress()}).Info("an engine started anew")
}

// publish hands the servers to the picker; the caller holds mu.
func (dr *directory) publish() { dr.gate.picker.SetView(dr.list.View()) }

func (dr *directory) outage() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.list.RecordOutage(time.Now())
}

func (dr *directory) expire() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	if dr.list.Expire(time.Now()) {
		dr.publish()
	}
}

// follow starts the goroutines that keep the tables up to date.
func (gt *Gate) follow(ctx context.Context, wg *conc.WaitGroup) {
	nothing := func() {}
	operators := feed.NewFollower(gt.operators, gt.opts.Source, gt.log, 0, nothing)
	servers := feed.NewFollower(gt.servers, gt.opts.Source, gt.log, serversSettle, gt.directory.outage)
	wg.Go(func() { operators.Run(ctx) })
	wg.Go(func() { servers.Run(ctx) })
	wg.Go(func() { gt.readNodes(ctx) })
	wg.Go(func() { gt.register(ctx) })
	every := func(period time.Duration, work func()) {
		cancel := gt.opts.Timer.Every(period, work)
		wg.Go(func() { <-ctx.Done(); cancel() })
	}
	every(expirePeriod, gt.directory.expire)
	every(hintPeriod, func() { gt.tellHints(ctx) })
	every(pullPeriod, func() {
		if operators.Stale() || servers.Stale() || gt.operators.Revision() == 0 {
			gt.pullFromPeer(ctx)
		}
	})
}
