package member

import (
	"testing"
	"time"

	"shallotcleat/core/stamp"
)

var start = time.Unix(1_000_000, 0)

func tableOf(addresses ...string) *Table {
	tb := NewTable()
	var servers []*Server
	for _, address := range addresses {
		servers = append(servers, NewServer(address, "zone", "service"))
	}
	tb.Replace(servers)
	return tb
}

func server(t *testing.T, tb *Table, address string) *Server {
	t.Helper()
	sv, ok := tb.View().Server(address)
	if !ok {
		t.Fatalf("%s is not known", address)
	}
	return sv
}

func statusAt(at stamp.Stamp, leaving bool) Status {
	return NewStatus(at, 1, 1, 1, "v1", time.Second, 1000, leaving)
}

// A reply that comes late does not bring a leaving server back.
func TestLateStatusIsPassedOver(t *testing.T) {
	tb := tableOf("a", "b")
	tb.RecordStatus(start, "a", statusAt(10, true))
	tb.RecordStatus(start, "a", statusAt(9, false))
	if server(t, tb, "a").Usable(start) {
		t.Error("the late status made the server usable again")
	}
	tb.RecordStatus(start, "a", statusAt(11, false))
	if !server(t, tb, "a").Usable(start) {
		t.Error("the later status was passed over")
	}
}

// A run of faults ejects a server for a while, longer each time up to a bound; an answer brings it back at once.
func TestEjection(t *testing.T) {
	tb := tableOf("a")
	tb.RecordFailure(start, "a")
	if !server(t, tb, "a").Usable(start) {
		t.Error("one fault ejects")
	}
	for range 20 {
		tb.RecordFailure(start, "a")
	}
	if server(t, tb, "a").Usable(start.Add(ejectMax - time.Millisecond)) {
		t.Error("many faults do not eject for the longest time")
	}
	if !server(t, tb, "a").Usable(start.Add(ejectMax)) {
		t.Error("the server is never tried again")
	}
	tb.RecordStatus(start, "a", statusAt(1, false))
	if !server(t, tb, "a").Usable(start) {
		t.Error("an answer does not bring the server back")
	}
}

// The wait shrinks as time passes and grows with what was sent; a view that was taken before does not change.
func TestWaitAndViews(t *testing.T) {
	tb := tableOf("a")
	tb.RecordStatus(start, "a", statusAt(1, false))
	old := server(t, tb, "a")
	tb.AddPending("a", 2*time.Second)
	if wait := old.ExpectedWait(start); wait != time.Second {
		t.Errorf("the old view's wait is %v", wait)
	}
	if wait := server(t, tb, "a").ExpectedWait(start.Add(500 * time.Millisecond)); wait != 2500*time.Millisecond {
		t.Errorf("the wait is %v", wait)
	}
	if wait := server(t, tb, "a").ExpectedWait(start.Add(time.Minute)); wait != 0 {
		t.Errorf("the wait after a minute is %v", wait)
	}
}

// What is known of servers that stay is kept when others come or go.
func TestReplaceKeepsWhatIsKnown(t *testing.T) {
	tb := tableOf("a", "b")
	tb.RecordStatus(start, "b", statusAt(5, false))
	tb.Replace([]*Server{NewServer("c", "zone", "service"), NewServer("b", "zone", "service")})
	if !server(t, tb, "b").HasStatus() || server(t, tb, "c").HasStatus() {
		t.Error("b should be known and c not")
	}
	if _, ok := tb.View().Server("a"); ok {
		t.Error("a is still there")
	}
}
