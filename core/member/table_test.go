package member

import (
	"testing"
	"time"

	"shallotcleat/core/stamp"
)

var start = time.Unix(1_000_000, 0)

func newTestTable(addresses ...string) *Table {
	tb := NewTable()
	var servers []*Server
	for _, address := range addresses {
		servers = append(servers, NewServer(address, "zone", "service"))
	}
	tb.Replace(servers)
	return tb
}

func lookup(t *testing.T, tb *Table, address string) *Server {
	t.Helper()
	sv, ok := tb.View().Server(address)
	if !ok {
		t.Fatalf("server %s not in the view", address)
	}
	return sv
}

func newTestStatus(st stamp.Stamp, leaving bool) Status {
	return NewStatus(st, 1, 1, 1, "v1", time.Second, 1000, leaving)
}

// TestStaleStatusIsIgnored guards against a delayed reply with an older stamp that makes a leaving server usable again.
func TestStaleStatusIsIgnored(t *testing.T) {
	tb := newTestTable("a", "b")
	tb.RecordStatus(start, "a", newTestStatus(10, true))
	tb.RecordStatus(start, "a", newTestStatus(9, false))
	if lookup(t, tb, "a").Usable(start) {
		t.Error("stale status made a leaving server usable again")
	}
	tb.RecordStatus(start, "a", newTestStatus(11, false))
	if !lookup(t, tb, "a").Usable(start) {
		t.Error("newer status ignored")
	}
}

// TestEjection checks that consecutive failures eject a server for up to maxEjectionTime and that a status ends the
// ejection at once.
func TestEjection(t *testing.T) {
	tb := newTestTable("a")
	tb.RecordFailure(start, "a")
	if !lookup(t, tb, "a").Usable(start) {
		t.Error("server ejected after one failure")
	}
	for range 20 {
		tb.RecordFailure(start, "a")
	}
	if lookup(t, tb, "a").Usable(start.Add(maxEjectionTime - time.Millisecond)) {
		t.Error("server not ejected for the maximum time after many failures")
	}
	if !lookup(t, tb, "a").Usable(start.Add(maxEjectionTime)) {
		t.Error("server still ejected after the maximum time")
	}
	tb.RecordStatus(start, "a", newTestStatus(1, false))
	if !lookup(t, tb, "a").Usable(start) {
		t.Error("server still ejected after a new status")
	}
}

// TestExpectedWait checks that the expected wait grows with pending work and shrinks with time, and that an older view
// does not change.
func TestExpectedWait(t *testing.T) {
	tb := newTestTable("a")
	tb.RecordStatus(start, "a", newTestStatus(1, false))
	before := lookup(t, tb, "a")
	tb.AddPending("a", 2*time.Second)
	if wait := before.ExpectedWait(start); wait != time.Second {
		t.Errorf("expected wait in the old view is %v, want 1s", wait)
	}
	if wait := lookup(t, tb, "a").ExpectedWait(start.Add(500 * time.Millisecond)); wait != 2500*time.Millisecond {
		t.Errorf("expected wait is %v, want 2.5s", wait)
	}
	if wait := lookup(t, tb, "a").ExpectedWait(start.Add(time.Minute)); wait != 0 {
		t.Errorf("expected wait after a minute is %v, want 0", wait)
	}
}

// TestReplaceKeepsStatus checks that servers that stay keep their status when others are added or removed.
func TestReplaceKeepsStatus(t *testing.T) {
	tb := newTestTable("a", "b")
	tb.RecordStatus(start, "b", newTestStatus(5, false))
	tb.Replace([]*Server{NewServer("c", "zone", "service"), NewServer("b", "zone", "service")})
	if !lookup(t, tb, "b").HasStatus() || lookup(t, tb, "c").HasStatus() {
		t.Error("want a status for b and none for c")
	}
	if _, ok := tb.View().Server("a"); ok {
		t.Error("removed server a still in the view")
	}
}
