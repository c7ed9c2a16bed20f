package pick

import (
	"testing"
	"time"

	"shallotcleat/core/scope"
)

// An explanation must name the server that a call is then sent to, and asking must not change where later calls go.
func TestExplanationsMatchChoicesAndChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	newPicker := func() *Picker {
		pk := New("a", time.Minute, 1)
		pk.SetView(viewOf("a", "b", "a"))
		return pk
	}
	asked, unasked := newPicker(), newPicker()
	for i := range 200 {
		now = now.Add(7 * time.Millisecond)
		cl := promptCall(string(rune('a'+i%7)), false).WithRequest(now.String(), 100)
		for _, pk := range []*Picker{asked, unasked} {
			pk.SetUtilization("server-0", NewUtilization(i%40, i%20, 1<<20, 1<<20, now))
		}
		// A choice steps the share before the explanation, so that both use the same.
		asked.ZoneShares(now)
		unasked.ZoneShares(now)
		ex := asked.Explain(now, cl)
		explained, found := ex.Choice()
		got, _ := asked.Choose(now, cl, nil)
		want, _ := unasked.Choose(now, cl, nil)
		if got.Server().ID() != want.Server().ID() {
			t.Fatalf("call %d: the choice is %s, %s without an explanation", i, got.Server().ID(), want.Server().ID())
		}
		// With three servers the sample has all of them.
		if !found || explained.Server().ID() != got.Server().ID() || explained.ExitReason() != got.ExitReason() {
			t.Fatalf("call %d: %s was explained, %s chosen", i, explained.Server().ID(), got.Server().ID())
		}
		for _, pk := range []*Picker{asked, unasked} {
			att := pk.StartAttempt(now, cl, got)
			att.MarkFirstEvent(now)
			att.End(now, Served)
		}
	}
}

// Each server that is not chosen must come with the reason.
func TestExplanationNamesObstacles(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	vw := viewOf("a", "a", "a", "b")
	pk.SetView(vw)
	pk.MarkLeaving(now, vw.Server("server-0"))
	pk.SetWeights(now, "server-1", testModel, 1, true)
	want := map[string]Obstacle{"server-0": Leaving, "server-1": LoadingWeights, "server-2": "", "server-3": CostsMore}
	ex := pk.Explain(now, NewCall("chat", testModel, scope.Scope{}, nil, 100, false))
	if len(ex.Assessments()) != len(want) {
		t.Fatalf("%d assessments", len(ex.Assessments()))
	}
	for _, as := range ex.Assessments() {
		if as.Obstacle() != want[as.Server().ID()] {
			t.Errorf("%s: got %q, want %q", as.Server().ID(), as.Obstacle(), want[as.Server().ID()])
		}
	}
}
