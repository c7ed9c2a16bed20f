package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"shallotcleat/core/fleet"
	"shallotcleat/core/route"
	"shallotcleat/io/feed"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
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
	list *fleet.List
}

func newDirectory(gt *Gate) *directory {
	dr := &directory{gate: gt, list: fleet.NewList()}
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
		if model, version, ok, err := gt.opts.Dialect.Weights(rw); err != nil {
			gt.log.WithError(err).WithField("row", rw.Key()).Warn("a version of weights can't be read; it is passed over")
		} else if ok {
			if atStart {
				gt.picker.WantOld(time.Now(), model, version)
			} else {
				gt.picker.Want(time.Now(), model, version)
			}
			gt.log.WithField("model", model).WithField("version", version).Info("weights wanted")
		}
		sp, ok, err := gt.opts.Dialect.Configuration(rw)
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
func (dr *directory) nodesChanged(ch feed.Change) {
	zone, all := 0, 0
	for _, rw := range ch.Rows {
		nd, ok := ParseNode(rw)
		if !ok || nd.Role != RoleGate {
			continue
		}
		all++
		if nd.Zone == dr.gate.opts.Zone {
			zone++
		}
	}
	dr.gate.picker.SetSenders(zone, all)
}

func (dr *directory) serversChanged(ch feed.Change) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	now := time.Now()
	present := make(map[string]bool)
	for _, rw := range ch.Rows {
		if rw.Gone() {
			dr.list.Drop(now, rw.Key())
			continue
		}
		sv, err := dr.gate.opts.Dialect.Server(rw)
		if err != nil {
			dr.gate.log.WithError(err).WithField("row", rw.Key()).Warn("an entry names no usable backend server; it is passed over")
			dr.list.Drop(now, rw.Key())
			continue
		}
		present[rw.Key()] = true
		dr.list.Put(sv)
	}
	if ch.Whole {
		dr.list.Keep(now, present)
	}
	dr.publish()
}

// found takes an engine that has started anew and is not listed yet.
func (dr *directory) found(now time.Time, ns *wire.EngineNews) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	weights := map[string]uint64{ns.GetModel(): ns.GetVersion()}
	if !dr.list.Found(now, ns.GetServerId(), ns.GetAddress(), weights) {
		return
	}
	dr.publish()
	dr.gate.log.WithFields(logrus.Fields{"server": ns.GetServerId(), "address": ns.GetAddress()}).Info("an engine started anew and is not listed yet")
}

// publish hands the servers to the picker; the caller holds mu.
func (dr *directory) publish() { dr.gate.picker.SetView(dr.list.View()) }

func (dr *directory) outage() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.list.Outage(time.Now())
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

// pullFromPeer asks one other gate for later copies of the tables.
func (gt *Gate) pullFromPeer(ctx context.Context) {
	peers := gt.peers()
	if len(peers) == 0 {
		return
	}
	address := peers[rand.IntN(len(peers))]
	wants := []feed.Interest{feed.NewInterest(gt.operators, ""), feed.NewInterest(gt.servers, "")}
	later, err := feed.Pull(ctx, gt.opts.Links, address, wants, 0)
	if err != nil {
		gt.log.WithError(err).Debug("a peer does not answer")
		return
	}
	if later {
		gt.log.WithField("peer", address).WithField("revision", gt.operators.Revision()).Info("tables taken from a peer")
	}
}

// Node is the entry of one of the system's processes in the nodes' table.
type Node struct {
	// Role is RoleGate or RoleTender.
	Role string `json:"role"`
	// Address is the peer address of a gate, or that of a tender's engine.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Service is that of a tender's engine.
	Service string `json:"service,omitempty"`
}

// The roles of processes.
const (
	RoleGate   = "gate"
	RoleTender = "tender"
)

// ParseNode returns the entry of a process in a row of the nodes' table, and false if it can't be read.
func ParseNode(rw feed.Row) (Node, bool) {
	var nd Node
	err := json.Unmarshal(rw.Value(), &nd)
	return nd, err == nil && nd.Address != ""
}

// peers returns the peer addresses of the other gates.
func (gt *Gate) peers() []string {
	known := map[string]bool{gt.opts.PeerAddress: true}
	var peers []string
	add := func(address string) {
		if address != "" && !known[address] {
			known[address] = true
			peers = append(peers, address)
		}
	}
	rows, _ := gt.nodes.Rows("")
	for _, rw := range rows {
		if nd, ok := ParseNode(rw); ok && nd.Role == RoleGate {
			add(nd.Address)
		}
	}
	for _, seed := range gt.opts.Seeds {
		add(seed)
	}
	return peers
}

// gateCount returns how many gates there are, this one included, as far as it is known.
func (gt *Gate) gateCount() int { return len(gt.peers()) + 1 }

// readNodes reads the nodes' table from time to time; its rows change only as VMs come and go.
func (gt *Gate) readNodes(ctx context.Context) {
	for ctx.Err() == nil {
		gt.readNodesOnce(ctx)
		timer.Pause(ctx, nodesPeriod)
	}
}

func (gt *Gate) readNodesOnce(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, storeLimit)
	defer cancel()
	rows, revision, err := gt.opts.Source.Read(ctx, gt.nodes.Table())
	if err != nil {
		gt.log.WithError(err).Debug("the nodes' table can't be read")
		return
	}
	if _, known := gt.nodes.Rows(""); known == 0 || !sameRows(gt.nodes, rows) {
		gt.nodes.Replace(rows, revision)
	}
}

// sameRows reports whether a copy has just these rows.
func sameRows(cp *feed.Copy, rows []feed.Row) bool {
	old, _ := cp.Rows("")
	if len(old) != len(rows) {
		return false
	}
	revisions := make(map[string]uint64, len(old))
	for _, rw := range old {
		revisions[rw.Key()] = rw.Revision()
	}
	for _, rw := range rows {
		if revisions[rw.Key()] != rw.Revision() {
			return false
		}
	}
	return true
}

// register writes this gate's entry into the nodes' table.
func (gt *Gate) register(ctx context.Context) {
	nd := Node{Role: RoleGate, Address: gt.opts.PeerAddress, Zone: gt.opts.Zone}
	for ctx.Err() == nil {
		err := WriteNode(ctx, gt.opts.Store, gt.nodes.Table(), nd)
		if err == nil {
			gt.readNodesOnce(ctx)
			return
		}
		gt.log.WithError(err).Debug("the gate's entry can't be written yet")
		timer.Pause(ctx, registerPeriod)
	}
}

// WriteNode writes the entry of a process, unless the same one is there.
func WriteNode(parent context.Context, store table.Committer, name string, nd Node) error {
	ctx, cancel := context.WithTimeout(parent, storeLimit)
	defer cancel()
	value, err := json.Marshal(nd)
	if err != nil {
		return fmt.Errorf("encode node: %w", err)
	}
	key := name + "/" + nd.Role + "-" + nd.Address
	_, err = store.Commit(ctx, []table.Write{{Key: key, Value: value}})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		if cl := ce.Cell(key); cl.Version == 0 || string(cl.Value) == string(value) {
			return nil
		}
		_, err = store.Commit(ctx, []table.Write{{Key: key, Value: value, Expect: ce.Cell(key).Version}})
	}
	if err != nil {
		return fmt.Errorf("write node: %w", err)
	}
	return nil
}
