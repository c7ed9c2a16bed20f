package pick

import (
	"math"
	"testing"
	"time"
)

// A process that sent nothing to a slow server leaves it by what another process saw.
func TestPacesOfOthersCount(t *testing.T) {
	now := time.Unix(1000, 0)
	seer, hearer := New("a", time.Minute, 1), New("a", time.Minute, 2)
	for _, pk := range []*Picker{seer, hearer} {
		pk.SetView(viewOf("a", "a"))
	}
	cl := promptCall("s", false)
	before, _ := hearer.Choose(now, cl, nil)
	slow := before.Server().ID()
	for i := range 30 {
		at := now.Add(time.Duration(i) * time.Second)
		ch, _ := seer.Choose(at, cl, map[string]bool{"server-0": slow != "server-0", "server-1": slow != "server-1"})
		se := seer.StartAttempt(at, cl, ch)
		se.MarkFirstEvent(at.Add(2 * time.Second))
		se.End(at.Add(2*time.Second), Served)
	}
	hearer.ApplySlowdowns(now, seer.TakeSlowdowns())
	if after, _ := hearer.Choose(now, cl, nil); after.Server().ID() == slow {
		t.Error("the slow server is still chosen")
	}
	if len(seer.TakeSlowdowns()) != 0 {
		t.Error("the same calls are told twice")
	}
}

// Paces that no process can have seen are passed over, as are those of servers that are not listed.
func TestFalsePacesArePassedOver(t *testing.T) {
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a"))
	hash := pk.View().Server("server-0").Hash()
	for _, pc := range []Slowdown{NewSlowdown(hash, math.NaN(), 3), NewSlowdown(hash, 1e9, 3), NewSlowdown(hash, -1, 3), NewSlowdown(hash, 4, 0), NewSlowdown(hash+1, 4, 3)} {
		pk.ApplySlowdowns(time.Unix(1000, 0), []Slowdown{pc})
	}
	if got := pk.states["server-0"]; got != nil && got.pace != 1 {
		t.Errorf("the pace is %f", got.pace)
	}
}
