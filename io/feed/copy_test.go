package feed

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"shallotcleat/io/wire"
)

func valuesByKey(cp *Copy) map[string]string {
	rows, _ := cp.Rows("")
	values := make(map[string]string)
	for _, rw := range rows {
		values[rw.Key()] = string(rw.Value())
	}
	return values
}

// Checks that neither changes from the source nor copies from peers move a copy back to an earlier revision.
func TestCopyRevisionIsMonotonic(t *testing.T) {
	cp := NewCopy("t")
	cp.Replace([]Row{NewRow("a", []byte("1"), 3)}, 5)
	cp.Apply([]Row{NewRow("b", []byte("1"), 6)}, 5, 7)
	if cp.Replace([]Row{NewRow("a", []byte("old"), 1)}, 6) {
		t.Error("Replace accepted an older revision")
	}
	// A copy from a peer arrives before a change from the source; Apply skips the rows that the copy already covers.
	cp.Replace([]Row{NewRow("a", []byte("2"), 9), NewRow("b", []byte("1"), 6)}, 9)
	cp.Apply([]Row{NewRow("a", []byte("late"), 8), NewTombstone("b", 10)}, 7, 10)
	if values := valuesByKey(cp); len(values) != 1 || values["a"] != "2" || cp.Revision() != 10 {
		t.Errorf("got rows %v at revision %d, want only a=2 at revision 10", values, cp.Revision())
	}
}

// scriptedSource is a Source that returns the results of steps in order and records the calls.
type scriptedSource struct {
	mu    sync.Mutex
	steps []func() ([]Row, uint64, error)
	calls []string
}

func (ss *scriptedSource) next(call string) ([]Row, uint64, error) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.calls = append(ss.calls, call)
	if len(ss.steps) == 0 {
		return nil, 0, errors.New("no steps left")
	}
	step := ss.steps[0]
	ss.steps = ss.steps[1:]
	return step()
}

func (ss *scriptedSource) Read(context.Context, string) ([]Row, uint64, error) {
	return ss.next("read")
}

func (ss *scriptedSource) Watch(context.Context, string, uint64, time.Duration) ([]Row, uint64, error) {
	return ss.next("watch")
}

// Checks that the follower reads the whole table again after ErrCompacted, but not after other errors.
func TestFollowerRereadsAfterCompaction(t *testing.T) {
	result := func(rows []Row, revision uint64, err error) func() ([]Row, uint64, error) {
		return func() ([]Row, uint64, error) { return rows, revision, err }
	}
	src := &scriptedSource{steps: []func() ([]Row, uint64, error){
		result([]Row{NewRow("a", nil, 1)}, 1, nil),
		result(nil, 0, errors.New("unavailable")),
		result([]Row{NewRow("b", nil, 2)}, 2, nil),
		result(nil, 0, ErrCompacted),
		result([]Row{NewRow("c", nil, 9)}, 9, nil),
	}}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	cp := NewCopy("t")
	failures := 0
	fw := NewFollower(cp, src, logrus.NewEntry(lg), time.Second, 0, func() { failures++ })
	ctx, cancel := context.WithCancel(t.Context())
	go fw.Run(ctx)
	for cp.Revision() != 9 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-fw.Done()
	if values := valuesByKey(cp); len(values) != 1 {
		t.Errorf("got rows %v, want one row", values)
	}
	want := []string{"read", "watch", "watch", "watch", "read"}
	for i, call := range want {
		if src.calls[i] != call {
			t.Errorf("call %d is %s, want %s", i, src.calls[i], call)
		}
	}
	if failures < 1 {
		t.Error("onError was not called")
	}
}

// Checks that a pull returns a copy only if it is newer than the requested revision and a selected row has changed.
func TestPullServerReturnsNewerRows(t *testing.T) {
	cp := NewCopy("t")
	cp.Replace([]Row{NewRow("x/1", []byte("1"), 3), NewRow("y", nil, 4)}, 4)
	ps := NewPullServer(cp)
	pull := func(prefix string, revision uint64) int {
		rq := &wire.PullRequest{Known: []*wire.KnownTable{{Table: "t", Prefix: prefix, Revision: revision}}}
		return len(ps.Serve(t.Context(), rq).GetCopies())
	}
	for _, tt := range []struct {
		prefix   string
		revision uint64
		want     int
	}{{"", 0, 1}, {"", 4, 0}, {"x/", 2, 1}, {"x/", 3, 0}, {"z", 0, 0}} {
		if got := pull(tt.prefix, tt.revision); got != tt.want {
			t.Errorf("prefix %q after revision %d: got %d copies, want %d", tt.prefix, tt.revision, got, tt.want)
		}
	}
}

// Checks that a pull under a key prefix hears of a deletion, and that a change of any copy ends its wait.
func TestPullHearsOfDeletionsInEveryCopy(t *testing.T) {
	var copies []*Copy
	for _, table := range []string{"t1", "t2", "t3", "t4"} {
		cp := NewCopy(table)
		cp.Replace([]Row{NewRow("x/1", []byte("1"), 3), NewRow("x/2", []byte("2"), 3)}, 4)
		copies = append(copies, cp)
	}
	ps := NewPullServer(copies...)
	for _, cp := range copies {
		rq := &wire.PullRequest{WaitMs: 10_000, Known: []*wire.KnownTable{
			{Table: cp.Table(), Prefix: "x/", Revision: 4, Rows: proto.Uint32(2)}}}
		go func() {
			time.Sleep(20 * time.Millisecond)
			cp.Apply([]Row{NewTombstone("x/1", 5)}, 4, 5)
		}()
		start := time.Now()
		reply := ps.Serve(t.Context(), rq)
		if len(reply.GetCopies()) != 1 || len(reply.GetCopies()[0].GetRows()) != 1 {
			t.Errorf("%s: got reply %v after %s, want the remaining row", cp.Table(), reply, time.Since(start))
		}
	}
}

