package feed

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

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
	fw := NewFollower(cp, src, logrus.NewEntry(lg), 0, func() { failures++ })
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
