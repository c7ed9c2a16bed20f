package feed

import (
	"context"
	"fmt"
	"time"

	"shallotcleat/io/link"
	"shallotcleat/io/wire"
)

// pullMargin is added to the requested wait for the timeout of a pull.
const pullMargin = 400 * time.Millisecond

// Selector selects rows of a table by key prefix.
type Selector struct {
	copy   *Copy
	prefix string
}

// NewSelector selects the rows whose keys begin with prefix; pulled rows replace all rows of the copy.
func NewSelector(cp *Copy, prefix string) Selector { return Selector{copy: cp, prefix: prefix} }

// Pull requests copies that are newer than the local ones from the gate at address and stores them. If the gate has none, it
// waits for one up to the duration wait. Pull reports whether any local copy was replaced.
func Pull(ctx context.Context, pool *link.Pool, address string, selectors []Selector, wait time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pullMargin)
	defer cancel()
	rq := &wire.PullRequest{WaitMs: wait.Milliseconds()}
	for _, sel := range selectors {
		rq.Known = append(rq.Known, &wire.KnownTable{Table: sel.copy.table, Revision: sel.copy.Revision(), Prefix: sel.prefix})
	}
	reply, err := pool.Node(address).Pull(ctx, rq)
	if err != nil {
		return false, fmt.Errorf("pull from %s: %w", address, err)
	}
	newer := false
	for _, tc := range reply.GetCopies() {
		for _, sel := range selectors {
			if sel.copy.table == tc.GetTable() {
				newer = sel.copy.Replace(fromWire(tc.GetRows()), tc.GetRevision()) || newer
			}
		}
	}
	return newer, nil
}

func fromWire(rows []*wire.TableRow) []Row {
	out := make([]Row, 0, len(rows))
	for _, rw := range rows {
		out = append(out, NewRow(rw.GetKey(), rw.GetValue(), rw.GetRevision()))
	}
	return out
}

// PullServer serves copies to peers.
type PullServer struct {
	copies []*Copy
}

// NewPullServer returns a server of the given copies. Only changes of the first three end the wait of a pull.
func NewPullServer(copies ...*Copy) *PullServer { return &PullServer{copies: copies} }

// Serve returns the copies that are newer than those in the request. If there are none, it waits for one up to the requested
// time, but at most maxPullWait; the reply is empty if the time runs out or ctx is canceled.
func (ps *PullServer) Serve(ctx context.Context, rq *wire.PullRequest) *wire.PullReply {
	wait := min(time.Duration(rq.GetWaitMs())*time.Millisecond, maxPullWait)
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for {
		changed := ps.changeChannels()
		if reply := ps.newerCopies(rq); len(reply.GetCopies()) > 0 || wait == 0 {
			return reply
		}
		select {
		case <-ctx.Done():
			return &wire.PullReply{}
		case <-tm.C:
			return &wire.PullReply{}
		case <-changed[0]:
		case <-changed[1]:
		case <-changed[2]:
		}
	}
}

// maxPullWait bounds the wait that a peer may request.
const maxPullWait = 10 * time.Second

// changeChannels returns the Changed channels of the first three copies. The channel of an absent copy is nil, and a receive
// from it blocks forever.
func (ps *PullServer) changeChannels() [3]<-chan struct{} {
	var channels [3]<-chan struct{}
	for i, cp := range ps.copies[:min(len(ps.copies), len(channels))] {
		channels[i] = cp.Changed()
	}
	return channels
}

// newerCopies returns the copies that are newer than those of the peer. For a request with a key prefix, a copy counts as
// newer only if one of the selected rows was written after the peer's revision.
func (ps *PullServer) newerCopies(rq *wire.PullRequest) *wire.PullReply {
	reply := &wire.PullReply{}
	for _, kt := range rq.GetKnown() {
		for _, cp := range ps.copies {
			if cp.table != kt.GetTable() {
				continue
			}
			rows, revision := cp.Rows(kt.GetPrefix())
			if revision > kt.GetRevision() && (kt.GetPrefix() == "" || anyNewer(rows, kt.GetRevision())) {
				reply.Copies = append(reply.Copies, toWire(cp.table, rows, revision))
			}
		}
	}
	return reply
}

func anyNewer(rows []Row, revision uint64) bool {
	for _, rw := range rows {
		if rw.revision > revision {
			return true
		}
	}
	return false
}

func toWire(table string, rows []Row, revision uint64) *wire.TableCopy {
	tc := &wire.TableCopy{Table: table, Revision: revision}
	for _, rw := range rows {
		tc.Rows = append(tc.Rows, &wire.TableRow{Key: rw.key, Value: rw.value, Revision: rw.revision})
	}
	return tc
}
