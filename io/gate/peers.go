package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"shallotcleat/core/pick"
	"shallotcleat/io/feed"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
)

// pullFromPeer requests newer rows of the config and servers tables from a random other gate.
func (gt *Gate) pullFromPeer(ctx context.Context) {
	peers := gt.peers()
	if len(peers) == 0 {
		return
	}
	address := peers[rand.IntN(len(peers))]
	selectors := []feed.Selector{feed.NewSelector(gt.configTable, ""), feed.NewSelector(gt.serverTable, "")}
	updated, departed, err := feed.PullWithDepartures(ctx, gt.opts.Links, address, selectors)
	if err != nil {
		gt.log.WithError(err).Debug("pulling tables from peer failed")
		return
	}
	gt.watcher.addDepartures(departed)
	if updated {
		gt.log.WithField("peer", address).WithField("revision", gt.configTable.Revision()).Info("tables updated from peer")
	}
}

// Parameters of the pulls after a peer has announced weights that the config table lacks.
const (
	// announcedPullDelay is the time before each pull; the watch of the store usually brings the row meanwhile.
	announcedPullDelay = 100 * time.Millisecond
	announcedPulls     = 5
)

// requestPull lets pullAnnounced pull, and does nothing if that is already requested.
func (gt *Gate) requestPull() {
	select {
	case gt.pullRequests <- struct{}{}:
	default:
	}
}

// pullAnnounced pulls the config table from peers when they announce weights that it lacks, since tenders get the table from this gate.
func (gt *Gate) pullAnnounced(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gt.pullRequests:
		}
		for range announcedPulls {
			timer.Sleep(ctx, announcedPullDelay)
			if !gt.lacksAnnounced() {
				break
			}
			gt.pullFromPeer(ctx)
		}
	}
}

// lacksAnnounced reports whether the config table is older than an announcement of weights.
func (gt *Gate) lacksAnnounced() bool {
	versions := make(map[string]uint64)
	rows, _ := gt.configTable.Rows(gt.opts.Dialect.Tables().WeightsKeyPrefix)
	for _, rw := range rows {
		// Rows that cannot be decoded are logged when they come.
		if model, version, ok, err := gt.opts.Dialect.DecodeWeights(rw); ok && err == nil {
			versions[model] = version
		}
	}
	return slices.ContainsFunc(gt.picker.Announcements(time.Now()), func(an pick.Announcement) bool {
		return an.Version() > versions[an.Model()]
	})
}

// peers returns the peer addresses of the other known gates, including seed peers.
func (gt *Gate) peers() []string {
	seen := map[string]bool{gt.opts.PeerAddress: true}
	var peers []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			peers = append(peers, address)
		}
	}
	for _, nd := range gt.gateList.Gates() {
		add(nd.Address)
	}
	for _, seed := range gt.opts.SeedPeers {
		add(seed)
	}
	return peers
}

// zonePeers returns the peer addresses of the other known gates of this gate's zone. While no gate is known, it returns the seed peers.
func (gt *Gate) zonePeers() []string {
	gates := gt.gateList.Gates()
	if len(gates) == 0 {
		return gt.peers()
	}
	var peers []string
	for _, nd := range gates {
		if nd.Zone == gt.opts.Zone && nd.Address != gt.opts.PeerAddress {
			peers = append(peers, nd.Address)
		}
	}
	return peers
}

// gateCount returns the number of known gates, including this one.
func (gt *Gate) gateCount() int { return len(gt.peers()) + 1 }

// maxOutdatedDelay spreads the reads of many gates after another one has introduced itself, or the store was away.
const maxOutdatedDelay = 2 * time.Second

// readNodes polls the nodes table until ctx is done, after register has read it first. Its rows change only when VMs are added or
// removed. Tenders know new gates by this copy, so that it is read soon after another gate has introduced itself; and soon after this gate did not see the servers
// for a while, since releases may have come and gone.
func (gt *Gate) readNodes(ctx context.Context) {
	poll := time.NewTicker(nodesInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case <-gt.nodesOutdated:
			timer.Sleep(ctx, rand.N(maxOutdatedDelay))
		}
		gt.readNodesOnce(ctx, storeTimeout)
	}
}

