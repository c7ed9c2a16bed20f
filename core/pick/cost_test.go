package pick

import (
	"testing"
	"time"

	"shallotcleat/core/scope"
)

// A long call avoids a server that is about to load weights; a short one does not.
func TestLongCallsAvoidShortOnlyServers(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	short := promptCall("s", false)
	long := short.WithOutput(longOutputTokens + 1)
	home, _ := pk.Choose(now, long, nil)
	pk.SetShortOnly(now, home.Server().ID(), true)
	if ch, _ := pk.Choose(now, long, nil); ch.Server() == home.Server() {
		t.Error("a long call was sent to a short-only server")
	}
	if ch, _ := pk.Choose(now, short, nil); ch.Server() != home.Server() {
		t.Error("a short call was not sent to its home server")
	}
	pk.SetShortOnly(now, home.Server().ID(), false)
	if ch, _ := pk.Choose(now, long, nil); ch.Server() != home.Server() {
		t.Error("a long call was not sent to its home server after the restriction was lifted")
	}
}

// A prompt is sent to its home server as long as that server is only slightly busier than one that has not cached the
// shared parts.
func TestPromptPrefersCachedServer(t *testing.T) {
	now := time.Unix(1000, 0)
	pk := New("a", time.Minute, 1)
	pk.SetView(viewOf("a", "a"))
	// The prefill of the shared parts takes 3 ms.
	cl := NewCall("chat", testModel, scope.Scope{}, []Part{NewPart("system", 300), NewPart("own", 50)}, 350, false)
	home, _ := pk.Choose(now, cl, nil)
	pk.SetUtilization(home.Server().ID(), NewUtilization(20, 0, 1<<20, 1<<20, now))
	if ch, _ := pk.Choose(now, cl, nil); ch.Server() != home.Server() {
		t.Error("the prompt was sent to a server without the cached parts to save 20 ms of waiting")
	}
	pk.SetUtilization(home.Server().ID(), NewUtilization(200, 0, 1<<20, 1<<20, now))
	if ch, _ := pk.Choose(now, cl, nil); ch.Server() == home.Server() {
		t.Error("the prompt waits 200 ms to save 3 ms of prefill")
	}
}
