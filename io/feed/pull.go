package feed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

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
	newer, _, err := pull(ctx, pool, address, selectors, &wire.PullRequest{WaitMs: wait.Milliseconds()})
	return newer, err
}

// PullWithDepartures is Pull without a wait; it also returns the servers that the gate has seen leave.
func PullWithDepartures(ctx context.Context, pool *link.Pool, address string, selectors []Selector) (bool, []*wire.DepartedServer, error) {
	return pull(ctx, pool, address, selectors, &wire.PullRequest{WantDeparted: true})
}

func pull(ctx context.Context, pool *link.Pool, address string, selectors []Selector, rq *wire.PullRequest) (bool, []*wire.DepartedServer,
	error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rq.GetWaitMs())*time.Millisecond+pullMargin)
	defer cancel()
	for _, sel := range selectors {
		rows, revision := sel.copy.Rows(sel.prefix)
		rq.Known = append(rq.Known, &wire.KnownTable{Table: sel.copy.table, Revision: revision, Prefix: sel.prefix,
			Rows: proto.Uint32(uint32(len(rows))), Kept: sel.copy.KeptVersions(sel.prefix)})
	}
	reply, err := pool.Node(address).Pull(ctx, rq)
	if err != nil {
		return false, nil, fmt.Errorf("pull from %s: %w", address, err)
	}
	newer := false
	for _, tc := range reply.GetCopies() {
		for _, sel := range selectors {
			if sel.copy.table == tc.GetTable() {
				rows := fromWire(tc.GetRows())
				newer = sel.copy.Replace(rows, tc.GetRevision()) || newer
				newer = sel.copy.Keep(rows) || newer
			}
		}
	}
	return newer, reply.GetDeparted(), nil
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

	// mu guards changed, which is closed on the next change of any copy.
	mu      sync.Mutex
	changed chan struct{}
}

// NewPullServer returns a server of the given copies.
func NewPullServer(copies ...*Copy) *PullServer {
	ps := &PullServer{copies: copies, changed: make(chan struct{})}
	for _, cp := range copies {
		cp.Subscribe(ps.notify)
	}
	return ps
}

func (ps *PullServer) notify(Change) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	close(ps.changed)
	ps.changed = make(chan struct{})
}

// nextChange returns a channel that is closed on the next change of any copy.
func (ps *PullServer) nextChange() <-chan struct{} {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.changed
}

// Serve returns the copies that are newer than those in the request. If there are none, it waits for one up to the requested
// time, but at most maxPullWait; the reply is empty if the time runs out or ctx is canceled.
func (ps *PullServer) Serve(ctx context.Context, rq *wire.PullRequest) *wire.PullReply {
	wait := min(time.Duration(rq.GetWaitMs())*time.Millisecond, maxPullWait)
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for {
		changed := ps.nextChange()
		if reply := ps.newerCopies(rq); len(reply.GetCopies()) > 0 || wait == 0 {
			return reply
		}
		select {
		case <-ctx.Done():
			return &wire.PullReply{}
		case <-tm.C:
			return &wire.PullReply{}
		case <-changed:
		}
	}
}

// maxPullWait bounds the wait that a peer may request.
const maxPullWait = 10 * time.Second

// newerCopies returns the copies that are newer than those of the peer, or that have kept newer rows from before a restore. For a
// request with a key prefix, a copy counts as newer only if one of the selected rows was written after the peer's revision or deleted, or
// if the store was restored since.
func (ps *PullServer) newerCopies(rq *wire.PullRequest) *wire.PullReply {
	reply := &wire.PullReply{}
	for _, kt := range rq.GetKnown() {
		for _, cp := range ps.copies {
			if cp.table != kt.GetTable() {
				continue
			}
			rows, revision := cp.Rows(kt.GetPrefix())
			if revision > kt.GetRevision() && isSelectionNewer(rows, revision, kt) || cp.KeptVersions(kt.GetPrefix()) > kt.GetKept() {
				reply.Copies = append(reply.Copies, toWire(cp.table, rows, revision))
			}
		}
	}
	return reply
}

// isSelectionNewer reports whether the selected rows of a copy at a later revision than the peer's differ from those of the peer.
func isSelectionNewer(rows []Row, revision uint64, kt *wire.KnownTable) bool {
	return kt.GetPrefix() == "" || anyNewer(rows, kt.GetRevision()) || kt.Rows != nil && len(rows) != int(kt.GetRows()) ||
		kt.GetRevision() > 0 && Generation(revision) > Generation(kt.GetRevision())
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
