package pick

import (
	"fmt"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/scope"
)

const testModel = "llm"

// viewOf returns a view with one engine in each of the zones, all with weight version 1.
func viewOf(zones ...string) *fleet.View {
	rg := fleet.NewRegistry()
	for i, zone := range zones {
		id := fmt.Sprintf("server-%d", i)
		rg.Put(fleet.NewServer(id, fmt.Sprintf("10.0.0.%d:80", i+1), zone, "chat", 8, false, 1, map[string]uint64{testModel: 1}))
	}
	return rg.View()
}

// promptCall returns a call with one part shared by all calls and one shared by the calls with the same subject.
func promptCall(subject string, atMostOnce bool) Call {
	return NewCall("chat", testModel, scope.Scope{},
		[]Part{NewPart("system", 500), NewPart(subject, 5000), NewPart("own", 1000)}, 6500, atMostOnce)
}

// A version announced while an older one is being rolled out must not extend the grace period of engines that lack both.
func TestOldWeightsExpireByFirstMissedVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.SetTargetVersion(now, testModel, 2)
	now = now.Add(4 * time.Second)
	pk.SetTargetVersion(now, testModel, 3)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); !ok {
		t.Fatal("Choose found no server 4 s after version 2 was announced")
	}
	now = now.Add(2 * time.Second)
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Errorf("server %s was chosen 6 s after version 2 was announced", ch.Server().ID())
	}
}

// A call whose first event is expected after the grace period of old weights is not sent to them.
func TestQueuedCallAvoidsExpiringWeights(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.SetTargetVersion(now, testModel, 2)
	now = now.Add(4500 * time.Millisecond)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); !ok {
		t.Fatal("Choose found no server although the idle one can start the call within the grace period")
	}
	pk.SetUtilization("server-0", NewUtilization(30, 30, 1<<20, 1<<20, now))
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Errorf("a call with an expected time to first event of %s was sent to weights that expire in less than 1 s",
			ch.TimeToFirstEvent())
	}
}

// A process that has just started does not know how long ago weights were announced, and soon stops using old ones.
func TestOldWeightsExpireSoonAfterStart(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 12*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.InitTargetVersion(now, testModel, 2)
	if _, ok := pk.Choose(now.Add(time.Second), promptCall("s", true), nil); !ok {
		t.Error("Choose found no server 1 s after the start")
	}
	if _, ok := pk.Choose(now.Add(3*time.Second), promptCall("s", true), nil); ok {
		t.Error("old weights were used 3 s after the start")
	}
}

// Of two engines the one with the newest weights is chosen once old ones incur a cost.
func TestNewestWeightsArePreferred(t *testing.T) {
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

// An engine that loads weights gets no calls until it has loaded them or its last report has expired.
func TestLoadingEngineGetsNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", 6*time.Second, 1)
	pk.SetView(viewOf("a"))
	pk.SetWeights(now, "server-0", testModel, 1, true)
	if _, ok := pk.Choose(now, promptCall("s", true), nil); ok {
		t.Error("a loading engine was chosen")
	}
	if _, ok := pk.Choose(now.Add(loadingTTL), promptCall("s", true), nil); !ok {
		t.Error("an engine was not chosen after its loading report expired")
	}
	pk.SetWeights(now, "server-0", testModel, 2, false)
	if ch, ok := pk.Choose(now, promptCall("s", true), nil); !ok || ch.Version() != 2 {
		t.Errorf("got %v, %t after the load", ch, ok)
	}
}

// serve sends a call that is served at once.
func serve(pk *Picker, now time.Time, cl Call, ch Choice) {
	att := pk.StartAttempt(now, cl, ch)
	att.MarkFirstEvent(now)
	att.End(now, Served)
}

// Calls with the same subject go to one engine of the zone, and the engine of another zone copies its cache.
func TestSubjectsHaveHomeServers(t *testing.T) {
	now := time.Unix(1000, 0)
	vw := viewOf("a", "a", "a", "b", "b", "b")
	near, far := New("a", time.Minute, 1), New("b", time.Minute, 1)
	near.SetView(vw)
	far.SetView(vw)
	for i := range 30 {
		cl := promptCall(fmt.Sprint("s", i), true)
		first, _ := near.Choose(now, cl, nil)
		if first.Server().Zone() != "a" {
			t.Fatalf("call %d was sent to zone %s, want a", i, first.Server().Zone())
		}
		serve(near, now, cl, first)
		if again, _ := near.Choose(now, cl, nil); again.Server() != first.Server() || again.CacheSource() != nil {
			t.Errorf("call %d was not sent to the server that has cached its prompt", i)
		}
		far.ApplyHints(now, near.TakeHints())
		other, _ := far.Choose(now, cl, nil)
		if other.Server().Zone() != "b" || other.CacheSource() != first.Server() {
			t.Errorf("call %d of zone b: got server %s, cache source %v", i, other.Server().ID(), other.CacheSource())
		}
	}
}