// versionByValue takes the length of a row's value as its content version.
func versionByValue(rw Row) (uint64, bool) { return uint64(len(rw.Value())), len(rw.Value()) > 0 }

// Checks that a copy takes the rows of a restored store, but keeps a row with newer content until it is written again, and that peers
// pass such rows on.
func TestCopyKeepsNewerContentAcrossRestore(t *testing.T) {
	cp := NewVersionedCopy("t", versionByValue)
	var restores int
	cp.Subscribe(func(ch Change) {
		if ch.Restored {
			restores++
		}
	})
	cp.Replace([]Row{NewRow("a", []byte("vvv"), NewRevision(1, 9)), NewRow("b", []byte("v"), NewRevision(1, 8))}, NewRevision(1, 9))
	if !cp.Replace([]Row{NewRow("a", []byte("v"), NewRevision(2, 3)), NewRow("b", []byte("vv"), NewRevision(2, 4))}, NewRevision(2, 5)) {
		t.Fatal("the restored rows were refused")
	}
	if values := valuesByKey(cp); values["a"] != "vvv" || values["b"] != "vv" || restores != 1 {
		t.Errorf("got rows %v after %d restores", values, restores)
	}
	if cp.Replace([]Row{NewRow("b", []byte("v"), NewRevision(1, 20))}, NewRevision(1, 20)) {
		t.Error("rows of before the restore were accepted")
	}

	peer := NewVersionedCopy("t", versionByValue)
	peer.Replace([]Row{NewRow("a", []byte("v"), NewRevision(2, 3)), NewRow("b", []byte("vv"), NewRevision(2, 4))}, NewRevision(2, 5))
	ps := NewPullServer(cp)
	rq := &wire.PullRequest{Known: []*wire.KnownTable{{Table: "t", Revision: peer.Revision(), Kept: peer.KeptVersions("")}}}
	reply := ps.Serve(t.Context(), rq)
	if len(reply.GetCopies()) != 1 || !peer.Keep(fromWire(reply.GetCopies()[0].GetRows())) || valuesByKey(peer)["a"] != "vvv" {
		t.Fatalf("got reply %v, rows %v", reply, valuesByKey(peer))
	}
	rq.Known[0].Kept = peer.KeptVersions("")
	if reply = ps.Serve(t.Context(), rq); len(reply.GetCopies()) != 0 {
		t.Errorf("the same rows were sent again: %v", reply)
	}

	cp.Apply([]Row{NewRow("a", []byte("vv"), NewRevision(2, 6))}, NewRevision(2, 5), NewRevision(2, 6))
	if values := valuesByKey(cp); values["a"] != "vvv" {
		t.Errorf("an older version replaced a kept row: %v", values)
	}
	cp.Apply([]Row{NewRow("a", []byte("vvvv"), NewRevision(2, 7))}, NewRevision(2, 6), NewRevision(2, 7))
	if values := valuesByKey(cp); values["a"] != "vvvv" || cp.KeptVersions("") != 0 {
		t.Errorf("a newer version did not replace a kept row: %v", values)
	}
}

// Checks that a follower pauses between reads of the whole table if the source answers each watch with ErrCompacted.
func TestFollowerPausesBetweenReads(t *testing.T) {
	src := &scriptedSource{}
	for range 1000 {
		src.steps = append(src.steps,
			func() ([]Row, uint64, error) { return nil, 1, nil },
			func() ([]Row, uint64, error) { return nil, 0, ErrCompacted })
	}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	fw := NewFollower(NewCopy("t"), src, logrus.NewEntry(lg), time.Second, 0, func() {})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	fw.Run(ctx)
	if len(src.calls) > 12 {
		t.Errorf("%d calls within a second, want at most 12", len(src.calls))
	}
}

// A change that is found after calls to the source have failed may have been made any time since the last successful call.
func TestChangeAfterFailureIsSinceLastSuccess(t *testing.T) {
	result := func(key string, revision uint64, err error) func() ([]Row, uint64, error) {
		return func() ([]Row, uint64, error) { return []Row{NewRow(key, nil, revision)}, revision, err }
	}
	src := &scriptedSource{steps: []func() ([]Row, uint64, error){
		result("read", 1, nil), result("watched", 2, nil), result("", 0, errors.New("timeout")), result("late", 3, nil), result("soon", 4, nil),
	}}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	cp := NewCopy("t")
	changes := make(chan Change, 4)
	var watchedAt time.Time
	cp.Subscribe(func(ch Change) {
		if ch.Rows[0].Key() == "watched" {
			watchedAt = time.Now()
		}
		changes <- ch
	})
	ctx, cancel := context.WithCancel(t.Context())
	fw := NewFollower(cp, src, logrus.NewEntry(lg), time.Second, 0, func() {})
	go fw.Run(ctx)
	for _, key := range []string{"read", "watched", "late", "soon"} {
		ch := <-changes
		if got := ch.Rows[0].Key(); got != key {
			t.Fatalf("got a change of %s, want %s", got, key)
		}
		if uncertain := !ch.Since.IsZero(); uncertain != (key == "late") || uncertain && ch.Since.Sub(watchedAt) > minBackoff/2 {
			t.Errorf("change of %s is since %s, the last success was at %s", key, ch.Since, watchedAt)
		}
	}
	cancel()
	<-fw.Done()
}
