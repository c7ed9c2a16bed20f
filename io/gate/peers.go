package gate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"

	"shallotcleat/io/feed"
	"shallotcleat/io/table"
	"shallotcleat/io/timer"
)

// pullFromPeer asks one other gate for later copies of the tables.
func (gt *Gate) pullFromPeer(ctx context.Context) {
	peers := gt.peers()
	if len(peers) == 0 {
		return
	}
	address := peers[rand.IntN(len(peers))]
	interests := []feed.Interest{feed.NewInterest(gt.configTable, ""), feed.NewInterest(gt.serverTable, "")}
	updated, err := feed.Pull(ctx, gt.opts.Links, address, interests, 0)
	if err != nil {
		gt.log.WithError(err).Debug("a peer does not answer")
		return
	}
	if updated {
		gt.log.WithField("peer", address).WithField("revision", gt.configTable.Revision()).Info("tables taken from a peer")
	}
}

// peers returns the peer addresses of the other gates.
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

// gateCount returns how many gates there are, this one included, as far as it is known.
func (gt *Gate) gateCount() int { return len(gt.peers()) + 1 }

// readNodes reads the nodes' table from time to time; its rows change only as VMs come and go.
func (gt *Gate) readNodes(ctx context.Context) {
	for ctx.Err() == nil {
		gt.readNodesOnce(ctx)
		timer.Pause(ctx, nodesInterval)
	}
}

func (gt *Gate) readNodesOnce(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
	defer cancel()
	rows, revision, err := gt.opts.Source.Read(ctx, gt.nodeTable.Table())
	if err != nil {
		gt.log.WithError(err).Debug("the nodes' table can't be read")
		return
	}
	if _, seen := gt.nodeTable.Rows(""); seen == 0 || !sameRows(gt.nodeTable, rows) {
		gt.nodeTable.Replace(rows, revision)
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
		err := WriteNode(ctx, gt.opts.Store, gt.nodeTable.Table(), nd)
		if err == nil {
			gt.readNodesOnce(ctx)
			return
		}
		gt.log.WithError(err).Debug("the gate's entry can't be written yet")
		timer.Pause(ctx, registerInterval)
	}
}

// WriteNode writes the entry of a process, unless the same one is there.
func WriteNode(parent context.Context, store table.Committer, name string, nd Node) error {
	ctx, cancel := context.WithTimeout(parent, storeTimeout)
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
