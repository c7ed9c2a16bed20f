package feed

import (
	"context"
	"fmt"
	"time"

	"shallotcleat/io/link"
	"shallotcleat/io/wire"
)

// pullLimit bounds a pull beside its wait.
const pullMargin = 400 * time.Millisecond

// Interest names the rows of a table that a process wants.
type Selector struct {
	copy   *Copy
	prefix string
}

// NewInterest returns the interest in the rows of a copy whose keys begin with a prefix.
func NewSelector(cp *Copy, prefix string) Selector { return Selector{copy: cp, prefix: prefix} }

// Pull takes later copies from a gate; it waits until the gate has one, but not longer than given. It reports whether any
// copy was later.
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

// Shelf hands copies on to peers.
type PullServer struct {
	copies []*Copy
}

// NewShelf returns a shelf of copies.
func NewPullServer(copies ...*Copy) *PullServer { return &PullServer{copies: copies} }

// Serve answers a pull.
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

// maxPullWait bounds the time for which a pull waits.
const maxPullWait = 10 * time.Second

// wakes returns the channels of the copies' next changes; there are three at most, and a nil one never wakes.
func (ps *PullServer) changeChannels() [3]<-chan struct{} {
	var channels [3]<-chan struct{}
	for i, cp := range ps.copies[:min(len(ps.copies), len(channels))] {
		channels[i] = cp.Changed()
	}
	return channels
}

// later returns the copies that are later than those that the peer knows. A change that touches no row which the peer asks
// for makes no copy later.
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