// A part that is shared by all subjects is copied even if the subject itself was never prefilled.
func TestSharedPrefixIsCopied(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("one", true)
	first, _ := pk.Choose(now, cl, map[string]bool{"server-0": true})
	serve(pk, now, cl, first)
	other, _ := pk.Choose(now, promptCall("other", true), map[string]bool{"server-1": true})
	if other.CacheSource() != first.Server() {
		t.Errorf("got cache source %v, want the first server", other.CacheSource())
	}
	pk.SetWeights(now, "server-0", testModel, 2, false)
	other, _ = pk.Choose(now, promptCall("other", true), map[string]bool{"server-1": true})
	if other.CacheSource() != nil {
		t.Errorf("an engine with another weight version copies from %s", other.CacheSource().ID())
	}
}

// A prompt is not copied from an engine that rejected the call or has not prefilled it yet.
func TestUnreadPromptIsNotCopied(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("one", true)
	first, _ := pk.Choose(now, cl, map[string]bool{"server-0": true})
	att := pk.StartAttempt(now, cl, first)
	if other, _ := pk.Choose(now, cl, map[string]bool{"server-1": true}); other.CacheSource() != nil {
		t.Error("the prompt was copied before it was prefilled")
	}
	att.End(now, Rejected)
	if other, _ := pk.Choose(now, cl, map[string]bool{"server-1": true}); other.CacheSource() != nil {
		t.Error("the prompt was copied from an engine that rejected the call")
	}
	if len(pk.TakeHints()) != 0 {
		t.Error("a hint was queued for a prompt that was not prefilled")
	}
}

// A server that does not respond gets no calls until its backoff has ended.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "b"))
	cl := promptCall("s", false)
	ch, _ := pk.Choose(now, cl, nil)
	pk.StartAttempt(now, cl, ch).End(now, NoResponse)
	other, _ := pk.Choose(now, cl, nil)
	if other.Server() == ch.Server() {
		t.Fatal("the unresponsive server was chosen again at once")
	}
	later := now.Add(maxBackoff)
	if back, _ := pk.Choose(later, cl, nil); back.Server() != ch.Server() {
		t.Error("the server was not chosen after its backoff")
	}
}

// An attempt expires with the weights that it was sent for, whether they were announced before or after it was sent, unless it has begun.
func TestAttemptsExpireBeforeTheyBegin(t *testing.T) {
	start := time.Unix(1000, 0)
	const grace = 6 * time.Second
	tests := []struct {
		name        string
		announcedAt time.Duration
		act         func(*Attempt)
		wantAfter   time.Duration
	}{
		{"announced before", -time.Second, func(*Attempt) {}, grace - expirySlack - time.Second},
		{"announced after", time.Second, func(*Attempt) {}, grace - expirySlack + time.Second},
		{"begun", time.Second, (*Attempt).MarkBegun, 0},
		{"first event", time.Second, func(att *Attempt) { att.MarkFirstEvent(start) }, 0},
		{"ended", time.Second, func(att *Attempt) { att.End(start, Abandoned) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pk := New("a", grace, 1)
			pk.SetView(viewOf("a"))
			cl := promptCall("s", true)
			ch, ok := pk.Choose(start, cl, nil)
			if !ok {
				t.Fatal("no server was chosen")
			}
			att := pk.StartAttempt(start, cl, ch)
			expired := 0
			att.OnExpiry(func() { expired++ })
			tt.act(att)
			pk.SetTargetVersion(start.Add(tt.announcedAt), testModel, 2)
			var expiredAfter time.Duration
			for after := time.Duration(0); after < 2*grace; after += 100 * time.Millisecond {
				if pk.ExpireAttempts(start.Add(after)); expired > 0 && expiredAfter == 0 {
					expiredAfter = after
				}
			}
			if expiredAfter != tt.wantAfter || expired > 1 {
				t.Errorf("expired %d times, first after %s, want %s", expired, expiredAfter, tt.wantAfter)
			}
		})
	}
}
