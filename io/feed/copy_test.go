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

func keysOf(cp *Copy) map[string]string {
	rows, _ := cp.Rows("")
	keys := make(map[string]string)
	for _, rw := range rows {
		keys[rw.Key()] = string(rw.Value())
	}
	return keys
}

// A copy only goes forward, whether changes come from the source or whole copies from peers.
func TestCopyNeverGoesBack(t *testing.T) {
	cp := NewCopy("t")
	cp.Replace([]Row{NewRow("a", []byte("1"), 3)}, 5)
	cp.Apply([]Row{NewRow("b", []byte("1"), 6)}, 5, 7)
	if cp.Replace([]Row{NewRow("a", []byte("old"), 1)}, 6) {
		t.Error("an older copy was taken")
	}
	// A peer's copy came in between: what it has already is not applied again.
	cp.Replace([]Row{NewRow("a", []byte("2"), 9), NewRow("b", []byte("1"), 6)}, 9)
	cp.Apply([]Row{NewRow("a", []byte("late"), 8), NewTombstone("b", 10)}, 7, 10)
	if keys := keysOf(cp); len(keys) != 1 || keys["a"] != "2" || cp.Revision() != 10 {
		t.Errorf("got %v at revision %d", keys, cp.Revision())
	}
}

// script is a source that answers as it is told, one answer after another.
type script struct {
	mu    sync.Mutex
	steps []func() ([]Row, uint64, error)
	calls []string
}

func (sc *script) next(call string) ([]Row, uint64, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.calls = append(sc.calls, call)
	if len(sc.steps) == 0 {
		return nil, 0, errors.New("no more answers")
	}
	step := sc.steps[0]
	sc.steps = sc.steps[1:]
	return step()
}

func (sc *script) Read(context.Context, string) ([]Row, uint64, error) { return sc.next("read") }

func (sc *script) Watch(context.Context, string, uint64, time.Duration) ([]Row, uint64, error) {
	return sc.next("watch")
}

// A table is read anew when its history is gone, and only then.
func TestFollowerReadsAnewAfterCompaction(t *testing.T) {
	answer := func(rows []Row, revision uint64, err error) func() ([]Row, uint64, error) {
		return func() ([]Row, uint64, error) { return rows, revision, err }
	}
	src := &script{steps: []func() ([]Row, uint64, error){
		answer([]Row{NewRow("a", nil, 1)}, 1, nil),
		answer(nil, 0, errors.New("away")),
		answer([]Row{NewRow("b", nil, 2)}, 2, nil),
		answer(nil, 0, ErrCompacted),
		answer([]Row{NewRow("c", nil, 9)}, 9, nil),
	}}
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	cp := NewCopy("t")
	outages := 0
	fw := NewFollower(cp, src, logrus.NewEntry(lg), 0, func() { outages++ })
	ctx, cancel := context.WithCancel(t.Context())
	go fw.Run(ctx)
	for cp.Revision() != 9 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-fw.Done()
	if keys := keysOf(cp); len(keys) != 1 {
		t.Errorf("got %v", keys)
	}
	want := []string{"read", "watch", "watch", "watch", "read"}
	for i, call := range want {
		if src.calls[i] != call {
			t.Errorf("call %d was %s, want %s", i, src.calls[i], call)
		}
	}
	if outages < 1 {
		t.Error("the outage was not told")
	}
}

// A pull gets only what is later, and is not woken by rows that it does not ask for.
func TestShelfTellsWhatIsLater(t *testing.T) {
	cp := NewCopy("t")
	cp.Replace([]Row{NewRow("x/1", []byte("1"), 3), NewRow("y", nil, 4)}, 4)
	sh := NewPullServer(cp)
	ask := func(prefix string, revision uint64) int {
		rq := &wire.PullRequest{Known: []*wire.KnownTable{{Table: "t", Prefix: prefix, Revision: revision}}}
		return len(sh.Serve(t.Context(), rq).GetCopies())
	}
	for _, tt := range []struct {
		prefix   string
		revision uint64
		want     int
	}{{"", 0, 1}, {"", 4, 0}, {"x/", 2, 1}, {"x/", 3, 0}, {"z", 0, 0}} {
		if got := ask(tt.prefix, tt.revision); got != tt.want {
			t.Errorf("prefix %q after %d: %d copies", tt.prefix, tt.revision, got)
		}
	}
}