// noticeIntroduction lets readNodes read the table if it lacks a gate.
func (gt *Gate) noticeIntroduction(address string) {
	rows, _ := gt.nodeTable.Rows(RoleGate + "-" + address)
	if len(rows) > 0 {
		return
	}
	gt.rereadNodes()
}

// rereadNodes lets readNodes read the table soon.
func (gt *Gate) rereadNodes() {
	select {
	case gt.nodesOutdated <- struct{}{}:
	default:
	}
}

// firstReadTimeout bounds the first read of the nodes table, for which a gate that starts waits.
const firstReadTimeout = 500 * time.Millisecond

// readNodesOnce reads the nodes table and replaces the copy if the rows have changed, so that unchanged rows are not decoded
// again.
// It reports whether the table was read.
func (gt *Gate) readNodesOnce(parent context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	asOf := time.Now()
	rows, revision, err := gt.opts.Source.Read(ctx, gt.nodeTable.Table())
	if err != nil {
		gt.log.WithError(err).Debug("reading nodes table failed")
		return false
	}
	if _, current := gt.nodeTable.Rows(""); current == 0 || !sameRows(gt.nodeTable, rows) {
		gt.nodeTable.ReplaceAsOf(rows, revision, asOf)
	}
	gt.freshness.setNodesAsOf(asOf)
	gt.releases.observeHistory(asOf)
	return true
}

// sameRows reports whether a copy holds exactly these rows at the same revisions.
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

// register writes this gate's entry into the nodes table, retrying until that succeeds, and then reads the table.
func (gt *Gate) register(ctx context.Context) {
	for ctx.Err() == nil {
		if gt.registerOnce(ctx, storeTimeout) {
			gt.readNodesOnce(ctx, storeTimeout)
			gt.hints.introduce(ctx)
			return
		}
		if gt.nodeTable.Revision() == 0 {
			gt.readNodesOnce(ctx, storeTimeout)
		}
		timer.Sleep(ctx, registerInterval)
	}
}

// registerOnce writes this gate's entry into the nodes table unless the table has it, and reports whether it has it then.
func (gt *Gate) registerOnce(parent context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	nd := Node{Role: RoleGate, Address: gt.opts.PeerAddress, Zone: gt.opts.Zone, Capacity: gt.opts.Capacity}
	if err := WriteNode(ctx, gt.opts.Store, gt.nodeTable.Table(), nd); err != nil {
		gt.log.WithError(err).Debug("registering in nodes table failed; retrying")
		return false
	}
	gt.releases.list(time.Now())
	return true
}

// WriteNode writes the entry of a process into a table unless the table already holds the same entry.
func WriteNode(parent context.Context, store table.Committer, tableName string, nd Node) error {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	value, err := json.Marshal(nd)
	if err != nil {
		return fmt.Errorf("encode node: %w", err)
	}
	key := tableName + "/" + nd.Role + "-" + nd.Address
	_, err = store.Commit(ctx, []table.Write{{Key: key, Value: value}})
	var ce *table.ConflictError
	if errors.As(err, &ce) {
		if cl := ce.Cell(key); cl.Version == 0 || string(cl.Value) == string(value) {
			return nil
		}
		_, err = store.Commit(ctx, []table.Write{{Key: key, Value: value, ExpectedVersion: ce.Cell(key).Version}})
	}
	if err != nil {
		return fmt.Errorf("write node: %w", err)
	}
	return nil
}

// nodeRowPath returns the key of a row of the nodes table for a commit.
func (gt *Gate) nodeRowPath(key string) string { return gt.nodeTable.Table() + "/" + key }

// commitNodeRow writes a row of the nodes table, encoded as JSON, if it has the expected version. It returns the encoded row and its new version.
func (gt *Gate) commitNodeRow(parent context.Context, key string, row any, expectedVersion uint64) (value []byte, version uint64, err error) {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	if value, err = json.Marshal(row); err != nil {
		return nil, 0, fmt.Errorf("encode row %s: %w", key, err)
	}
	versions, err := gt.opts.Store.Commit(ctx, []table.Write{{Key: gt.nodeRowPath(key), Value: value, ExpectedVersion: expectedVersion}})
	if err != nil {
		return nil, 0, fmt.Errorf("write row %s: %w", key, err)
	}
	return value, versions[0], nil
}
