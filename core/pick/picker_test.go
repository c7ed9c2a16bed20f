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
	ls := fleet.NewList()
	for i, zone := range zones {
		id := fmt.Sprintf("server-%d", i)
		ls.Put(fleet.NewServer(id, fmt.Sprintf("10.0.0.%d:80", i+1), zone, "chat", 8, false, 1, map[string]uint64{testModel: 1}))
	}
	return ls.View()
}

func promptCall(subject string, once bool) Call {
	return NewCall("chat", testModel, []Part{NewPart("system", 500), NewPart(subject, 5000), NewPart("own", 1000)}, 6500, once)
}

// A version that is named while an older one is still rolled out must not extend the time of engines that lack both.
func TestOldWeightsEndByTheFirstMissedVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second)
	pk.SetView(viewOf("a"))
	pk.Want(now, testModel, 2)
	now = now.Add(4 * time.Second)
	pk.Want(now, testModel, 3)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); !ok {
		t.Fatal("no server within the limit of version 2")
	}
	now = now.Add(2 * time.Second)
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Errorf("server %s was chosen 6 s after version 2 was named", ch.Server().ID())
	}
}

// Of two engines the one with the newest weights is chosen once the older ones are no longer as good.
func TestNewestWeightsAreChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second)
	pk.SetView(viewOf("a", "a"))
	pk.Want(now, testModel, 2)
	pk.Weights(now, "server-1", testModel, 2, false)
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
	pk := New("a", 6*time.Second)
	pk.SetView(viewOf("a"))
	pk.Weights(now, "server-0", testModel, 1, true)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Error("a loading engine was chosen")
	}
	if _, ok := pk.Choose(now.Add(loadingLimit), promptCall("s", true), nil); !ok {
		t.Error("an engine whose load was not heard of any more is never chosen again")
	}
	pk.Weights(now, "server-0", testModel, 2, false)
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); !ok || ch.Version() != 2 {
		t.Errorf("got %v, %t after the load", ch, ok)
	}
}

// Calls about one subject meet at one engine of the zone, and other zones copy from there.
func TestSubjectsHaveHomes(t *testing.T) {
	now := time.Unix(1000, 0)
	vw := viewOf("a", "a", "a", "b", "b", "b")
	first := make(map[string]string)
	for _, zone := range []string{"a", "b"} {
		pk := New(zone, time.Minute)
		pk.SetView(vw)
		for i := range 30 {
			subject := fmt.Sprint("s", i)
			ch, _ := pk.Choose(now, promptCall(subject, true), nil)
			if ch.Server().Zone() != zone {
				t.Fatalf("zone %s: subject %s went to zone %s", zone, subject, ch.Server().Zone())
			}
			again, _ := pk.Choose(now, promptCall(subject, true), nil)
			if again.Server() != ch.Server() {
				t.Errorf("subject %s has two homes in zone %s", subject, zone)
			}
			if ch.Source() == nil || ch.Source().Zone() == zone {
				t.Errorf("subject %s: the source of zone %s is %v", subject, zone, ch.Source())
			}
			if zone == "a" {
				first[subject] = ch.Server().ID()
			} else if ch.Source().ID() != first[subject] {
				t.Errorf("subject %s is copied from %s, its home is %s", subject, ch.Source().ID(), first[subject])
			}
		}
	}
}

// A server that does not answer is left at once, and tried again after its pause.
func TestSilentServerIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("s", false)
	ch, _ := pk.Choose(now, cl, nil)
	pk.Send(now, cl, ch).End(now, Silent)
	other, _ := pk.Choose(now, cl, nil)
	if other.Server() == ch.Server() {
		t.Fatal("the silent server was chosen again at once")
	}
	later := now.Add(longPause)
	if back, _ := pk.Choose(later, cl, nil); back.Server() != ch.Server() {
		t.Error("the server is not tried again after its pause")
	}
}
