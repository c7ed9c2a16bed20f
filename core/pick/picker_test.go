package pick

import (
	"fmt"
	"testing"
	"time"

	"shallotcleat/core/fleet"
)

const testModel = "llm"

// viewOf returns a view of engines with version 1 of the weights, one in each of the zones.
func viewOf(zones ...string) *fleet.View {
	ls := fleet.NewRegistry()
	for i, zone := range zones {
		id := fmt.Sprintf("server-%d", i)
		ls.Put(fleet.NewServer(id, fmt.Sprintf("10.0.0.%d:80", i+1), zone, "chat", 8, false, 1, map[string]uint64{testModel: 1}))
	}
	return ls.View()
}

func promptCall(subject string, once bool) Call {
	return NewCall("chat", testModel, "", []Part{NewPart("system", 500), NewPart(subject, 5000), NewPart("own", 1000)}, 6500, once)
}

// A version that is named while an older one is still rolled out must not extend the time of engines that lack both.
func TestOldWeightsEndByTheFirstMissedVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.SetTargetVersion(now, testModel, 2)
	now = now.Add(4 * time.Second)
	pk.SetTargetVersion(now, testModel, 3)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); !ok {
		t.Fatal("no server within the limit of version 2")
	}
	now = now.Add(2 * time.Second)
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Errorf("server %s was chosen 6 s after version 2 was named", ch.Server().ID())
	}
}

// A call that would wait until older weights are too old is not sent there.
func TestQueuedCallDoesNotOutliveOldWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.SetTargetVersion(now, testModel, 2)
	now = now.Add(4500 * time.Millisecond)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); !ok {
		t.Fatal("an idle server with older weights is not used in time")
	}
	pk.SetUtilization("server-0", NewUtilization(30, 30, 1<<20, 1<<20, now))
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Errorf("a call that is expected to wait %s was sent to weights that end in less than a second", ch.TimeToFirstEvent())
	}
}

// A process that has just started does not know how long ago weights were named; it soon takes older ones for too old.
func TestOldWeightsEndSoonAfterAStart(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 12*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.InitTargetVersion(now, testModel, 2)
	if _, ok := pk.Choose(now.Add(time.Second), promptCall("s", true), nil); !ok {
		t.Error("no server just after the start")
	}
	if _, ok := pk.Choose(now.Add(3*time.Second), promptCall("s", true), nil); ok {
		t.Error("older weights are used 3 s after the start")
	}
}

// Of two engines the one with the newest weights is chosen once the older ones are no longer as good.
func TestNewestWeightsAreChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a", "a"))
	pk.SetTargetVersion(now, testModel, 2)
	pk.SetWeights(now, "server-1", testModel, 2, false)
	now = now.Add(2 * time.Second)
	for i := range 20 {
		ch, ok := pk.Choose(now, promptCall(fmt.Sprint("s", i), true), nil)
		if !ok || ch.Server().ID() != "server-1" || ch.Version() != 2 {
			t.Fatalf("subject %d: got %v, %t", i, ch, ok)
		}
	}
}

// An engine that loads gets no calls, and gets them again when it has loaded or nothing more was heard of it.
func TestLoadingEngineGetsNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.SetWeights(now, "server-0", testModel, 1, true)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Error("a loading engine was chosen")
	}
	if _, ok := pk.Choose(now.Add(loadingTTL), promptCall("s", true), nil); !ok {
		t.Error("an engine whose load was not heard of any more is never chosen again")
	}
	pk.SetWeights(now, "server-0", testModel, 2, false)
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); !ok || ch.Version() != 2 {
		t.Errorf("got %v, %t after the load", ch, ok)
	}
}

// serve sends a call and lets it be answered.
func serve(pk *Picker, now time.Time, cl Call, ch Choice) {
	att := pk.StartAttempt(now, cl, ch)
	att.MarkFirstEvent(now)
	att.End(now, Served)
}

// Calls about one subject meet at one engine of the zone, and the engine of another zone copies from there.
func TestSubjectsHaveHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	vw := viewOf("a", "a", "a", "b", "b", "b")
	near, far := New("a", time.Minute, 1), New("b", time.Minute, 1)
	near.SetView(vw)
	far.SetView(vw)
	for i := range 30 {
		cl := promptCall(fmt.Sprint("s", i), true)
		first, _ := near.Choose(now, cl, nil)
		if first.Server().Zone() != "a" {
			t.Fatalf("call %d went to zone %s", i, first.Server().Zone())
		}
		serve(near, now, cl, first)
		if again, _ := near.Choose(now, cl, nil); again.Server() != first.Server() || again.CacheSource() != nil {
			t.Errorf("call %d is not sent where it was sent before", i)
		}
		far.ApplyHints(now, near.TakeHints())
		other, _ := far.Choose(now, cl, nil)
		if other.Server().Zone() != "b" || other.CacheSource() != first.Server() {
			t.Errorf("call %d of zone b: server %s, source %v", i, other.Server().ID(), other.CacheSource())
		}
	}
}

// A part that is shared by all subjects is copied also if the subject itself was never read.
func TestSharedBeginningIsCopied(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("one", true)
	first, _ := pk.Choose(now, cl, map[string]bool{"server-0": true})
	serve(pk, now, cl, first)
	other, _ := pk.Choose(now, promptCall("other", true), map[string]bool{"server-1": true})
	if other.CacheSource() != first.Server() {
		t.Errorf("the source is %v", other.CacheSource())
	}
	pk.SetWeights(now, "server-0", testModel, 2, false)
	other, _ = pk.Choose(now, promptCall("other", true), map[string]bool{"server-1": true})
	if other.CacheSource() != nil {
		t.Errorf("an engine with other weights copies from %s", other.CacheSource().ID())
	}
}

// A prompt is not copied from an engine that did not run the call, or has not read it yet.
func TestUnreadPromptIsNotCopied(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("one", true)
	first, _ := pk.Choose(now, cl, map[string]bool{"server-0": true})
	att := pk.StartAttempt(now, cl, first)
	if other, _ := pk.Choose(now, cl, map[string]bool{"server-1": true}); other.CacheSource() != nil {
		t.Error("copied before it was read")
	}
	att.End(now, Rejected)
	if other, _ := pk.Choose(now, cl, map[string]bool{"server-1": true}); other.CacheSource() != nil {
		t.Error("copied from an engine that did not run the call")
	}
	if len(pk.TakeHints()) != 0 {
		t.Error("others are told of a prompt that was not read")
	}
}

// A server that does not answer is left at once, and tried again after its pause.
func TestSilentServerIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("s", false)
	ch, _ := pk.Choose(now, cl, nil)
	pk.StartAttempt(now, cl, ch).End(now, NoResponse)
	other, _ := pk.Choose(now, cl, nil)
	if other.Server() == ch.Server() {
		t.Fatal("the silent server was chosen again at once")
	}
	later := now.Add(maxBackoff)
	if back, _ := pk.Choose(later, cl, nil); back.Server() != ch.Server() {
		t.Error("the server is not tried again after its pause")
	}
}
