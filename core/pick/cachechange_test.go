package pick

import (
	"testing"
	"time"

	"shallotcleat/core/scope"
)

// A server counts as having the parts that its tender reports, from the first part on, until it reports an eviction; a part that was sent
// right before the report of its eviction may be cached again.
func TestReportedCacheChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	cl := NewCall("chat", testModel, scope.Scope{}, []Part{NewPart("a", 800), NewPart("b", 400), NewPart("own", 250)}, 1450, false)
	first, second := scope.Scope{}.PartKey(testModel, "a"), scope.Scope{}.PartKey(testModel, "b")
	long := cachedTTL + time.Second
	for _, tt := range []struct {
		name             string
		act              func(pk *Picker)
		after            time.Duration
		wantDepth        int
		wantSourceOfNext bool
	}{
		{"nothing", func(*Picker) {}, 0, 0, false},
		{"cached", func(pk *Picker) { pk.ApplyCacheChanges(start, "server-0", 1, []uint64{first, second}, nil) }, long, 2, true},
		{"second part only", func(pk *Picker) { pk.ApplyCacheChanges(start, "server-0", 1, []uint64{second}, nil) }, 0, 0, false},
		{"other weights", func(pk *Picker) { pk.ApplyCacheChanges(start, "server-0", 2, []uint64{first, second}, nil) }, 0, 0, false},
		{"second part evicted", func(pk *Picker) {
			pk.ApplyCacheChanges(start, "server-0", 1, []uint64{first, second}, nil)
			pk.ApplyCacheChanges(start.Add(time.Second), "server-0", 1, nil, []uint64{second})
		}, long, 1, true},
		{"sent long ago", func(pk *Picker) { sendTo(pk, start, cl) }, long, 0, true},
		{"sent, then evicted", func(pk *Picker) {
			sendTo(pk, start, cl)
			pk.ApplyCacheChanges(start.Add(time.Second), "server-0", 1, nil, []uint64{first, second})
		}, 2 * time.Second, 0, false},
		{"evicted, then sent", func(pk *Picker) {
			sendTo(pk, start, cl)
			pk.ApplyCacheChanges(start.Add(evictionLag/2), "server-0", 1, nil, []uint64{first, second})
		}, time.Second, 2, true},
		{"started again", func(pk *Picker) {
			pk.ApplyCacheChanges(start, "server-0", 1, []uint64{first, second}, nil)
			pk.SetView(viewOf())
			pk.SetView(viewOf("a"))
		}, 0, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pk := New("a", time.Minute, 1)
			pk.SetView(viewOf("a"))
			tt.act(pk)
			now := start.Add(tt.after)
			st := pk.state("server-0")
			if depth := st.cachedDepth(now, cl, 1); depth != tt.wantDepth {
				t.Errorf("depth %d, want %d", depth, tt.wantDepth)
			}
			if depth, _ := st.prefilledDepth(now, cl, 1); depth > 0 != tt.wantSourceOfNext {
				t.Errorf("%d parts can be copied, want any: %t", depth, tt.wantSourceOfNext)
			}
		})
	}
}

// sendTo sends a call that is served at once by the only server.
func sendTo(pk *Picker, now time.Time, cl Call) {
	ch, _ := pk.Choose(now, cl, nil)
	serve(pk, now, cl, ch)
}
