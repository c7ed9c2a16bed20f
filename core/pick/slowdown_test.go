package pick

import (
	"math"
	"testing"
	"time"
)

// A process that sent no calls to a slow server avoids it because of the slowdown that a peer observed.
func TestSlowdownsOfPeersAreApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	observer, receiver := New("a", time.Minute, 1), New("a", time.Minute, 2)
	for _, pk := range []*Picker{observer, receiver} {
		pk.SetView(viewOf("a", "a"))
	}
	cl := promptCall("s", false)
	before, _ := receiver.Choose(now, cl, nil)
	slow := before.Server().ID()
	for i := range 30 {
		at := now.Add(time.Duration(i) * time.Second)
		ch, _ := observer.Choose(at, cl, map[string]bool{"server-0": slow != "server-0", "server-1": slow != "server-1"})
		att := observer.StartAttempt(at, cl, ch)
		att.MarkFirstEvent(at.Add(2 * time.Second))
		att.End(at.Add(2*time.Second), Served)
	}
	receiver.ApplySlowdowns(now, observer.TakeSlowdowns())
	if after, _ := receiver.Choose(now, cl, nil); after.Server().ID() == slow {
		t.Error("the slow server was chosen after the peer reported its slowdown")
	}
	if len(observer.TakeSlowdowns()) != 0 {
		t.Error("TakeSlowdowns returned the same slowdowns twice")
	}
}

// Slowdowns that no process can have observed are ignored, as are those of unknown servers.
func TestInvalidSlowdownsAreIgnored(t *testing.T) {
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a"))
	hash := pk.View().Server("server-0").Hash()
	for _, sd := range []Slowdown{NewSlowdown(hash, math.NaN(), 3), NewSlowdown(hash, 1e9, 3),
		NewSlowdown(hash, -1, 3), NewSlowdown(hash, 4, 0), NewSlowdown(hash+1, 4, 3)} {
		pk.ApplySlowdowns(time.Unix(1000, 0), []Slowdown{sd})
	}
	if got := pk.states["server-0"]; got != nil && got.slowdown != 1 {
		t.Errorf("got slowdown %f, want 1", got.slowdown)
	}
}
